"""Computes the share of a region's VMs that this VM can reach.

During a network partition the VMs on both sides may go on serving callers. If
each side used the limits of the whole region, both together would spend them
twice. So each side uses the share of the region's VMs that is on its side; the
shares of all sides add up to one, whatever each side knows of the others.

VMs that carry requests send messages many times a second, and the silence of
one is noticed at once: for some seconds the share is that of the carriers
known before. For all VMs it takes ``REACHABLE_FOR_S`` to know which are
reachable, since VMs that carry no requests send seldom; by then a killed VM
has restarted.
"""

from typing import NamedTuple

# A running VM sends a message within this time, even if it carries no
# requests.
REACHABLE_FOR_S = 5.0
# Reports to others cover a time shorter by this much, so that the last report
# no longer counts a lost VM when ``REACHABLE_FOR_S`` has passed.
REPORTED_FOR_S = REACHABLE_FOR_S - 1.0
# A VM that carries requests is silent after this time.
CARRIER_TIMEOUT_S = 0.6


class _LastMessage(NamedTuple):
    received_at: float
    carries: bool
    # Number of VMs of the region that it can reach itself.
    reachable_vms: int


class Reachability:
    """The last message from each VM of the region.

    ``now`` is the time in seconds on one clock in every call.
    """

    def __init__(self):
        self._last_message_by_vm = {}

    def note(self, vm, carries, reachable_vms, now):
        """Record a VM's message with the number of VMs that it can reach."""
        self._last_message_by_vm[vm] = _LastMessage(now, carries, reachable_vms)

    def count_reachable(self, now):
        """Return the number of reachable VMs that is reported to others."""
        messages = self._last_message_by_vm.values()
        return 1 + sum(
            1 for message in messages if now - message.received_at <= REPORTED_FOR_S
        )

    def get_share(self, listed_vms, carries_requests, now):
        """Return the share of the region on this side of a partition.

        ``listed_vms`` are the names of the region's other VMs. The share is
        above zero, since a VM is always on its own side.
        """
        for vm, message in list(self._last_message_by_vm.items()):
            if now - message.received_at > REACHABLE_FOR_S:
                del self._last_message_by_vm[vm]
        return min(
            self._get_share_of_carriers(carries_requests, now),
            self._get_share_of_all_vms(listed_vms),
        )

    def _get_share_of_carriers(self, carries_requests, now):
        carriers = [
            message for message in self._last_message_by_vm.values() if message.carries
        ]
        reachable = sum(
            1 for message in carriers if now - message.received_at <= CARRIER_TIMEOUT_S
        )
        # Without a reachable carrier, the next request that reaches this VM
        # makes it the only carrier on its side, so it counts itself already.
        own = 1 if carries_requests or not reachable else 0
        return (reachable + own) / (len(carriers) + own)

    def _get_share_of_all_vms(self, listed_vms):
        # VMs that carry no requests send messages only to carriers, so the
        # highest reported count is the number of reachable VMs.
        vms = 1 + len(listed_vms | self._last_message_by_vm.keys())
        reported_counts = [
            1,
            *(message.reachable_vms for message in self._last_message_by_vm.values()),
        ]
        return min(1.0, max(len(reported_counts), *reported_counts) / vms)
