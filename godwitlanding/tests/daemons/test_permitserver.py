"""Tests the take-over of an arbiter, alone and in a simulated zone."""

import pytest

from godwitlanding.base.messages import (
    Acquire,
    Granted,
    Held,
    HeldPermit,
    Holder,
    PassOn,
)
from godwitlanding.daemons.borrower import BorrowedUpstream
from godwitlanding.tests.daemons.zone_processes import (
    make_zone_permit_server as make_zone_server,
)
from godwitlanding.tests.daemons.zone_simulation import ZoneSimulation

HOLDER = Holder("vm1", "vm1-entry-1")
OTHER = Holder("vm2", "vm2-entry-1")
BLOCK_S = 2.0


def make_permit_server(asks, blocked_s=BLOCK_S):
    server = make_zone_server("b", 7)
    server.set_addresses({"u1": "10.0.0.1:1"})
    server.active = True
    server.add_borrowed(BorrowedUpstream("u1", 99.0, True, blocked_s, asks), 1, 0.0)
    return server


def is_granted(server, now):
    """Tell whether a request at ``now`` gets the only slot at once."""
    answers = []
    message = Acquire("status", str(now), "caller", 1, 10.0)
    server.tick(now)
    server.acquire(str(now), HOLDER, message, 10.0, answers.append, now)
    return bool(answers) and isinstance(answers[0], Granted)


@pytest.mark.parametrize(
    ("asks", "answered", "now", "granted"),
    [
        ((HOLDER, OTHER), (HOLDER,), 1.0, False),
        ((HOLDER, OTHER), (HOLDER, OTHER), 1.0, True),
        ((HOLDER, OTHER), (), 2.1, True),
        (None, (HOLDER, OTHER), 1.9, False),
        (None, (), 2.1, True),
        ((), (), 0.1, True),
    ],
)
def test_new_arbiter_waits_for_the_open_permits(asks, answered, now, granted):
    """An arbiter crashes with open permits and another takes over.

    If it granted before it knows them, two requests would run on one slot.
    """
    server = make_permit_server(asks)
    for holder in answered:
        server.add_held_permits(holder, ("u1",), Held(), 0.1)
    assert is_granted(server, now) is granted


def test_permit_of_the_former_arbiter_occupies_its_slot():
    """A holder reports a permit that is valid for another second."""
    held = Held((HeldPermit(5, "u1", 1.0),))
    for now, granted in ((1.4, False), (1.6, True)):
        server = make_permit_server((HOLDER,))
        server.add_held_permits(HOLDER, ("u1",), held, 0.5)
        assert is_granted(server, now) is granted


def test_block_outlasts_a_renewed_loan():
    """A loan expires and is renewed before all holders have reported.

    If the renewal ended the block, slots of open permits would be granted.
    """
    server = make_permit_server((HOLDER, OTHER))
    server.stop_granting(["u1"])
    server.add_borrowed(BorrowedUpstream("u1", 99.0, True), 1, 1.0)
    assert not is_granted(server, 1.9)


def kill_arbiter(world):
    world.restart("vm0", "zone")


def pause_arbiter(world):
    world.node_by_vm["vm0"].zone.paused = True
    world.run(6)
    world.node_by_vm["vm0"].zone.paused = False


def pause_holder(world):
    world.node_by_vm["vm1"].entry.paused = True
    world.run(6)
    world.node_by_vm["vm1"].entry.paused = False


def cut_zone(world):
    world.partitions = {frozenset(("vm0", "vm1")), frozenset(("vm0", "vm2"))}
    world.run(6)
    world.partitions = set()


def lose_vm(world):
    world.remove_vm("vm0")


def replace_all(world):
    for vm in sorted(world.node_by_vm):
        world.remove_vm(vm)
        world.add_vm(f"{vm}x")


def lose_answers_and_replace(world):
    world.platform.lose_answers = True
    replace_all(world)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(
    "fault",
    [
        kill_arbiter,
        pause_arbiter,
        pause_holder,
        cut_zone,
        lose_vm,
        replace_all,
        lose_answers_and_replace,
    ],
)
def test_zone_recovers_from_fault(fault, seed):
    """A fully loaded zone loses an arbiter, a holder, a link or all VMs.

    Its upstreams must never run more requests than slots, and every
    upstream must serve callers again.
    """
    world = ZoneSimulation(seed=seed)
    world.finish_probability = 0.02
    world.run(5)
    fault(world)
    world.run(12)
    before = world.started
    busy = {key[1]: r.upstream for key, r in world.running_by_permit.items()}
    world.run(5)
    assert world.slot_violations == []
    assert world.started > before
    assert set(busy.values()) == set(world.slots_by_upstream)


def test_spill_is_valid_for_the_remaining_time():
    """A zone without usable upstreams spills a request.

    Without a validity in the message, the response of the other zone was
    not awaited: the request ran there and its caller got a timeout.
    """
    server = make_zone_server("a", 7)
    server.arbiter.set_allowances({"b": 1}, 10.0)
    answers = []
    message = Acquire("status", "r1", "caller", 1, remaining_s=2.5)
    server.acquire("r1", HOLDER, message, 3.0, answers.append, 10.0)
    server.tick(11.6)
    (answer,) = answers
    assert isinstance(answer, PassOn)
    assert (answer.availability_zone, answer.valid_s) == ("b", 2.5)
