"""Chooses the upstream for the next request among those lent to an arbiter.

There are many entry VMs and few slots on each upstream. If each VM chose by
delayed load reports, several would choose the same upstream at once and
exceed its slots while others are idle. The arbiter instead counts the slots
in use itself.

The next request goes to the upstream with the smallest share of its slots
in use, and among equal ones to the least recently used. This spreads the
work and detects the failure of an idle upstream.

A slot is *eager* if it is used as soon as it is free. Some slots are
*reluctant*: those of upstreams marked slow, those beyond what a cold
upstream should run, and all but one of an upstream on probation, whose
speed is being measured again. They are used after all others, and only if
the wait for an eager slot would be long (see ``intake``): if work takes ten
times as long on a slow slot, waiting for a fast one is quicker.

Every operation is logarithmic in the number of upstreams.
"""

from sortedcontainers import SortedList

from godwitlanding.base.timers import Timers


class PooledUpstream:
    """The state of an upstream in the pool; times on the arbiter's clock."""

    def __init__(self, upstream_id):
        self.id = upstream_id
        self.slots = 0
        self.loan_end = 0.0
        self.blocked_until = 0.0
        self.ejected_until = 0.0
        self.paused_until = 0.0
        self.slow_until = 0.0
        self.on_probation = False
        self.usable = True
        self.open_count = 0
        self.capacity = 0
        self.eager = 0
        self.used_at = 0
        self.key = None

    def is_on_loan(self, now):
        """Tell whether the upstream's owner lends it at ``now``."""
        return self.loan_end > now

    def may_serve(self, now):
        """Tell whether a grant is allowed, apart from ejection."""
        return (
            self.usable
            and self.loan_end > now
            and self.blocked_until <= now
            and self.paused_until <= now
        )


class Pool:
    """Upstreams by id, and those with a free slot in order of choice."""

    def __init__(self, warmup):
        self.warmup = warmup
        self.upstream_by_id = {}
        self.usable_slots = 0
        self.usable_count = 0
        self.eager_slots = 0
        self._free = SortedList()
        self._ejected = set()
        self._unusable = set()
        self._timers = Timers()
        self._uses = 0

    def get(self, upstream_id):
        """Return the upstream; adds it if it is unknown."""
        upstream = self.upstream_by_id.get(upstream_id)
        if upstream is None:
            upstream = PooledUpstream(upstream_id)
            self.upstream_by_id[upstream_id] = upstream
        return upstream

    def forget(self, upstream_id):
        """Remove an upstream without a loan, unless it has open permits."""
        upstream = self.upstream_by_id.get(upstream_id)
        if upstream and upstream.open_count == 0:
            self._set_position(upstream, 0, 0, None)
            self._timers.cancel(upstream_id)
            self._ejected.discard(upstream_id)
            self._unusable.discard(upstream_id)
            del self.upstream_by_id[upstream_id]

    def refresh(self, upstream, now):
        """Update an upstream's position after any change to it."""
        capacity = self._get_capacity(upstream, now)
        eager = self._get_eager(upstream, now) if capacity else 0
        key = None
        if upstream.open_count < capacity:
            share = upstream.open_count / upstream.slots
            is_reluctant = upstream.open_count >= eager
            key = (is_reluctant, share, upstream.used_at, upstream.id)
        self._set_position(upstream, capacity, eager, key)
        self._set_timer(upstream, now)
        if upstream.ejected_until > now:
            self._ejected.add(upstream.id)
        else:
            self._ejected.discard(upstream.id)
        if upstream.usable:
            self._unusable.discard(upstream.id)
        else:
            self._unusable.add(upstream.id)

    def run_timers(self, now):
        """Update the upstreams whose loan, block, ejection or pause ended."""
        for upstream_id in self._timers.pop_due(now):
            self.refresh(self.upstream_by_id[upstream_id], now)

    def get_next_time(self):
        """Return when ``run_timers`` is due, or ``None``."""
        return self._timers.get_next_time()

    def find_free(self, excluded, now):
        """Return the best upstream with a free slot, or ``None``.

        The slot may be reluctant; call ``has_free`` first.
        """
        for *_, upstream_id in self._free:
            upstream = self.upstream_by_id[upstream_id]
            if upstream_id not in excluded and upstream.may_serve(now):
                return upstream
        return None

    def is_all_excluded(self, excluded):
        """Tell whether every usable upstream is excluded."""
        if len(excluded) < self.usable_count:
            return False
        known = (self.upstream_by_id.get(upstream_id) for upstream_id in excluded)
        usable = sum(1 for upstream in known if upstream and upstream.capacity)
        return usable >= self.usable_count

    def has_free(self, include_reluctant=True):
        """Tell whether any upstream has a free slot."""
        if not self._free:
            return False
        return include_reluctant or not self._free[0][0]

    def take(self, upstream, now):
        """Record that a permit on the upstream was opened."""
        self._uses += 1
        upstream.used_at = self._uses
        upstream.open_count += 1
        self.refresh(upstream, now)

    def give_back(self, upstream, now):
        """Record that a permit on the upstream has ended."""
        upstream.open_count -= 1
        self.refresh(upstream, now)

    def lift_ejections(self, now):
        """End all ejections, when no other upstream is left."""
        for upstream_id in list(self._ejected):
            upstream = self.upstream_by_id[upstream_id]
            upstream.ejected_until = 0.0
            self.refresh(upstream, now)

    def may_recover(self):
        """Tell whether slots may become usable soon.

        This is so before the first loan, after a loan has expired and
        while the permits of a former arbiter are collected, but not if
        every upstream is unusable by its own health.
        """
        return not self._unusable or len(self._unusable) < len(self.upstream_by_id)

    def _get_capacity(self, upstream, now):
        if not upstream.may_serve(now) or upstream.ejected_until > now:
            return 0
        return upstream.slots

    def _get_eager(self, upstream, now):
        if upstream.slow_until > now:
            return 0
        if upstream.on_probation:
            return 1
        return self.warmup.get_slots(upstream.id, upstream.slots, now)

    def _set_position(self, upstream, capacity, eager, key):
        self.usable_slots += capacity - upstream.capacity
        self.usable_count += (capacity > 0) - (upstream.capacity > 0)
        self.eager_slots += eager - upstream.eager
        upstream.capacity = capacity
        upstream.eager = eager
        if key == upstream.key:
            return
        if upstream.key is not None:
            self._free.remove(upstream.key)
        if key is not None:
            self._free.add(key)
        upstream.key = key

    def _set_timer(self, upstream, now):
        times = (
            upstream.loan_end,
            upstream.blocked_until,
            upstream.ejected_until,
            upstream.paused_until,
            upstream.slow_until,
            self.warmup.get_next_time(upstream.id, upstream.slots, now) or 0.0,
        )
        coming = [time for time in times if time > now]
        if coming:
            self._timers.set(upstream.id, min(coming))
        else:
            self._timers.cancel(upstream.id)
