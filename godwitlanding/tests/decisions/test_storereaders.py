"""Tests which VMs read the store, and where the others get its state."""

import pytest

from godwitlanding.decisions.fleet import Capacity
from godwitlanding.decisions.storereaders import (
    NO_READER_S,
    NO_READER_STEP_S,
    READERS,
    StoreAccess,
    choose_source,
    may_stop_reading,
    rank_readers,
    should_read,
)
from godwitlanding.tests.support_fleet import make_peer

VMS = [f"vm-{number}" for number in range(6)]
ORDER = rank_readers([make_peer(vm) for vm in VMS])


def make_store_access(own, readers=(), failed=()):
    return {
        vm: StoreAccess(vm, vm in readers, vm in failed) for vm in ORDER if vm != own
    }


def find_readers(readers=(), failed=(), nobody_for_s=0.0):
    """Return the VMs that read, as each VM decides for itself."""
    return [
        vm
        for vm in ORDER
        if should_read(
            StoreAccess(vm, vm in readers, vm in failed),
            ORDER,
            make_store_access(vm, readers, failed),
            nobody_for_s,
        )
    ]


def test_a_few_vms_read_for_their_region():
    # 59 VMs that each followed the store made 3,060 calls in 42 s.
    assert find_readers() == ORDER[:READERS]


def test_high_capacity_vms_read_first():
    low_capacity = [
        make_peer(f"weak-{n}", capacity=Capacity(5.0, 0.4)) for n in range(9)
    ]
    high_capacity = [make_peer(f"strong-{n}") for n in range(3)]
    order = rank_readers(low_capacity + high_capacity)
    assert {vm.partition("-")[0] for vm in order[:3]} == {"strong"}
    assert len(order) == 12


@pytest.mark.parametrize(
    ("failed", "expected"),
    [
        pytest.param(ORDER[:1], [ORDER[0], *ORDER[1:3]], id="one reader is refused"),
        pytest.param(
            ORDER[:2], [*ORDER[:2], *ORDER[2:4]], id="both readers are refused"
        ),
        pytest.param(ORDER[2:3], ORDER[:2], id="a VM that does not have to read"),
        pytest.param(ORDER, ORDER[:2], id="the store is unavailable"),
    ],
)
def test_next_vms_read_if_the_store_does_not_answer_some(failed, expected):
    # The store refuses some VMs and serves the others. A region whose readers
    # are refused would learn of no changes; the next VMs read in their place,
    # while the first ones keep trying.
    assert find_readers(failed=failed) == expected


def test_other_vms_begin_in_turn_if_no_vm_reads():
    # The first readers hang without noticing, so no VM reports that it reads.
    start_s = NO_READER_S + NO_READER_STEP_S * READERS
    assert find_readers(nobody_for_s=start_s - 0.01) == ORDER[:2]
    assert find_readers(nobody_for_s=start_s + 0.01) == ORDER[:3]
    assert find_readers(nobody_for_s=60.0) == ORDER


def test_unlisted_vm_reads_itself():
    own = StoreAccess("vm-0", False, False)
    assert should_read(own, ["vm-0"], {}, 0.0)


@pytest.mark.parametrize(("others", "may_stop"), [(0, False), (1, False), (2, True)])
def test_reader_stops_when_enough_others_read(others, may_stop):
    # A VM that read while the first ones were unavailable stops only when they
    # read again, or the other VMs would have no source in between.
    own = StoreAccess(ORDER[3], True, False)
    access_by_vm = make_store_access(own.vm, readers=ORDER[:others])
    assert may_stop_reading(own, ORDER, access_by_vm) is may_stop


# The present source, the readers, sources in other regions, and the choice.
SOURCES = (
    pytest.param("", ORDER[:2], [], ORDER[0], id="first reader"),
    pytest.param(ORDER[1], ORDER[:2], [], ORDER[1], id="kept while it reads"),
    pytest.param(ORDER[0], ORDER[1:2], [], ORDER[1], id="no longer reads"),
    pytest.param("far", ORDER[1:2], ["far"], ORDER[1], id="back to the own region"),
    pytest.param(ORDER[0], [], ["far", "other"], "far", id="no reader in the region"),
    pytest.param("other", [], ["far", "other"], "other", id="kept in another region"),
    pytest.param("", [], [], ORDER[0], id="no reader anywhere"),
    pytest.param(ORDER[3], [], [], ORDER[3], id="no reader anywhere, kept"),
    pytest.param("gone", [], [], ORDER[0], id="source is gone"),
)


@pytest.mark.parametrize(("current", "readers", "remote_sources", "expected"), SOURCES)
def test_choose_source(current, readers, remote_sources, expected):
    own = ORDER[-1]
    access_by_vm = make_store_access(own, readers=readers)
    assert choose_source(ORDER, access_by_vm, current, remote_sources) == expected


def test_single_vm_has_no_source():
    assert choose_source(["own"], {}, "", []) == ""
