"""Tracks request fingerprints that crash upstreams, and stops them.

Load pattern: a single request crashes each upstream that runs it, and its
caller or an entry VM sends it again. Without this ledger one such request
takes down every licensed copy of a service within a few attempts.

A fingerprint that crashed one upstream is a suspect: each process that sends
requests runs one copy of it at a time, so that several sent at once cannot
crash several upstreams before the next crash is known. A fingerprint that
crashed two different upstreams is stopped. An upstream that may have crashed
counts until that is known. Processes tell each other of crashes; until that
has arrived, each goes by those that it knows. The limit is two because a
single crash is more often the upstream's own failure, and the requirements
let a request cost no more than that.

The stop lasts 10 minutes: longer than a caller keeps retrying, short enough
that a repaired upstream is used again within the hour. A request that
crashes upstreams by its content never succeeds; so a fingerprint that
succeeded before is stopped for 5 seconds only, since a failing rack, or a
request that does crash upstreams, takes down two upstreams at once with
whatever popular request they were running. After that one copy at a time may
run, as of a suspect: a success clears it, and with each further crash it is
stopped for twice as long, up to 30 seconds.
"""

from collections import Counter, OrderedDict
from typing import NamedTuple

CRASHES_TO_STOP = 2
STOP_S = 600.0
# Of a request that succeeded before: the first stop, and the longest one, for
# which its crashes count after that.
FIRST_STOP_KNOWN_GOOD_S = 5.0
STOP_KNOWN_GOOD_S = 30.0
MAX_FINGERPRINTS = 10_000


class _Record(NamedTuple):
    crashed_at_by_upstream: dict
    until: float
    crashes: int
    # When one copy at a time may be sent although it crashed several.
    stopped_until: float


class PoisonLedger:
    """Records which upstreams each fingerprint crashed; bounded in size.

    ``note_crash`` records a crash seen by this process, ``note_report`` one
    that a ``Poison`` message from another process reports. A fingerprint of
    0 stands for a request that has none and is never stopped.
    """

    def __init__(self, max_fingerprints=MAX_FINGERPRINTS):
        self._max_fingerprints = max_fingerprints
        self._record_by_fingerprint = OrderedDict()
        self._known_good = OrderedDict()
        self._running = Counter()
        self._unsettled = Counter()

    def begin(self, fingerprint):
        """Count a copy of a request that is sent to an upstream."""
        if fingerprint:
            self._running[fingerprint] += 1

    def end(self, fingerprint):
        """Count the end of a copy."""
        _decrease(self._running, fingerprint)

    def begin_check(self, fingerprint):
        """Count an upstream that may have crashed, until ``end_check``."""
        if fingerprint:
            self._unsettled[fingerprint] += 1

    def end_check(self, fingerprint):
        """Count the end of a check; a crash has been recorded before."""
        _decrease(self._unsettled, fingerprint)

    def note_crash(self, fingerprint, upstream, now):
        """Record a crash; return how many upstreams crashed so far."""
        return self.note_report(fingerprint, upstream, 1, now)

    def note_report(self, fingerprint, upstream, crashes, now, crashed_at=None):
        """Merge another process's count, which may be higher than ours.

        A crash at ``crashed_at`` (default: now) does not count if the request
        has succeeded since, or if the stop would be over.
        """
        crashed_at = now if crashed_at is None else crashed_at
        record = self._get(fingerprint, now)
        good_at = self._known_good.get(fingerprint)
        stop_s = STOP_S if good_at is None else STOP_KNOWN_GOOD_S
        is_outdated = good_at is not None and crashed_at < good_at
        if not fingerprint or is_outdated or crashed_at + stop_s <= now:
            return record.crashes if record else 0
        if record is None:
            record = _Record({}, 0.0, 0, 0.0)
        crashed_at_by_upstream = dict(record.crashed_at_by_upstream)
        known_at = crashed_at_by_upstream.get(upstream, crashed_at)
        crashed_at_by_upstream[upstream] = max(known_at, crashed_at)
        crashes = max(len(crashed_at_by_upstream), crashes, record.crashes)
        until = stopped_until = crashed_at + stop_s
        if good_at is not None:
            stopped_until = crashed_at + _get_stop_known_good_s(crashes)
            if crashes >= CRASHES_TO_STOP:
                until = stopped_until + STOP_KNOWN_GOOD_S
        self._record_by_fingerprint[fingerprint] = _Record(
            crashed_at_by_upstream,
            max(record.until, until),
            crashes,
            max(record.stopped_until, stopped_until),
        )
        self._record_by_fingerprint.move_to_end(fingerprint)
        self._evict_oldest(self._record_by_fingerprint)
        return crashes

    def note_success(self, fingerprint, now):
        """Record a success: the request does not cause the crashes.

        A copy that was under way when the request was stopped counts too: a
        request that crashes upstreams by its content never succeeds. Returns
        whether it was a suspect, or stopped, until now.
        """
        crashes = self.count_crashes(fingerprint, now)
        if not fingerprint:
            return False
        self._record_by_fingerprint.pop(fingerprint, None)
        self._known_good[fingerprint] = now
        self._known_good.move_to_end(fingerprint)
        self._evict_oldest(self._known_good)
        return crashes > 0

    def note_success_report(self, fingerprint, succeeded_at, now):
        """Record a success at another process; older crashes do not count.

        Returns whether any crash did until now.
        """
        good_at = max(succeeded_at, self._known_good.get(fingerprint, succeeded_at))
        self._known_good[fingerprint] = good_at
        self._known_good.move_to_end(fingerprint)
        self._evict_oldest(self._known_good)
        record = self._record_by_fingerprint.pop(fingerprint, None)
        if record is None:
            return False
        for upstream, crashed_at in record.crashed_at_by_upstream.items():
            self.note_report(fingerprint, upstream, 1, now, crashed_at)
        return self.count_crashes(fingerprint, now) < record.crashes

    def is_stopped(self, fingerprint, now):
        """Return whether the request must not be sent to any upstream."""
        unsettled = self._unsettled[fingerprint]
        if self.count_crashes(fingerprint, now) + unsettled < CRASHES_TO_STOP:
            return False
        return bool(unsettled) or now < self._get(fingerprint, now).stopped_until

    def may_send(self, fingerprint, now):
        """Return whether one more copy may be sent to an upstream."""
        if self.is_stopped(fingerprint, now):
            return False
        return not (self._running[fingerprint] and self.is_suspect(fingerprint, now))

    def is_suspect(self, fingerprint, now):
        """Return whether it crashed an upstream, so only one copy may run."""
        return self._get(fingerprint, now) is not None

    def count_crashes(self, fingerprint, now):
        """Return how many upstreams the request crashed."""
        record = self._get(fingerprint, now)
        return record.crashes if record else 0

    def get_crashed_upstreams(self, fingerprint, now):
        """Return the upstreams that the request crashed."""
        record = self._get(fingerprint, now)
        return frozenset(record.crashed_at_by_upstream if record else ())

    def get_crashes(self, fingerprint, now):
        """Return as many (upstream, time) of crashes as stop the request.

        >>> ledger = PoisonLedger()
        >>> ledger.note_crash(7, "a", now=1.0)
        1
        >>> ledger.get_crashes(7, now=2.0)
        [('a', 1.0)]
        """
        record = self._get(fingerprint, now)
        crashes = list(record.crashed_at_by_upstream.items()) if record else []
        return crashes[-CRASHES_TO_STOP:]

    def get_fingerprints(self, now):
        """Return the requests that crashed upstreams, the latest one last."""
        fingerprints = list(self._record_by_fingerprint)
        return [row for row in fingerprints if self._get(row, now) is not None]

    def get_retry_after_s(self, fingerprint, now):
        """Return the seconds until the stop ends, 0 if there is none."""
        record = self._get(fingerprint, now)
        return max(0.0, record.stopped_until - now) if record else 0.0

    def _get(self, fingerprint, now):
        record = self._record_by_fingerprint.get(fingerprint)
        if record and record.until <= now:
            del self._record_by_fingerprint[fingerprint]
            return None
        return record

    def _evict_oldest(self, entries):
        while len(entries) > self._max_fingerprints:
            entries.popitem(last=False)


def _get_stop_known_good_s(crashes):
    doublings = max(0, crashes - CRASHES_TO_STOP)
    return min(STOP_KNOWN_GOOD_S, FIRST_STOP_KNOWN_GOOD_S * 2**doublings)


def _decrease(count_by_fingerprint, fingerprint):
    if count_by_fingerprint[fingerprint] > 1:
        count_by_fingerprint[fingerprint] -= 1
    else:
        del count_by_fingerprint[fingerprint]
