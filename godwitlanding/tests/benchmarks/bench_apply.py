"""Measures how fast a configuration change reaches every process.

Applies changes to a small system under load and measures the time from the
platform's response to the write until the last daemon reports the version.

    python -m godwitlanding.tests.benchmarks.bench_apply --changes 20
"""

import argparse
import asyncio
from pathlib import Path

from godwitlanding.base.store import HttpStore
from godwitlanding.tests.load.load import Load, Rate
from godwitlanding.tests.tools.cluster import ROLES, Cluster
from godwitlanding.tests.tools.network import claim_test_network

CONFIG_TEXT = (Path(__file__).parents[1] / "data/small.json5").read_text()
POLL_S = 0.01
PAUSE_S = 0.5
RATES = (Rate("status", 60.0), Rate("renewal", 12.0), Rate("passes", 6.0))


async def has_version(cluster, key, version):
    """Return whether a daemon has this version or a later one."""
    status = await cluster.get_status(*key)
    return status is not None and status["versions"].get("config/main", 0) >= version


async def wait_for_version(cluster, key, version):
    """Wait until a daemon has the version."""
    while not await has_version(cluster, key, version):
        await asyncio.sleep(POLL_S)


async def measure(changes):
    """Return the sorted propagation times of the changes, in seconds."""
    cluster = Cluster(CONFIG_TEXT, claim_test_network())
    loop = asyncio.get_running_loop()
    took_s = []
    try:
        cluster.stop_on_sigterm()
        await cluster.start()
        load = Load(cluster)
        await load.start(*RATES)
        store = HttpStore(cluster.standins.platform_url, 2.0)
        daemon_keys = [(vm, role) for vm in cluster.vm_by_name for role in ROLES]
        version = (await store.get("config", "main")).unwrap().version
        for number in range(changes):
            work_s = f"work_s: 0.04{number:03}"
            text = cluster.text.replace("work_s: 0.04", work_s)
            put = await store.put("config", "main", text.encode(), version)
            version = put.unwrap()
            began = loop.time()
            await asyncio.gather(
                *(wait_for_version(cluster, key, version) for key in daemon_keys)
            )
            took_s.append(loop.time() - began)
            await asyncio.sleep(PAUSE_S)
        await store.close()
        await load.end()
    finally:
        await cluster.stop()
    return sorted(took_s)


def parse_arguments(argv=None):
    """Return the parsed command line."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument(
        "--changes", type=int, default=20, help="Number of changes to apply"
    )
    return parser.parse_args(argv)


def main(argv=None):
    """Run the benchmark and print the median and longest time."""
    took_s = asyncio.run(measure(parse_arguments(argv).changes))
    median = took_s[len(took_s) // 2]
    print(f"in force in 12 processes, {len(took_s)} changes, polled each 10 ms:")
    print(f"  median {median * 1000:.0f} ms, longest {took_s[-1] * 1000:.0f} ms")


if __name__ == "__main__":
    main()
