"""Tells failures of upstreams from those of a permit holder's own links.

Load pattern: an entry process loses its links to all upstreams for some
seconds, so each of its permits ends as a crash or a failure. Counted against
the upstreams, half of those of a zone would be ejected and treated as cold for
all processes, although only one VM is cut off.

Failures of one holder at different upstreams, without a success in between,
therefore count against the first of them only. While other upstreams work,
successes come between, and other holders report as well. Failures of the same
request always count: it may be what crashes the upstreams.
"""

from collections import OrderedDict
from typing import NamedTuple

from godwitlanding.base.messages import (
    OUTCOME_CRASHED,
    OUTCOME_FAILED,
    OUTCOME_OK,
    OUTCOME_TIMEOUT,
)

MAX_HOLDERS = 1000
_FAILURES = frozenset({OUTCOME_FAILED, OUTCOME_TIMEOUT, OUTCOME_CRASHED})


class _FirstFailure(NamedTuple):
    upstream_id: str
    fingerprint: int


class HolderFailures:
    """The first failure of each holder since its last success."""

    def __init__(self):
        self._first_by_holder = OrderedDict()

    def counts(self, holder, upstream_id, fingerprint, outcome):
        """Record an outcome; return whether it tells of the upstream.

        An empty ``holder`` stands for an unknown one, whose outcomes count.

        >>> failures = HolderFailures()
        >>> failures.counts("vm-1", "s1", 7, OUTCOME_CRASHED)
        True
        >>> failures.counts("vm-1", "s2", 8, OUTCOME_CRASHED)
        False
        """
        if outcome == OUTCOME_OK:
            self._first_by_holder.pop(holder, None)
        if not holder or outcome not in _FAILURES:
            return True
        failure = _FirstFailure(upstream_id, fingerprint)
        first = self._first_by_holder.setdefault(holder, failure)
        if len(self._first_by_holder) > MAX_HOLDERS:
            self._first_by_holder.popitem(last=False)
        is_same_request = bool(fingerprint) and fingerprint == first.fingerprint
        return upstream_id == first.upstream_id or is_same_request
