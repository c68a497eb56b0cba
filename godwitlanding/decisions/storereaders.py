"""Which VMs of a region read the store, and where the others take it from.

Load pattern: each VM that follows the store itself has a waiting watch for
each kind and a call for each change, so calls grow with VMs times changes:
59 VMs made 3,060 calls in 42 s, and 2,000 would keep 8,000 watches waiting
where 2,000 reads a second are allowed. So ``READERS`` VMs of a region read
and push what they learn to their neighbours, who are a few milliseconds
away.

A reader may die, be cut off from the store alone, or hold a connection that
went silent without an end, and its neighbours would act on old state while
they could reach the store themselves. Three things prevent that. A reader
that is not heard for ``SIGN_SILENT_S`` is left for another. One that the
store refuses says so and the next in the order reads in its place. And each
VM tells with its bulletins up to which change it knows each kind; who hears
of a newer change and has not got it after ``BEHIND_S`` takes it from whoever
told, in whatever region, so that all readers of a region may be deaf.
"""

from typing import NamedTuple

from godwitlanding.base.rendezvous import rank
from godwitlanding.decisions.fleet import find_strong

READERS = 2
# Readers and sources give a sign of life this often; after three are
# missing they are taken for lost. The shortest time in which a change has
# to be in force is 2.5 s.
HEARTBEAT_INTERVAL_S = 0.3
HEARTBEAT_TIMEOUT_S = 1.0
# A push takes some milliseconds in a region, a digest up to 0.5 s.
BEHIND_S = 0.3
# Where nobody reads, the first in the order has this long to begin, and
# each further one as much longer.
NOBODY_S = 0.5
NOBODY_STEP_S = 0.25
# A VM that the store refused lets others go first for this long.
FAILED_BACKOFF_S = 4.0
# After its start a VM hears from its neighbours within this time if they
# live; a way there and back takes 3 ms.
START_WAIT_S = 0.15


class Neighbour(NamedTuple):
    """What a VM of the region says about the store and itself."""

    vm: str
    # The store answers it, and it follows every kind.
    reads: bool
    # The store does not answer it.
    failed: bool


def rank_readers(peers):
    """Return the names of a region's VMs in the order in which they read.

    Strong VMs come first: they push what they learn to all others.
    """
    names = {peer.vm for peer in peers}
    strong = {peer.vm for peer in find_strong(peers)}
    return rank("reader", strong) + rank("reader", names - strong)


def should_read(own, order, neighbour_by_vm, nobody_for_s):
    """Tell whether the VM ``own`` (a ``Neighbour``) is to read the store.

    ``nobody_for_s`` is the time for which no neighbour has read.
    """
    if own.vm not in order:
        return True
    if own.failed:
        # Those that come first go on asking, so that somebody notices when
        # the store is back.
        return order.index(own.vm) < READERS
    able = [vm for vm in order if not _has_failed(vm, own, neighbour_by_vm)]
    position = able.index(own.vm)
    if position < READERS:
        return True
    return nobody_for_s > NOBODY_S + NOBODY_STEP_S * position


def may_stop_reading(own, order, neighbour_by_vm):
    """Tell whether enough others read for a VM that need not."""
    reading = [vm for vm in order if vm != own.vm and _reads(vm, neighbour_by_vm)]
    return len(reading) >= READERS


def choose_source(order, neighbour_by_vm, held, elsewhere):
    """Return the VM to take the store's state from, empty for none.

    ``held`` is the present source: it is kept while it reads. Else the first
    neighbour that reads, then one of ``elsewhere`` (names in other regions,
    best first), then any neighbour at all: a VM that has just started and
    cannot reach the store takes what others still know.
    """
    if _reads(held, neighbour_by_vm):
        return held
    reading = [vm for vm in order if _reads(vm, neighbour_by_vm)]
    if reading:
        return reading[0]
    if held in elsewhere:
        return held
    if elsewhere:
        return elsewhere[0]
    if held in neighbour_by_vm:
        return held
    return next((vm for vm in order if vm in neighbour_by_vm), "")


def _reads(vm, neighbour_by_vm):
    return vm in neighbour_by_vm and neighbour_by_vm[vm].reads


def _has_failed(vm, own, neighbour_by_vm):
    if vm == own.vm:
        return own.failed
    return vm in neighbour_by_vm and neighbour_by_vm[vm].failed
