"""The promises with real processes, where only those show them.

Each test starts a small system, breaks something under load and waits for
what has to come true, with generous limits. What callers and upstreams
counted decides.
"""

import asyncio
import signal
from pathlib import Path

import pytest

from godwitlanding.tests.load.load import Load, Rate
from godwitlanding.tests.tools.cluster import ROLES, Cluster, wait_until
from godwitlanding.tests.tools.network import claim_test_network

CONFIG_TEXT = (Path(__file__).parents[1] / "data/small.json5").read_text()
RATES = (Rate("status", 40.0), Rate("renewal", 12.0), Rate("passes", 4.0))
SERVICES = tuple(rate.service for rate in RATES)
LIMIT_S = 60.0
PAUSE_S = 5.0
VM = "north-a-1"


class LoadedCluster:
    """A cluster with load on it."""

    def __init__(self, network, directory):
        self.cluster = Cluster(CONFIG_TEXT, network, log_directory=directory)
        self.load = None

    async def start(self):
        """Start the cluster and the load; wait until each kind is served."""
        await self.cluster.start()
        self.load = Load(self.cluster)
        await self.load.start(*RATES)
        await self.serve(1.0)

    async def serve(self, seconds, services=()):
        """Wait until as many requests are complete as come in so long."""
        await self.load.serve(seconds, services)

    async def finish(self, may_cut=False, drained=()):
        """End the load and return what it has shown."""
        return await self.load.judge(drained, may_cut)

    async def get_config_versions(self):
        """Return the version of the text that each daemon has in force."""
        keys = [(vm, role) for vm in self.cluster.vm_by_name for role in ROLES]
        statuses = await asyncio.gather(
            *(self.cluster.get_status(*key) for key in keys)
        )
        return [status["versions"].get("config/main", 0) for status in statuses]

    async def find_arbiter(self, service, zone):
        """Return the VM whose zone daemon is the arbiter."""
        vms = [
            v for v in self.cluster.vm_by_name.values() if v.availability_zone == zone
        ]
        status = await self.cluster.get_status(vms[0].vm, "zone")
        return status["services"]["members"]["arbiters_by_service"][service][0]


@pytest.fixture(scope="module")
def network():
    return claim_test_network()


@pytest.fixture
async def run(network, tmp_path):
    loaded_cluster = LoadedCluster(network, tmp_path)
    try:
        await loaded_cluster.start()
        yield loaded_cluster
    finally:
        await loaded_cluster.cluster.stop()


async def test_killed_arbiter_is_replaced(run):
    """The VM that grants the permits of its zone is killed under load.

    Callers of that zone are refused for a while and served again, and no
    upstream is given more than its slots by the two arbiters in turn.
    """
    await run.cluster.kill_vm(await run.find_arbiter("status", "north-a"))
    await run.serve(3.0)
    verdict = await run.finish(may_cut=True)
    assert verdict.faults == ()


@pytest.mark.parametrize("roles", [("zone",), ("entry",), ("zone", "entry")])
async def test_resumed_daemons_exceed_no_slots_and_repeat_no_work(run, roles):
    """A VM is paused for longer than its loans and permits last.

    When it goes on it still believes that it may grant and dispatch; an
    upstream would run more than its slots and a payment might run twice.
    """
    vm = await run.find_arbiter("renewal", "north-a")
    for role in roles:
        run.cluster.send_signal(vm, role, signal.SIGSTOP)
    await asyncio.sleep(PAUSE_S)
    for role in roles:
        run.cluster.send_signal(vm, role, signal.SIGCONT)
    await run.serve(3.0)
    verdict = await run.finish(may_cut=True)
    assert verdict.faults == ()


@pytest.mark.parametrize("outage", ["refuse", "hang"])
async def test_callers_are_served_during_a_platform_outage(run, outage):
    """The platform is away while payments are made.

    Payments that were begun before are settled, new ones are taken on
    tickets that need no platform, and nothing runs twice.
    """
    await run.cluster.standins.set_faults(outage=outage)
    await run.serve(3.0)
    await run.cluster.standins.set_faults(outage="none")
    await run.serve(3.0)
    verdict = await run.finish()
    assert verdict.faults == ()


async def test_zone_without_the_platform_keeps_serving(run, tmp_path):
    """One zone loses its way to the platform; a change is applied meanwhile.

    Its callers are served by its own upstreams, payments included, and the
    change comes in force there once it is connected again.
    """
    cluster = run.cluster
    await cluster.cut_from_platform("north-a")

    async def is_detected():
        status = await cluster.get_status(VM, "zone")
        return not status["services"]["members"]["platform_reachable"]

    await wait_until(is_detected, LIMIT_S, "the zone to notice that it is cut off")
    path = tmp_path / "newer.json5"
    path.write_text(cluster.text.replace("work_s: 0.04", "work_s: 0.041"))
    await cluster.run_ctl("apply", str(path), "--yes")
    await run.serve(3.0)
    await cluster.cut_from_platform()

    async def is_everywhere():
        return len(set(await run.get_config_versions())) == 1

    await wait_until(is_everywhere, LIMIT_S, "the change to be in force everywhere")
    verdict = await run.finish()
    assert verdict.faults == ()


async def test_lost_responses_to_journal_writes(run):
    """The platform does writes of the journal and loses the answers.

    A payment that is sent again because its claim seemed to have failed
    would charge a pensioner twice.
    """
    await run.cluster.standins.set_faults(lost_answers=10, lost_kind="journal")

    async def are_lost():
        stats = await run.cluster.standins.get_platform_stats()
        return stats.get("lost_answers", 0) >= 10

    await wait_until(are_lost, LIMIT_S, "10 writes of the journal to lose answers")
    await run.serve(3.0, ("renewal",))
    verdict = await run.finish()
    assert verdict.faults == ()
    assert run.load.tally.count("unknown") == 0


SWITCHES_BY_SIGN = {
    "its own word": {"draining": True},
    "its health alone": {"draining": True, "refuses_when_draining": False},
}


@pytest.mark.parametrize("sign", ["operators' text", *SWITCHES_BY_SIGN])
async def test_draining_upstream_gets_no_new_requests(run, sign):
    """An upstream is to be stopped, and one source alone says so.

    Work that goes on being sent there would be cut off when it stops.
    """
    upstream_id = "status-a-1"
    switches = SWITCHES_BY_SIGN.get(sign)
    if switches is None:
        switches = {**SWITCHES_BY_SIGN["its health alone"], "health": "always_ok"}
        await run.cluster.run_ctl("drain", "upstream", upstream_id, "--yes")
    await run.cluster.standins.change_upstream(upstream_id, **switches)

    async def count_sent():
        stats = (await run.cluster.standins.get_upstream_stats())[upstream_id]
        return stats["begun"] + stats["refused_draining"]

    async def gets_no_requests():
        before = await count_sent()
        await run.serve(1.0, ("status",))
        return await count_sent() == before

    await wait_until(gets_no_requests, LIMIT_S, "the upstream to get nothing new")
    before = await count_sent()
    await run.serve(3.0, ("status",))
    assert await count_sent() == before
    verdict = await run.finish()
    assert verdict.faults == ()


async def test_poison_request_is_rejected_after_two_crashes(run):
    """A request crashes each upstream that runs it; its caller sends it again.

    Sent on, it would take down one licensed copy after the other, and with
    them the requests of everyone else that run there.
    """
    caller = run.load.callers[0]
    for _ in range(5):
        await caller.get("status", "poison-1", "&poison=1")
    await run.serve(3.0)
    stats = await run.cluster.standins.get_upstream_stats()
    assert sum(upstream["poisoned"] for upstream in stats.values()) == 2
    verdict = await run.finish()
    assert verdict.faults == ()


async def test_planned_stop_interrupts_no_request(run):
    """An entry VM is stopped as planned under load, downloads included.

    Callers that still hold an answer which names it must not meet a closed
    port or an answer that breaks off.
    """
    codes = await run.cluster.stop_vm(VM)
    assert codes == [0, 0, 0]
    await run.serve(1.0)
    verdict = await run.finish()
    assert verdict.faults == ()
    lost = [reason for _, reason in run.load.tally.retries if reason == "refused"]
    assert lost == []


async def test_zone_is_replaced_vm_by_vm(run):
    """Every entry VM of a zone is replaced by a new one, one after another.

    A wave of replacements cuts off nobody, and its upstreams pass from
    the old VMs to the new ones.
    """
    cluster = run.cluster
    for number in (1, 2):
        new = f"north-a-new-{number}"
        cluster.add_vm(new, "north-a")
        await cluster.start_vm(new)
        await wait_until(lambda: cluster.are_ready(new), LIMIT_S, f"{new} to be ready")
        assert await cluster.stop_vm(f"north-a-{number}") == [0, 0, 0]
    await run.serve(3.0)
    verdict = await run.finish()
    assert verdict.faults == ()


async def test_concurrent_applies_conflict(run, tmp_path):
    """Two operators apply different texts that were based on one version.

    One is told that it came second; the other's text is in force on every
    VM and stays so.
    """
    cluster = run.cluster
    paths = [tmp_path / f"operator-{number}.json5" for number in (1, 2)]
    for number, path in enumerate(paths, 1):
        path.write_text(cluster.text.replace("work_s: 0.04", f"work_s: 0.04{number}"))
    applies = [
        cluster.run_ctl("apply", str(p), "--yes", "--base", "1", may_fail=True)
        for p in paths
    ]
    codes = [code for code, _ in await asyncio.gather(*applies)]
    assert sorted(codes) == [0, 4]


async def test_older_platform_backup_does_not_revert_the_configuration(run, tmp_path):
    """The platform comes back from a backup that is older than the text.

    A change that operators saw in force would disappear.
    """
    cluster = run.cluster
    before = await run.get_config_versions()
    await cluster.standins.take_snapshot()
    path = tmp_path / "newer.json5"
    path.write_text(cluster.text.replace("work_s: 0.04", "work_s: 0.041"))
    await cluster.run_ctl("apply", str(path), "--yes")

    async def is_everywhere():
        versions = await run.get_config_versions()
        return len(set(versions)) == 1 and versions[0] > max(before)

    await wait_until(is_everywhere, LIMIT_S, "the change to be in force everywhere")
    newest = await run.get_config_versions()
    await cluster.standins.restore()
    await run.serve(3.0)
    assert await run.get_config_versions() == newest
    _, accepted = await cluster.run_ctl("get")
    _, held = await cluster.run_ctl("get", "--in-force")
    assert ("0.041" in accepted, "0.041" in held) == (False, True)
