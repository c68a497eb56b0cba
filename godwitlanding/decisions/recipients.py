"""Selects which VMs receive this VM's periodic state messages.

Load pattern: a few of the many VMs of a region carry the callers' requests. If
every VM sent its state to every other, a VM without a single request would do
almost nothing but send and read datagrams.

VMs that carry requests are *active* and send their state to the whole region:
any VM may be asked where to connect, and must notice at once when an active VM
is lost. The other VMs only need to be known to the VMs that may name them as
replacements, the active ones, and send their state to each active VM once in a
round. If no active VM is known, after a start or when all of them were lost,
every VM is active until it receives messages from enough others.
"""

from bisect import bisect

# Interval between two state messages of an active VM; it is taken to be silent
# after almost four intervals.
STATE_INTERVAL_S = 0.4
# A VM that callers are not directed to still receives a stray request now and
# then, from callers that keep connections open or that ask each VM for its
# routes. Up to this rate the VM does not count as carrying requests.
MAX_STRAY_PER_S = 3.0
# Intervals in which a VM that is not active sends its state to each active VM
# once.
IDLE_ROUND_INTERVALS = 4
# The counts of requests under contention go to this many active VMs: every one
# in a region of 23 VMs. Shares are computed from them, for which the counts of
# 24 VMs are enough, and their bytes do not grow with the number of VMs.
MAX_NEIGHBOURS = 24


def is_active(own_vm, rate_per_s, carriers):
    """Return whether a VM sends its state to its whole region.

    ``rate_per_s`` is the rate of requests that callers send to it;
    ``carriers`` are the names of the VMs that callers are directed to, as far
    as this VM knows.
    """
    return rate_per_s > MAX_STRAY_PER_S or not carriers or own_vm in carriers


def pick_recipients(active, hosts, active_hosts, turn):
    """Return the hosts that receive the state message number ``turn``.

    ``hosts`` are those of the region, ``active_hosts`` those of its active
    VMs.

    >>> pick_recipients(False, {"a", "b", "c"}, {"a", "b"}, turn=1)
    ['b']
    """
    if active:
        return sorted(hosts)
    return sorted(active_hosts)[turn % IDLE_ROUND_INTERVALS :: IDLE_ROUND_INTERVALS]


def pick_neighbours(own_host, active_hosts):
    """Return the hosts that receive request counts, the same ones each time.

    >>> pick_neighbours("b", {"a", "c"})
    ['c', 'a']
    """
    order = sorted(active_hosts)
    start = bisect(order, own_host)
    return (order[start:] + order[:start])[:MAX_NEIGHBOURS]
