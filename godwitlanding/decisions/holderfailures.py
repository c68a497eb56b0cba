"""Tells failures of upstreams from those of a permit holder's own links.

Load pattern: an entry process loses its links to all upstreams for some
seconds, so each of its permits ends as a crash or a failure. Counted against
the upstreams, half of those of a zone would be ejected and treated as cold for
all processes, although only one VM is cut off.

Failures of one holder at different upstreams, without a success in between,
therefore count against the first of them only. While other upstreams work,
successes come between, and other holders report as well. A further failure of
the same request always counts: it may be what crashes the upstreams.
"""

from typing import NamedTuple

from godwitlanding.base.messages import (
    OUTCOME_CRASHED,
    OUTCOME_FAILED,
    OUTCOME_OK,
    OUTCOME_TIMEOUT,
)

# Bounds what is remembered of one holder during a long cut.
MAX_REQUESTS = 1000
_FAILURES = frozenset({OUTCOME_FAILED, OUTCOME_TIMEOUT, OUTCOME_CRASHED})


class _Failures(NamedTuple):
    first_upstream_id: str
    fingerprints: set


class HolderFailures:
    """The failures of each holder since its last success."""

    def __init__(self):
        self._failures_by_holder = {}

    def counts(self, holder, upstream_id, fingerprint, outcome):
        """Record an outcome; return whether it tells of the upstream.

        ``holder`` is the VM of the entry process, ``fingerprint`` that of the
        request, 0 if it has none.

        >>> failures = HolderFailures()
        >>> failures.counts("vm-1", "s1", 7, OUTCOME_CRASHED)
        True
        >>> failures.counts("vm-1", "s2", 8, OUTCOME_CRASHED)
        False
        """
        if outcome == OUTCOME_OK:
            self._failures_by_holder.pop(holder, None)
        if outcome not in _FAILURES:
            return True
        failures = self._failures_by_holder.setdefault(
            holder, _Failures(upstream_id, set())
        )
        is_repeated = fingerprint in failures.fingerprints
        if fingerprint and len(failures.fingerprints) < MAX_REQUESTS:
            failures.fingerprints.add(fingerprint)
        return is_repeated or upstream_id == failures.first_upstream_id
