"""Decides which upstreams may get new requests, from three health sources.

Load pattern: an upstream is leaving and the sources that report it lag by
different times, or a health endpoint is wrong. A request sent to an upstream
that leaves is refused, or cut off when it stops; if every failed probe were
trusted, a fault in the probing would empty a zone.

*Leaving* is combined pessimistically: the platform's list, the upstream's
signal in a response and its health endpoint may each report it, and any one
suffices. A source clears only its own report. A signal in a response has no
later message that clears it: it stays in force until probes have reported
ready for 10 seconds, twice the known lag of 5 seconds of health endpoints.

*Failing* is a guess. Two failed probes in a row count, since one may be a
lost packet. If more than half of the upstreams that are not leaving fail
their probes, the probing is assumed to be at fault and no upstream is taken
out; request outcomes then show which upstreams are bad (``outlier``). An
upstream that finished a request after the first failed probe is not failing.
"""

from typing import NamedTuple

READY = "ready"
DRAINING = "draining"
FAILED = "failed"

PROBES_TO_FAIL = 2
MAX_FAILING_SHARE = 0.5
SIGNAL_HOLD_S = 10.0


class HealthVerdict(NamedTuple):
    """Whether an upstream may get new requests, and if not, why."""

    usable: bool
    leaving: bool
    why: str


class _Record:
    def __init__(self):
        self.list_leaving = False
        self.probe_leaving = False
        self.signaled_at = None
        self.ready_since = None
        self.failed_in_a_row = 0
        self.failing_since = None
        self.success_at = None


class UpstreamHealth:
    """Combines the sources for one service's upstreams in one zone.

    >>> health = UpstreamHealth(["s1", "s2"])
    >>> health.note_signal("s1", DRAINING, now=0.0)
    >>> health.get_verdicts(now=0.0)["s1"]
    HealthVerdict(usable=False, leaving=True, why='its own word')
    """

    def __init__(self, upstream_ids=()):
        self._record_by_upstream = {}
        self.set_upstreams(upstream_ids)

    def set_upstreams(self, upstream_ids):
        """Set the known upstreams, keeping the state of those that stay."""
        self._record_by_upstream = {
            upstream_id: self._record_by_upstream.get(upstream_id) or _Record()
            for upstream_id in upstream_ids
        }

    def note_list(self, upstream_id, leaving, now):
        """Record whether the platform's list or configuration drains it."""
        record = self._record_by_upstream.get(upstream_id)
        if record:
            record.list_leaving = leaving

    def note_signal(self, upstream_id, state, now):
        """Record the state signalled in a response (``Signal.state``)."""
        record = self._record_by_upstream.get(upstream_id)
        if record and state == DRAINING:
            record.signaled_at = now
            record.ready_since = None

    def note_probe(self, upstream_id, state, now):
        """Record a probe result: ``READY``, ``DRAINING`` or ``FAILED``."""
        record = self._record_by_upstream.get(upstream_id)
        if not record:
            return
        if state == FAILED:
            self._note_failed(record, now)
            return
        record.failed_in_a_row = 0
        record.failing_since = None
        record.probe_leaving = state == DRAINING
        if state == DRAINING:
            record.ready_since = None
        elif record.ready_since is None:
            record.ready_since = now
        if record.signaled_at is not None and self._is_signal_expired(record, now):
            record.signaled_at = None

    def note_success(self, upstream_id, now):
        """Record that the upstream finished a request."""
        record = self._record_by_upstream.get(upstream_id)
        if record:
            record.success_at = now

    def get_verdicts(self, now):
        """Return the ``HealthVerdict`` of every upstream by its id."""
        not_leaving = [
            r for r in self._record_by_upstream.values() if not _get_leaving_reason(r)
        ]
        failing = [record for record in not_leaving if _is_failing(record)]
        are_probes_trusted = len(failing) <= len(not_leaving) * MAX_FAILING_SHARE
        return {
            upstream_id: _make_verdict(record, are_probes_trusted)
            for upstream_id, record in self._record_by_upstream.items()
        }

    def _note_failed(self, record, now):
        record.ready_since = None
        record.failed_in_a_row += 1
        if record.failing_since is None:
            record.failing_since = now

    def _is_signal_expired(self, record, now):
        since = record.ready_since
        return since is not None and now - since >= SIGNAL_HOLD_S


def _make_verdict(record, probes_trusted):
    why = _get_leaving_reason(record)
    if why:
        return HealthVerdict(False, True, why)
    if probes_trusted and _is_failing(record):
        return HealthVerdict(False, False, "failed probes")
    return HealthVerdict(True, False, "")


def _get_leaving_reason(record):
    if record.list_leaving:
        return "the configuration drains it"
    if record.signaled_at is not None:
        return "its own word"
    if record.probe_leaving:
        return "its health endpoint"
    return ""


def _is_failing(record):
    if record.failed_in_a_row < PROBES_TO_FAIL:
        return False
    success_at = record.success_at
    return success_at is None or success_at < record.failing_since
