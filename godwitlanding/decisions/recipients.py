"""Whom a VM tells that it lives and what it knows.

Load pattern: a few of the many VMs of a region carry the callers' requests.
If each told each other, a VM without a single request would do nearly nothing
but send and read datagrams.

Those that carry requests are *active* and tell the whole region: every VM may
be asked where to connect, and must know at once when one of them is gone.
The others only have to be known to those who may name them in their place,
the active ones, and each of these hears of them once in a round. Where no
active VM is heard, after a start or when all of them were lost, every VM is
active until it hears of enough others.
"""

# Pauses between two words of an active VM; it is silent after almost four.
STATE_INTERVAL_S = 0.4
# A VM that callers are not sent to gets a stray request now and then: from
# those that keep connections, or ask each VM which routes it knows. That does
# not make it one of those that carry.
STRAY_PER_S = 3.0
# Pauses in which a VM that is not active tells each active one once.
IDLE_ROUND = 4


def is_active(own_vm, rate_per_s, carriers):
    """Tell whether a VM tells its whole region that it lives.

    ``rate_per_s`` are the requests that callers send to it; ``carriers`` the
    names of those that callers are sent to, as far as this VM knows.
    """
    return rate_per_s > STRAY_PER_S or not carriers or own_vm in carriers


def pick_recipients(active, hosts, active_hosts, turn):
    """Return the hosts that are told in the pause with the number ``turn``.

    ``hosts`` are those of the region, ``active_hosts`` those of its active
    VMs.

    >>> pick_listeners(False, {"a", "b", "c"}, {"a", "b"}, turn=1)
    ['b']
    """
    if active:
        return sorted(hosts)
    return sorted(active_hosts)[turn % IDLE_ROUND :: IDLE_ROUND]
