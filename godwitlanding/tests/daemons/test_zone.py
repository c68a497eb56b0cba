"""Tests several zone daemons together, with an in-memory network."""

import asyncio
import json
from contextlib import asynccontextmanager

import pytest

from godwitlanding.base.messages import Acquire, Granted, Signal
from godwitlanding.tests.daemons.memory_network import Daemon, MemoryZone

pytestmark = pytest.mark.looptime

VMS = ("vm1", "vm2", "vm3", "vm4")
UPSTREAMS = ("s-1", "s-2", "s-3", "s-4", "s-5", "s-6")


def make_config_text(drains="", comment=""):
    upstreams = ",".join(
        f'{{id:"{name}",address:"10.0.1.{n}:1",availability_zone:"a",slots:1}}'
        for n, name in enumerate(UPSTREAMS)
    )
    other = '{id:"o-1",address:"10.0.2.1:1",availability_zone:"a"}'
    return f"""// {comment}
    {{format:1,name:"t",
      regions:[{{name:"n",availability_zones:["a","b"]}}],
      services:[{{name:"status",kind:"lookup",deadline_s:2,upstreams:[{upstreams}]}},
        {{name:"other",kind:"lookup",deadline_s:2,upstreams:[{other}]}}],
      drains:[{drains}]}}""".encode()


@asynccontextmanager
async def run_zone(vms=VMS, **options):
    zone = MemoryZone(vms, **options)
    (await zone.store.put("config", "main", make_config_text(), 0)).unwrap()
    await zone.start()
    await asyncio.sleep(5)
    try:
        yield zone
    finally:
        await zone.stop()


async def change_config_text(zone, text):
    held = (await zone.store.get("config", "main")).unwrap()
    return (await zone.store.put("config", "main", text, held.version)).unwrap()


def get_arbiter(zone, viewer=None):
    daemon = viewer or next(iter(zone.daemon_by_vm.values()))
    vm = daemon.get("members").get_arbiters()["status"][0]
    return zone.daemon_by_vm[vm]


async def acquire(daemon, arbiter, number, excluded=(), service="status"):
    message = Acquire(
        service, f"r{number}", "c", 1, 1.0, excluded_upstreams=tuple(excluded)
    )
    answer = await daemon.entry_pool.call(arbiter.own_address, message, 2.0)
    return answer.unwrap_or(None)


async def test_every_slot_is_granted_once():
    async with run_zone() as zone:
        arbiter = get_arbiter(zone)
        holders = list(zone.daemon_by_vm.values())
        calls = (acquire(holders[n % 4], arbiter, n) for n in range(len(UPSTREAMS)))
        answers = await asyncio.gather(*calls)
        assert sorted(a.upstream for a in answers) == sorted(UPSTREAMS)
        more = await acquire(holders[0], arbiter, 99)
        assert not isinstance(more, Granted)


async def test_change_reaches_every_process_by_two_watchers():
    """A change must reach every process while only two members watch.

    If all members watched, the load on the platform would grow with VMs.
    """
    async with run_zone() as zone:
        version = await change_config_text(zone, make_config_text(comment="new"))
        await asyncio.sleep(0.1)
        for daemon in zone.daemon_by_vm.values():
            for replica in (daemon.context.replica, daemon.entry_context.replica):
                assert replica.get_version("config", "main") == version
        watchers = [
            vm
            for vm, daemon in zone.daemon_by_vm.items()
            if daemon.get("replication").get_status()["is_watcher"]
        ]
        assert len(watchers) == 2


@pytest.mark.parametrize("seeds", [(), ("10.0.0.1",)])
async def test_vm_started_while_the_platform_is_away(seeds):
    """A VM is started during an outage of the platform.

    With a seed it must serve with the objects of its peers; without one it
    must stay unready.
    """
    async with run_zone(("vm1", "vm2")) as zone:
        zone.store.set_available(False)
        await asyncio.sleep(3)
        daemon = Daemon(zone.network, zone.store, "vm9", "a", seeds)
        zone.daemon_by_vm["vm9"] = daemon
        await daemon.start()
        await asyncio.sleep(5)
        assert daemon.get("replication").is_ready() is bool(seeds)
        if seeds:
            assert get_arbiter(zone, daemon) is get_arbiter(zone)
            assert isinstance(await acquire(daemon, get_arbiter(zone), 1), Granted)


async def test_older_platform_state_is_rejected_and_reported():
    """The platform is restored from a backup with an older configuration.

    If the daemons adopted it, they would revert an accepted change.
    """
    async with run_zone(("vm1", "vm2")) as zone:
        backup = zone.store.objects.take_snapshot()
        version = await change_config_text(zone, make_config_text(comment="new"))
        await asyncio.sleep(1)
        zone.store.objects.restore(backup)
        await asyncio.sleep(3)
        for daemon in zone.daemon_by_vm.values():
            assert daemon.context.replica.get_version("config", "main") == version
            status = daemon.get("replication").get_status()
            assert "config/main" in status["older_on_platform"]


def drain_by_configuration(zone, arbiter):
    text = make_config_text('{what:"upstream",name:"s-1"}')
    return change_config_text(zone, text)


async def drain_by_signal(zone, arbiter):
    message = Signal("s-1", "draining")
    await arbiter.entry_pool.send(arbiter.own_address, message)


async def drain_by_probe(zone, arbiter):
    health = arbiter.get("arbitration").health_by_service["status"]
    health.note_probe("s-1", "draining", asyncio.get_running_loop().time())


@pytest.mark.parametrize(
    "drain", [drain_by_configuration, drain_by_signal, drain_by_probe]
)
async def test_leaving_upstream_gets_no_new_permits(drain):
    """An upstream drains, and only one of three sources reports it.

    Requests granted to it afterwards would be interrupted when it stops.
    """
    async with run_zone() as zone:
        arbiter = get_arbiter(zone)
        others = set(UPSTREAMS) - {"s-1"}
        assert isinstance(await acquire(arbiter, arbiter, 1, others), Granted)
        await asyncio.sleep(3)
        await drain(zone, arbiter)
        await asyncio.sleep(2)
        assert not isinstance(await acquire(arbiter, arbiter, 2, others), Granted)
        assert isinstance(await acquire(arbiter, arbiter, 3), Granted)


async def test_killed_arbiter_is_replaced():
    """An arbiter is killed; another member must grant its permits again."""
    async with run_zone() as zone:
        arbiter = get_arbiter(zone)
        del zone.daemon_by_vm[arbiter.vm]
        await arbiter.kill()
        await asyncio.sleep(6)
        new_arbiter = get_arbiter(zone)
        assert new_arbiter is not arbiter
        granted = await acquire(new_arbiter, new_arbiter, 1)
        assert isinstance(granted, Granted)


async def test_stopping_daemon_hands_over_its_upstreams():
    """A VM is stopped as planned; its slots must stay usable meanwhile."""
    async with run_zone() as zone:
        arbiter = get_arbiter(zone)
        del zone.daemon_by_vm[arbiter.vm]
        await arbiter.kernel.stop()
        await asyncio.sleep(1)
        roster = next(iter(zone.daemon_by_vm.values())).get("lending").get_owners()
        assert arbiter.vm not in roster
        new_arbiter = get_arbiter(zone)
        calls = (acquire(new_arbiter, new_arbiter, n) for n in range(len(UPSTREAMS)))
        answers = await asyncio.gather(*calls)
        assert sorted(a.upstream for a in answers) == sorted(UPSTREAMS)


async def test_isolated_member_keeps_its_own_upstreams():
    """A member is partitioned from its zone.

    It must keep granting its own upstreams and no other member may, or their
    slots would be exceeded.
    """
    async with run_zone() as zone:
        daemons = list(zone.daemon_by_vm.values())
        isolated = daemons[0]
        own_upstreams = set(isolated.get("lending").get_status()["loan_by_upstream"])
        for other in daemons[1:]:
            zone.network.cuts.add(frozenset((isolated.vm, other.vm)))
        await asyncio.sleep(8)
        answers = await asyncio.gather(
            *(acquire(isolated, isolated, n) for n in range(len(own_upstreams)))
        )
        assert {a.upstream for a in answers if isinstance(a, Granted)} == own_upstreams
        new_arbiter = get_arbiter(zone, daemons[1])
        answers = await asyncio.gather(
            *(acquire(daemons[1], new_arbiter, n) for n in range(len(UPSTREAMS)))
        )
        granted = {a.upstream for a in answers if isinstance(a, Granted)}
        assert granted == set(UPSTREAMS) - own_upstreams


async def test_planner_is_replaced():
    """The planner's VM is killed; another zone's candidate gets the lease."""
    zones = {"vm1": "a", "vm2": "a", "vm3": "b", "vm4": "b"}
    async with run_zone(zone_by_vm=zones) as zone:

        def list_planners():
            return [
                daemon.vm
                for daemon in zone.daemon_by_vm.values()
                if daemon.get("planner").get_status()["holds_lease"]
            ]

        (planner,) = list_planners()
        await zone.daemon_by_vm.pop(planner).kill()
        zone.list_vms()
        await asyncio.sleep(9)
        assert len(list_planners()) == 1
        plan = next(iter(zone.daemon_by_vm.values())).context.replica.get(
            "plan", "main"
        )
        assert plan is not None


async def test_ticket_secret_is_created_once():
    async with run_zone(("vm1", "vm2")) as zone:
        keys = {
            daemon.context.replica.get("secret", "ticket").body
            for daemon in zone.daemon_by_vm.values()
        }
        assert len(keys) == 1


async def test_holder_of_another_zone_gets_no_permit():
    """A process with a wrong view requests a permit in another zone.

    That zone's next arbiter would not know the holder, and so not request
    the permit from it.
    """
    async with run_zone(zone_by_vm={"vm3": "b", "vm4": "b"}) as zone:
        foreign_daemon = zone.daemon_by_vm["vm3"]
        answer = await acquire(foreign_daemon, get_arbiter(zone), 1)
        assert not isinstance(answer, Granted)


async def test_ended_holder_is_removed_from_every_service():
    """An entry process that used two services ends.

    If it stayed listed with the owners, each new arbiter would request its
    permits and block the slots until the longest permit has expired.
    """
    async with run_zone(("vm1",)) as zone:
        daemon = zone.daemon_by_vm["vm1"]
        for service in ("status", "other"):
            answer = await acquire(daemon, daemon, service, service=service)
            assert isinstance(answer, Granted)
        await daemon.entry_pool.stop()
        await daemon._entry.stop()
        for channel in daemon.listener.channels:
            channel.close()
        await asyncio.sleep(5)
        for desk in daemon.get("arbitration").permit_server_by_service.values():
            assert desk.borrower.make_loan("vm9", 0.0).holders == ()


async def test_zone_keeps_writing_after_a_platform_restore():
    # Guards against writes that are conditional on versions which the
    # restored platform has lost: each of them would be rejected.
    async with run_zone(("vm1", "vm2")) as zone:
        await asyncio.sleep(3)
        backup = zone.store.objects.take_snapshot()
        await asyncio.sleep(3)
        zone.store.objects.restore(backup)
        await asyncio.sleep(3)
        former = zone.store.objects.get("summary", "a").unwrap()
        await asyncio.sleep(3)
        summary = zone.store.objects.get("summary", "a").unwrap()
        assert summary.value != former.value
        for daemon in zone.daemon_by_vm.values():
            held = daemon.context.replica.get("summary", "a")
            assert json.loads(held.body)["sequence"] > 0
            assert held.body != former.value


async def test_configuration_applied_after_a_restore_takes_effect_at_once():
    # Guards against ignoring a configuration whose version number is one that
    # the daemons had already received before the restore.
    async with run_zone(("vm1", "vm2")) as zone:
        backup = zone.store.objects.take_snapshot()
        for number in range(5):
            await change_config_text(zone, make_config_text(comment=f"lost {number}"))
        await asyncio.sleep(1)
        zone.store.objects.restore(backup)
        await asyncio.sleep(3)
        text = make_config_text(comment="new")
        await change_config_text(zone, text)
        await asyncio.sleep(1)
        for daemon in zone.daemon_by_vm.values():
            assert daemon.context.replica.get("config", "main").body == text
            status = daemon.get("replication").get_status()
            assert "config/main" not in status["older_on_platform"]
