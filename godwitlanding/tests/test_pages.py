"""Runs every ``godwitctl`` command of the operators' documentation."""

import re
import shlex

import aiohttp

from godwitlanding.tests.test_docs import DOCS, ROOT
from godwitlanding.tests.tools.cluster import Cluster
from godwitlanding.tests.tools.network import claim_test_network

PAGES = ("operations.rst", "quickstart.rst")
SAMPLE = "samples/demo.json5"
MODIFYING_COMMANDS = ("apply", "drain", "shift", "rollback")


def read_commands():
    """Yield ``(page, words)`` of each command in the order of the pages."""
    for page in PAGES:
        text = (DOCS / page).read_text()
        for line in re.findall(r"^ {4}godwitctl (.+)$", text, re.M):
            # Excludes the sample for larger VMs, which is for another system.
            if "legitka" not in line:
                yield page, shlex.split(line)


async def send_request(cluster):
    """Send a lookup request; return its request id."""
    url = cluster.get_url("north-a-1", "entry") + "/s/status/x"
    async with aiohttp.ClientSession() as session, session.get(url) as response:
        return response.headers["Godwit-Request-Id"]


async def test_documented_commands_succeed(tmp_path):
    """Run the commands of each page in order, as an operator would."""
    cluster = Cluster(
        (ROOT / SAMPLE).read_text(),
        claim_test_network(),
        vms_per_zone=1,
        log_directory=tmp_path,
    )
    changed = tmp_path / "changed.json5"
    changed.write_text(cluster.text + "\n// three more upstreams\n")
    try:
        await cluster.start()
        request_id = await send_request(cluster)
        _, output = await cluster.run_ctl("get", "--json")
        first = re.search(r'"version": (\d+)', output).group(1)
        for page, words in read_commands():
            words = [str(changed) if word == SAMPLE else word for word in words]
            if "--platform" in words:
                words = words[: words.index("--platform")]
            if words[0] == "rollback":
                words[1] = first
            if words[0] == "explain":
                words[1] = request_id
            if words[0] in MODIFYING_COMMANDS and "--yes" not in words:
                words.append("--yes")
            code, output = await cluster.run_ctl(*words, may_fail=True)
            assert code == 0, (page, words, output)
    finally:
        await cluster.stop()
