"""Which VMs of a region read the store, and where the others take it from."""

import pytest

from godwitlanding.decisions.fleet import Capacity
from godwitlanding.decisions.storereaders import (
    NOBODY_S,
    NOBODY_STEP_S,
    READERS,
    Neighbour,
    choose_source,
    may_stop_reading,
    rank_readers,
    should_read,
)
from godwitlanding.tests.support_fleet import make_peer

VMS = [f"vm-{number}" for number in range(6)]
ORDER = rank_readers([make_peer(vm) for vm in VMS])


def make_neighbours(own, reading=(), failed=()):
    return {vm: Neighbour(vm, vm in reading, vm in failed) for vm in ORDER if vm != own}


def who_reads(reading=(), failed=(), nobody_for_s=0.0):
    """Return the VMs that read, as each one decides for itself."""
    return [
        vm
        for vm in ORDER
        if should_read(
            Neighbour(vm, vm in reading, vm in failed),
            ORDER,
            make_neighbours(vm, reading, failed),
            nobody_for_s,
        )
    ]


def test_a_few_vms_read_for_their_region():
    # 59 VMs that each followed the store made 3,060 calls in 42 s.
    assert who_reads() == ORDER[:READERS]


def test_strong_vms_read_first():
    weak = [make_peer(f"weak-{n}", capacity=Capacity(5.0, 0.4)) for n in range(9)]
    strong = [make_peer(f"strong-{n}") for n in range(3)]
    order = rank_readers(weak + strong)
    assert {vm.partition("-")[0] for vm in order[:3]} == {"strong"}
    assert len(order) == 12


@pytest.mark.parametrize(
    ("failed", "expected"),
    [
        pytest.param(ORDER[:1], [ORDER[0], *ORDER[1:3]], id="one is refused"),
        pytest.param(ORDER[:2], [*ORDER[:2], *ORDER[2:4]], id="both are refused"),
        pytest.param(ORDER[2:3], ORDER[:2], id="one that need not read"),
        pytest.param(ORDER, ORDER[:2], id="the store is away"),
    ],
)
def test_next_ones_read_where_the_store_refuses_some(failed, expected):
    # The store turns some VMs away and serves the others. A region whose
    # readers are turned away would hear of nothing; the next ones read in
    # their place, while the first go on asking.
    assert who_reads(failed=failed) == expected


def test_others_begin_in_turn_where_nobody_reads():
    # The first readers hang without knowing it, so nobody says that he reads.
    second = NOBODY_S + NOBODY_STEP_S * READERS
    assert who_reads(nobody_for_s=second - 0.01) == ORDER[:2]
    assert who_reads(nobody_for_s=second + 0.01) == ORDER[:3]
    assert who_reads(nobody_for_s=60.0) == ORDER


def test_vm_that_nobody_hears_reads_itself():
    own = Neighbour("vm-0", False, False)
    assert should_read(own, ["vm-0"], {}, 0.0)


@pytest.mark.parametrize(("others", "rests"), [(0, False), (1, False), (2, True)])
def test_reader_rests_when_enough_others_read(others, rests):
    # A VM that read while the first ones were away stops only when they do,
    # or its neighbours would have no source in between.
    own = Neighbour(ORDER[3], True, False)
    neighbours = make_neighbours(own.vm, reading=ORDER[:others])
    assert may_stop_reading(own, ORDER, neighbours) is rests


# The present source, those that read, names elsewhere, and what is chosen.
SOURCES = (
    pytest.param("", ORDER[:2], [], ORDER[0], id="first reader"),
    pytest.param(ORDER[1], ORDER[:2], [], ORDER[1], id="kept while it reads"),
    pytest.param(ORDER[0], ORDER[1:2], [], ORDER[1], id="does not read any more"),
    pytest.param("far", ORDER[1:2], ["far"], ORDER[1], id="back to the own region"),
    pytest.param(ORDER[0], [], ["far", "other"], "far", id="nobody reads here"),
    pytest.param("other", [], ["far", "other"], "other", id="kept elsewhere"),
    pytest.param("", [], [], ORDER[0], id="nobody reads at all"),
    pytest.param(ORDER[3], [], [], ORDER[3], id="nobody reads, kept"),
    pytest.param("gone", [], [], ORDER[0], id="source is gone"),
)


@pytest.mark.parametrize(("held", "reading", "elsewhere", "expected"), SOURCES)
def test_choose_source(held, reading, elsewhere, expected):
    own = ORDER[-1]
    neighbours = make_neighbours(own, reading=reading)
    assert choose_source(ORDER, neighbours, held, elsewhere) == expected


def test_lone_vm_has_no_source():
    assert choose_source(["own"], {}, "", []) == ""
