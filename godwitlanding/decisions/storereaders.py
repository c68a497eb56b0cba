"""Selects the VMs of a region that read the store, and the others' source.

Load pattern: each VM that follows the store itself has a pending watch for
each kind and makes a call for each change, so the calls grow with VMs times
changes: 59 VMs made 3,060 calls in 42 s, and 2,000 would keep 8,000 watches
pending where 2,000 reads a second are allowed. So ``READERS`` VMs of a region
read the store and push the changes to the other VMs of the region, which are a
few milliseconds away.

A reader may fail, be partitioned from the store alone, or have a connection
that is dead without having been closed, and the VMs that it feeds would act on
stale state while they could reach the store themselves. Three things prevent
that. A reader that sends nothing for ``HEARTBEAT_TIMEOUT_S`` is replaced by
another one. A reader that the store does not answer reports that, and the next
VM in the order reads in its place. And the gossip messages of each VM contain
the latest change of each kind that it knows; a VM that learns of a newer
change and receives nothing of it within ``BEHIND_S`` fetches it from the
sender of that message, in any region, so that even all readers of a region may
miss changes (``decisions.catchup``).
"""

from typing import NamedTuple

from godwitlanding.base.rendezvous import rank
from godwitlanding.decisions.fleet import find_high_capacity

READERS = 2
# Readers and sources send a heartbeat at this interval; after three missing
# ones they are taken to be lost. The shortest time in which a change has to
# take effect is 2.5 s.
HEARTBEAT_INTERVAL_S = 0.3
HEARTBEAT_TIMEOUT_S = 1.0
# A push takes some milliseconds within a region, a digest up to 0.5 s.
BEHIND_S = 0.3
# A transfer of which nothing arrives for this long has stalled. At a full link
# packets wait for half a second, and a lost one is sent again 0.2 s later.
STALLED_S = 1.0
# If no VM reads, the first in the order has this long to begin, and each
# further one as much longer.
NO_READER_S = 0.5
NO_READER_STEP_S = 0.25
# A VM that the store does not answer lets others read for this long.
FAILED_BACKOFF_S = 4.0
# After its start a VM receives messages from running VMs of its region within
# this time; a round trip takes 3 ms.
START_WAIT_S = 0.15


class StoreAccess(NamedTuple):
    """Whether a VM of the region reads the store, as it reports itself."""

    vm: str
    # The store answers it, and it follows every kind of object.
    reads: bool
    # The store does not answer it.
    failed: bool


def rank_readers(peers):
    """Return the names of a region's VMs in the order in which they read.

    VMs with a high capacity come first: they push the changes to all others.
    """
    names = {peer.vm for peer in peers}
    high_capacity = {peer.vm for peer in find_high_capacity(peers)}
    return rank("reader", high_capacity) + rank("reader", names - high_capacity)


def rank_sources(own, peers):
    """Return the names of a region's VMs in the order to follow them.

    VMs with a high capacity come first. Each VM ``own`` has an order of its
    own, so that the readers share the work of sending a large change.
    """
    names = {peer.vm for peer in peers}
    high_capacity = {peer.vm for peer in find_high_capacity(peers)}
    key = f"source {own}"
    return rank(key, high_capacity) + rank(key, names - high_capacity)


def should_read(own, order, access_by_vm, nobody_for_s):
    """Return whether the VM ``own`` (a ``StoreAccess``) has to read the store.

    ``nobody_for_s`` is the time for which no other VM of the region has read.
    """
    if own.vm not in order:
        return True
    if own.failed:
        # The first VMs in the order keep trying, so that the store's return is
        # noticed.
        return order.index(own.vm) < READERS
    available = [vm for vm in order if not _has_failed(vm, own, access_by_vm)]
    position = available.index(own.vm)
    if position < READERS:
        return True
    return nobody_for_s > NO_READER_S + NO_READER_STEP_S * position


def may_stop_reading(own, order, access_by_vm):
    """Return whether enough others read for a VM that does not have to."""
    readers = [vm for vm in order if vm != own.vm and _reads(vm, access_by_vm)]
    return len(readers) >= READERS


def choose_source(order, access_by_vm, current, remote_sources):
    """Return the VM to get the store's state from, empty for none.

    ``current`` is the present source: it is kept while it reads. Otherwise the
    first VM of the region that reads is chosen, then one of ``remote_sources``
    (in other regions, best first), then any VM of the region: a VM that has
    just started and cannot reach the store takes the state that others still
    have.
    """
    if _reads(current, access_by_vm):
        return current
    readers = [vm for vm in order if _reads(vm, access_by_vm)]
    if readers:
        return readers[0]
    if current in remote_sources:
        return current
    if remote_sources:
        return remote_sources[0]
    if current in access_by_vm:
        return current
    return next((vm for vm in order if vm in access_by_vm), "")


def _reads(vm, access_by_vm):
    return vm in access_by_vm and access_by_vm[vm].reads


def _has_failed(vm, own, access_by_vm):
    if vm == own.vm:
        return own.failed
    return vm in access_by_vm and access_by_vm[vm].failed
