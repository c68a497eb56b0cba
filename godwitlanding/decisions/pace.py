"""Estimates how slow the machines of upstreams are at this moment.

Load pattern: about one upstream in seven shares its machine with a noisy
neighbour and takes 2.5 times as long, for half a second at a time. Its
responses report this. Mean work times change over several responses, so they
show a slow period when it is over, and an upstream that is fast again counts
as slow for seconds: requests then avoid the upstreams that have their
objects cached.

A reported pace counts with a weight that falls to 0 within ``PACE_DECAY_S``.
A slow period of a fixed length that is observed at a random moment is still
there after ``t`` seconds with the probability ``1 - t / length``, so the
linear weight gives the expected pace. After that time, the upstream is used
like any other, and its next response shows its pace.
"""

from math import log
from typing import NamedTuple

# The usual length of a slow period.
PACE_DECAY_S = 0.55
# Figures may be wrong: an upstream that reports that it needs a thousand
# times as long must not be left without requests, and one that reports that
# it needs no time must not get all.
MIN_PACE = 0.5
MAX_PACE = 5.0
# Other VMs are told only of paces that change where a request goes. Work
# times vary by 15 %.
NOTABLE_DIFFERENCE = 0.2
# Bounds what is sent: three rows take 21 bytes of each message, 3.2 KB per
# second at 154 messages per second. A VM with 15 responses a second has
# about one slow upstream to report at any moment.
MAX_ROWS = 3
_MIN_WORK_S = 0.001


class PaceRow(NamedTuple):
    """A pace that an upstream reported, for other VMs."""

    upstream: int
    pace: float
    age_s: float


class _Report(NamedTuple):
    pace: float
    reported_at: float
    # When the first of the reports without a usual one between them was made.
    since: float


class PaceTable:
    """The last reported pace of each upstream; ``now`` is in seconds.

    Upstreams are identified by their numbers (``decisions.occupancy``).

    >>> table = PaceTable()
    >>> table.note(7, 2.0, 10.0)
    >>> table.get(7, 10.0), table.get(7, 11.0)
    (2.0, 1.0)
    """

    def __init__(self):
        self._report_by_number = {}
        self._slow_at_by_number = {}
        # The reports that other VMs need: received by this VM from the
        # upstream itself, and not usual.
        self._own_by_number = {}

    def note(self, number, pace, now):
        """Record the pace in a response that this VM received."""
        report = self._put(number, clamp_pace(pace), now)
        if is_usual(report.pace):
            self._own_by_number.pop(number, None)
        else:
            self._own_by_number[number] = report

    def receive(self, row, now):
        """Record a ``PaceRow`` of another VM, unless a newer pace is known."""
        reported_at = now - max(0.0, row.age_s)
        former = self._report_by_number.get(row.upstream)
        if former is None or former.reported_at < reported_at:
            self._put(row.upstream, clamp_pace(row.pace), reported_at)

    def get(self, number, now):
        """Return the factor on the work time of an upstream."""
        report = self._report_by_number.get(number)
        if report is None:
            return 1.0
        weight = 1.0 - max(0.0, now - report.reported_at) / PACE_DECAY_S
        return 1.0 + (report.pace - 1.0) * max(0.0, weight)

    def get_age_s(self, number, now):
        """Return the seconds since the report that counts, or ``None``."""
        report = self._report_by_number.get(number)
        if report is None or now - report.reported_at >= PACE_DECAY_S:
            return None
        return now - report.reported_at

    def get_mean(self, number, work_s, now):
        """Return the mean pace of work of ``work_s`` that ended at ``now``.

        The last report is that of its end. If it is not usual, the work may
        have begun before the slow period did: that has lasted for a time
        between 0 and ``PACE_DECAY_S``, at least since the first report of it.
        Divided by the reported pace, work that takes as long as a slow period
        would seem to take half of its usual time.
        """
        report = self._report_by_number.get(number)
        if report is None:
            return 1.0
        if is_usual(report.pace):
            return report.pace
        slow_s = PACE_DECAY_S / 2
        if work_s < PACE_DECAY_S:
            slow_s = work_s - work_s**2 / (2 * PACE_DECAY_S)
        slow_s = max(slow_s, min(work_s, now - report.since))
        return work_s / (work_s - slow_s + slow_s / report.pace)

    def was_slow_since(self, number, since):
        """Return whether a slow pace was reported at ``since`` or later."""
        slow_at = self._slow_at_by_number.get(number)
        return slow_at is not None and slow_at >= since

    def get_recent(self, now, is_sent=lambda number: True):
        """Return the newest reports that other VMs need, as ``PaceRow``.

        Those of upstreams for which ``is_sent`` is false are left out.
        Reports of other VMs are not repeated: each VM sends to all others
        that carry requests in its region.
        """
        self._own_by_number = {
            number: report
            for number, report in self._own_by_number.items()
            if now - report.reported_at < PACE_DECAY_S
        }
        rows = [
            PaceRow(number, report.pace, now - report.reported_at)
            for number, report in self._own_by_number.items()
            if is_sent(number)
        ]
        return tuple(sorted(rows, key=lambda row: row.age_s)[:MAX_ROWS])

    def forget(self, number):
        """Discard the paces of an upstream that was removed."""
        self._report_by_number.pop(number, None)
        self._slow_at_by_number.pop(number, None)
        self._own_by_number.pop(number, None)

    def _put(self, number, pace, reported_at):
        former = self._report_by_number.get(number)
        since = reported_at
        if former and not is_usual(former.pace) and not is_usual(pace):
            if reported_at - former.reported_at < PACE_DECAY_S:
                since = former.since
        report = _Report(pace, reported_at, since)
        self._report_by_number[number] = report
        if pace > 1.0 + NOTABLE_DIFFERENCE:
            self._slow_at_by_number[number] = reported_at
        return report


def is_usual(pace):
    """Return whether a pace differs too little to change a choice."""
    return abs(pace - 1.0) <= NOTABLE_DIFFERENCE


def clamp_pace(pace):
    """Return the pace within its bounds."""
    return min(MAX_PACE, max(MIN_PACE, pace))


class PaceTrust:
    """Whether the paces of a service agree with measured times.

    Load pattern: a service that reports made-up paces. Requests would avoid
    upstreams that are as fast as the others, and learnt times would be
    divided by numbers without meaning.

    Only responses whose pace differs from usual are evidence. One agrees if
    the measured time, as a multiple of the service's geometric mean, exceeds
    the fourth root of the reported pace: most requests that end in a slow
    period have begun before it. In model runs, two in three reports of
    machines that are slow for 0.55 s agree, and one in four made-up ones. The
    mean is that of times as measured: divided by false paces, it would
    confirm them.
    """

    # The agreement covers about the last twenty unusual reports; the first
    # ones count as if five undecided ones had gone before. A service is
    # ignored until two in a row have agreed. If paces were used at once, false
    # ones would do harm for seconds after each start.
    _WEIGHT = 0.05
    _FIRST = 0.5
    _FIRST_COUNT = 5
    _LOST_BELOW = 0.45
    _GAINED_ABOVE = 0.6
    # Many slow responses in a row must not pass for the usual time.
    _UNUSUAL_WEIGHT = 0.01
    # The mean of fewer times may be that of one slow period.
    _MIN_COUNT = 5

    def __init__(self):
        self._mean_log_by_kind = {}
        self._agreement_by_service = {}
        self._reports_by_service = {}
        self._trusted = set()

    def note(self, service, warmth, pace, work_s):
        """Record the reported pace and the measured time of a response.

        Returns whether this changed what ``is_trusted`` returns. Times are
        compared with those of requests of the same warmth.
        """
        kind = (service, warmth)
        work_log = log(max(_MIN_WORK_S, work_s))
        count, mean_log = self._mean_log_by_kind.get(kind, (0, work_log))
        weight = self._WEIGHT if is_usual(pace) else self._UNUSUAL_WEIGHT
        mean_log += max(weight, 1 / (count + 1)) * (work_log - mean_log)
        self._mean_log_by_kind[kind] = (count + 1, mean_log)
        if is_usual(pace) or count < self._MIN_COUNT:
            return False
        slowdown_log = work_log - mean_log
        limit_log = log(pace) / 4
        agrees = slowdown_log > limit_log if pace > 1.0 else slowdown_log < limit_log
        share = self._agreement_by_service.get(service, self._FIRST)
        reports = self._reports_by_service.get(service, self._FIRST_COUNT) + 1
        share += max(self._WEIGHT, 1 / reports) * (agrees - share)
        self._agreement_by_service[service] = share
        self._reports_by_service[service] = reports
        was_trusted = self.is_trusted(service)
        if share < self._LOST_BELOW:
            self._trusted.discard(service)
        elif share > self._GAINED_ABOVE:
            self._trusted.add(service)
        return was_trusted != self.is_trusted(service)

    def is_trusted(self, service):
        """Return whether reported paces are used."""
        return service in self._trusted

    def get_agreements(self):
        """Return the share of unusual reports that agreed, by service."""
        return dict(self._agreement_by_service)
