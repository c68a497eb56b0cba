"""The lent upstreams of an arbiter, and which of them takes the next request.

Load pattern: many entry VMs, a few slots on each upstream. Where each VM
picks by load reports that lag, several pick the same upstream at once and
push it over its slots while others idle. Here the one holder of all slots
counts them itself.

The next request goes to the upstream with the smallest share of its slots
in use; among equal ones to the least recently used, so that work spreads
and an idle upstream is noticed when it fails.

Some slots are *reluctant*: those of upstreams marked slow, those beyond
what a cold upstream should run, and all but one of an upstream whose
slowness is being measured anew. They come after all others, and only once
waiting for another would take long (``intake``): with ten times the work
time on a slow slot, it is quicker to wait for a quick one.

Every operation is logarithmic in the number of upstreams.
"""

from sortedcontainers import SortedList

from godwitlanding.base.timers import Timers


class PooledUpstream:
    """What the pool knows of an upstream; times on the arbiter's clock."""

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
        """Tell whether a grant is allowed, ejection aside."""
        return (
            self.usable
            and self.loan_end > now
            and self.blocked_until <= now
            and self.paused_until <= now
        )


class Pool:
    """Upstreams by id, with those that have a free slot in order."""

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
        """Return the upstream, known from now on."""
        upstream = self.upstream_by_id.get(upstream_id)
        if upstream is None:
            upstream = PooledUpstream(upstream_id)
            self.upstream_by_id[upstream_id] = upstream
        return upstream

    def forget(self, upstream_id):
        """Drop an upstream that has neither loan nor open permits."""
        upstream = self.upstream_by_id.get(upstream_id)
        if upstream and upstream.open_count == 0:
            self._set_position(upstream, 0, 0, None)
            self._timers.cancel(upstream_id)
            self._ejected.discard(upstream_id)
            self._unusable.discard(upstream_id)
            del self.upstream_by_id[upstream_id]

    def refresh(self, upstream, now):
        """Bring an upstream's place up to date after any change to it."""
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
        """Bring up to date the upstreams whose loan, block or rest ended."""
        for upstream_id in self._timers.pop_due(now):
            self.refresh(self.upstream_by_id[upstream_id], now)

    def get_next_time(self):
        """Return when ``run_timers`` is due, or ``None``."""
        return self._timers.get_next_time()

    def find_free(self, excluded, now):
        """Return the best upstream with a free slot, or ``None``.

        It may be a reluctant one; ask ``has_free`` before.
        """
        for *_, upstream_id in self._free:
            upstream = self.upstream_by_id[upstream_id]
            if upstream_id not in excluded and upstream.may_serve(now):
                return upstream
        return None

    def is_all_excluded(self, excluded):
        """Tell whether every usable upstream is among the excluded ones."""
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
        """Count a permit opened on the upstream."""
        self._uses += 1
        upstream.used_at = self._uses
        upstream.open_count += 1
        self.refresh(upstream, now)

    def give_back(self, upstream, now):
        """Count a permit ended on the upstream."""
        upstream.open_count -= 1
        self.refresh(upstream, now)

    def lift_ejections(self, now):
        """Use ejected upstreams again: nothing else is left."""
        for upstream_id in list(self._ejected):
            upstream = self.upstream_by_id[upstream_id]
            upstream.ejected_until = 0.0
            self.refresh(upstream, now)

    def may_recover(self):
        """Tell whether slots may become usable soon.

        So it is while no loan has come in yet, while a loan has lapsed or
        while the permits of a former arbiter are being counted; not where
        every upstream is out by its own health.
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
