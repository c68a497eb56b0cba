"""Which share of a region's VMs is heard, so which part of it this side has.

VMs that no longer hear each other may both go on serving callers. If each
side took what is there for the whole region, both together would spend it
twice. So each side takes the share of the region's VMs that are on it, and
the sides' shares add up to one, whatever either of them knows of the other.

Those that carry requests are heard many times a second, and silence of one
is noticed at once: for some seconds the share is that of the carriers that
were known before. Of all VMs it is known only after ``HOLD_S`` who is still
heard, since those that carry nothing say so seldom; by then a VM that was
killed is back.
"""

from typing import NamedTuple

# A VM that lives is heard within this time, also one that carries nothing.
HOLD_S = 5.0
# Others are told of it for this much less: what they were told last must no
# longer count those who are gone when it is due to.
TOLD_S = HOLD_S - 1.0
# One that carries requests is silent after this time.
QUIET_S = 0.6


class _Heard(NamedTuple):
    at: float
    carries: bool
    # How many VMs of the region it hears itself.
    heard: int


class Reachability:
    """The VMs of a region that this one hears; ``now`` is one clock's."""

    def __init__(self):
        self._heard_by_vm = {}

    def note(self, vm, carries, heard, now):
        """A VM says that it lives, and that it hears so many others."""
        self._heard_by_vm[vm] = _Heard(now, carries, heard)

    def count_heard(self, now):
        """Return how many VMs others are told that this one hears."""
        heard = self._heard_by_vm.values()
        return 1 + sum(1 for row in heard if now - row.at <= TOLD_S)

    def get_share(self, listed_vms, own_carries, now):
        """Return the share of the region that is on this side of a cut.

        ``listed_vms`` are the names of the region's other VMs.
        """
        for vm, heard in list(self._heard_by_vm.items()):
            if now - heard.at > HOLD_S:
                del self._heard_by_vm[vm]
        carriers = [heard for heard in self._heard_by_vm.values() if heard.carries]
        silent = sum(1 for heard in carriers if now - heard.at > QUIET_S)
        known = len(carriers) + own_carries
        carrying = (known - silent) / known if known else 1.0
        return min(carrying, self._get_share_of_all(listed_vms))

    def _get_share_of_all(self, listed_vms):
        # VMs that carry nothing are heard only by those that do, so whoever
        # hears most tells how many there are.
        vms = 1 + len(listed_vms | self._heard_by_vm.keys())
        told = [1, *(heard.heard for heard in self._heard_by_vm.values())]
        return min(1.0, max(len(told), *told) / vms)
