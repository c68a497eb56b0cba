"""Tests guarantees that can only be verified with real processes.

Each test starts a small cluster, causes a fault under load and waits, with
generous time limits, for the expected state. The result is decided by what
callers and upstreams have counted.
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
    """Runs a cluster under load."""

    def __init__(self, network, directory):
        self.cluster = Cluster(CONFIG_TEXT, network, log_directory=directory)
        self.load = None

    async def start(self):
        """Start the cluster and the load; wait until each service serves."""
        await self.cluster.start()
        self.load = Load(self.cluster)
        await self.load.start(*RATES)
        await self.serve(1.0)

    async def serve(self, seconds, services=()):
        """Wait for as many completed requests as arrive in ``seconds``."""
        await self.load.serve(seconds, services)

    async def finish(self, may_cut=False, drained=()):
        """End the load and return its verdict."""
        return await self.load.evaluate_run(drained, may_cut)

    async def get_config_versions(self):
        """Return the configuration version that each daemon uses."""
        keys = [(vm, role) for vm in self.cluster.vm_by_name for role in ROLES]
        statuses = await asyncio.gather(
            *(self.cluster.get_status(*key) for key in keys)
        )
        return [status["versions"].get("config/main", 0) for status in statuses]

    async def find_arbiter(self, service, zone):
        """Return the VM whose zone daemon is the service's arbiter."""
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
    """The arbiter's VM is killed under load.

    Callers of its zone may be refused for a while and must be served again.
    The two successive arbiters together must not exceed an upstream's slots.
    """
    await run.cluster.kill_vm(await run.find_arbiter("status", "north-a"))
    await run.serve(3.0)
    verdict = await run.finish(may_cut=True)
    assert verdict.faults == ()


@pytest.mark.parametrize("roles", [("zone",), ("entry",), ("zone", "entry")])
async def test_resumed_daemons_exceed_no_slots_and_repeat_no_work(run, roles):
    """A VM is paused for longer than its loans and permits are valid.

    If it still granted and dispatched by them after it resumes, an upstream
    would run more requests than it has slots and a payment might run twice.
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
    """The platform is unavailable while payments are made.

    Payments that were started before must complete, new ones are accepted
    with tickets that need no platform, and none may run twice.
    """
    await run.cluster.standins.set_faults(outage=outage)
    await run.serve(3.0)
    await run.cluster.standins.set_faults(outage="none")
    await run.serve(3.0)
    verdict = await run.finish()
    assert verdict.faults == ()


async def test_zone_without_the_platform_keeps_serving(run, tmp_path):
    """One zone cannot reach the platform while a change is applied.

    Its own upstreams must serve its callers, payments included, and the
    change must take effect there once the zone is connected again.
    """
    cluster = run.cluster
    await cluster.disconnect_from_platform("north-a")

    async def is_detected():
        status = await cluster.get_status(VM, "zone")
        return not status["services"]["members"]["platform_reachable"]

    await wait_until(
        is_detected, LIMIT_S, "the zone to detect that the platform is unreachable"
    )
    path = tmp_path / "newer.json5"
    path.write_text(cluster.text.replace("work_s: 0.04", "work_s: 0.041"))
    await cluster.run_ctl("apply", str(path), "--yes")
    await run.serve(3.0)
    await cluster.disconnect_from_platform()

    async def is_everywhere():
        return len(set(await run.get_config_versions())) == 1

    await wait_until(is_everywhere, LIMIT_S, "the change to take effect everywhere")
    verdict = await run.finish()
    assert verdict.faults == ()


async def test_lost_responses_to_journal_writes(run):
    """The platform applies journal writes but their responses are lost.

    A payment that is sent again because the write of its claim appeared to
    have failed would be charged to a pensioner twice.
    """
    await run.cluster.standins.set_faults(lost_answers=10, lost_kind="journal")

    async def are_lost():
        stats = await run.cluster.standins.get_platform_stats()
        return stats.get("lost_answers", 0) >= 10

    await wait_until(are_lost, LIMIT_S, "the responses of 10 journal writes to be lost")
    await run.serve(3.0, ("renewal",))
    verdict = await run.finish()
    assert verdict.faults == ()
    assert run.load.tally.count("unknown") == 0


SWITCHES_BY_SIGN = {
    "refusals and health": {"draining": True},
    "health only": {"draining": True, "refuses_when_draining": False},
}


@pytest.mark.parametrize("sign", ["configuration", *SWITCHES_BY_SIGN])
async def test_draining_upstream_gets_no_new_requests(run, sign):
    """An upstream will be stopped and only one source reports it.

    Requests that are still sent there would be interrupted when it stops.
    """
    upstream_id = "status-a-1"
    switches = SWITCHES_BY_SIGN.get(sign)
    if switches is None:
        switches = {**SWITCHES_BY_SIGN["health only"], "health": "always_ok"}
        await run.cluster.run_ctl("drain", "upstream", upstream_id, "--yes")
    await run.cluster.standins.change_upstream(upstream_id, **switches)

    async def count_sent():
        stats = (await run.cluster.standins.get_upstream_stats())[upstream_id]
        return stats["begun"] + stats["refused_draining"]

    async def gets_no_requests():
        before = await count_sent()
        await run.serve(1.0, ("status",))
        return await count_sent() == before

    await wait_until(gets_no_requests, LIMIT_S, "the upstream to get no new requests")
    before = await count_sent()
    await run.serve(3.0, ("status",))
    assert await count_sent() == before
    verdict = await run.finish()
    assert verdict.faults == ()


async def test_poison_request_is_rejected_after_two_crashes(run):
    """A request crashes each upstream that runs it; its caller retries it.

    If it were sent to further upstreams, it would crash one licensed copy
    after another, together with the other requests that run there.
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

    Callers that still hold a steer response with this VM must not get a
    refused connection or an interrupted response.
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

    The replacements must interrupt no request, and the upstreams must be
    handed over from the old VMs to the new ones.
    """
    cluster = run.cluster
    for number in (1, 2):
        new = f"north-a-new-{number}"
        cluster.add_vm(new, "north-a")
        await cluster.start_vm(new)
        await wait_until(
            lambda: cluster.is_vm_ready(new), LIMIT_S, f"{new} to be ready"
        )
        assert await cluster.stop_vm(f"north-a-{number}") == [0, 0, 0]
    await run.serve(3.0)
    verdict = await run.finish()
    assert verdict.faults == ()


async def test_concurrent_applies_conflict(run, tmp_path):
    """Two operators apply different configurations based on one version.

    Exactly one must succeed and the other must get a version conflict, or
    one change would silently overwrite the other.
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
    """The platform is restored from a backup older than the configuration.

    A change that operators saw in effect would be reverted.
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

    await wait_until(is_everywhere, LIMIT_S, "the change to take effect everywhere")
    newest = await run.get_config_versions()
    await cluster.standins.restore()
    await run.serve(3.0)
    assert await run.get_config_versions() == newest
    _, accepted = await cluster.run_ctl("get")
    _, held = await cluster.run_ctl("get", "--in-force")
    assert ("0.041" in accepted, "0.041" in held) == (False, True)
