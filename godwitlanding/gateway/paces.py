"""Applies the paces that upstreams report, and tells long requests apart.

Only services whose upstreams report a pace are affected. Paces come from
responses to this VM and from messages of the region's other VMs; both end in
one ``PaceTable``.
"""

import asyncio
from typing import NamedTuple

from eliot import log_message

from godwitlanding.decisions.estimate import FinishEstimates
from godwitlanding.decisions.pace import PaceTable, PaceTrust, clamp_pace, is_usual

# A service whose upstreams have reported no pace for this long is handled as
# if they never had. With 30 requests a second for a service at 24 VMs, each
# gets a response of it about once a second.
REPORT_EXPIRY_S = 10.0
# A change of a service's margin by this much is logged: at most about three
# lines for each second of a burst.
MARGIN_LOG_STEP = 0.25


class Measured(NamedTuple):
    """What the time of a response shows.

    ``work_s`` is the time in seconds that the work would have taken at the
    usual pace, ``None`` if that is unknown. ``is_short`` is set for services
    with paces, unless the work took several times as long as usual.
    """

    work_s: float | None
    is_short: bool = False


class Paces:
    """The pace of each upstream and the margin of each service."""

    def __init__(self, registry, peers):
        self._registry = registry
        self._table = PaceTable()
        self._trust = PaceTrust()
        self._estimates = FinishEstimates()
        self._reported_at_by_service = {}
        # Ids of the upstreams whose last response was long.
        self._last_long = set()
        self._logged_margin_by_service = {}
        peers.get_paces = self.get_recent
        peers.on_paces = self.receive

    def note_report(self, upstream, pace, now):
        """Record the pace in any response of an upstream."""
        number = self._registry.number_by_id.get(upstream.id)
        if number is not None:
            self._reported_at_by_service[upstream.service] = now
            self._table.note(number, pace, now)

    def note_response(self, request, choice, work_s, pace, now):
        """Learn from an answered request; return what it ``Measured``.

        ``pace`` is the pace that the response reported, or ``None``.
        """
        service = request.service
        if not self.is_active(service, now):
            return Measured(work_s)
        took_s = work_s + choice.distance_s
        is_long = self._estimates.note(service, choice.finish_s, took_s)
        self._log_margin(service)
        if self._is_single_long(choice.upstream.id, is_long):
            return Measured(None)
        if pace is None:
            return Measured(work_s, not is_long)
        pace = clamp_pace(pace)
        number = self._registry.number_by_id.get(choice.upstream.id)
        # Neither pace is that of the whole work.
        ended = is_usual(pace) and self._table.was_slow_since(number, now - took_s)
        if not ended:
            self._check_trust(service, choice, work_s, pace)
        if not self._trust.is_trusted(service):
            return Measured(work_s, not is_long)
        if ended or work_s <= 0.0:
            return Measured(None, not is_long)
        return Measured(work_s / self._table.get_mean(number, work_s, now), not is_long)

    def is_active(self, service, now):
        """Return whether a service's upstreams report a pace."""
        reported_at = self._reported_at_by_service.get(service)
        return reported_at is not None and now - reported_at < REPORT_EXPIRY_S

    def get_factor(self, service, number, now):
        """Return the factor on an upstream's work time."""
        if not self._trust.is_trusted(service):
            return 1.0
        return self._table.get(number, now)

    def get_with_age(self, upstream, now):
        """Return an upstream's factor and the age of its report in seconds.

        The age is ``None`` if no report counts.
        """
        number = self._registry.number_by_id[upstream.id]
        factor = self.get_factor(upstream.service, number, now)
        return factor, self._table.get_age_s(number, now)

    def get_margin(self, service, now):
        """Return the factor within which nine in ten responses came.

        It is 1 for services without reports.
        """
        if not self.is_active(service, now):
            return 1.0
        return self._estimates.get_margin(service)

    def export(self, counters):
        """Export the margins and the agreement of paces as gauges."""
        counters.observe("finish_margin", self._estimates.get_margins)
        counters.observe("pace_agreement", self._trust.get_agreements)

    def get_recent(self):
        """Return the rows for the frequent messages to the region."""
        return self._table.get_recent(_now(), self._is_trusted_number)

    def receive(self, rows):
        """Record the rows in a message from a VM of the region."""
        now = _now()
        for row in rows:
            if row.upstream in self._registry.id_by_number:
                self._table.receive(row, now)

    def forget(self, upstream_id):
        """Discard the state of an upstream that was removed or restarted."""
        self._last_long.discard(upstream_id)
        self._table.forget(self._registry.number_by_id.get(upstream_id))

    def _is_trusted_number(self, number):
        upstream_id = self._registry.id_by_number.get(number)
        upstream = self._registry.upstream_by_id.get(upstream_id)
        return upstream is not None and self._trust.is_trusted(upstream.service)

    def _is_single_long(self, upstream_id, is_long):
        """Return whether a response is long and the one before it was not.

        Two in a row are the time of the upstream rather than of the requests.
        """
        if not is_long:
            self._last_long.discard(upstream_id)
            return False
        if upstream_id not in self._registry.number_by_id:
            # It was removed while it worked, and is not forgotten again.
            return True
        is_single = upstream_id not in self._last_long
        self._last_long.add(upstream_id)
        return is_single

    def _check_trust(self, service, choice, work_s, pace):
        if choice.occupied >= choice.upstream.slots:
            # The time includes a wait.
            return
        if self._trust.note(service, choice.warmth, pace, work_s):
            log_message(
                "pace:trust",
                level="warning",
                service=service,
                trusted=self._trust.is_trusted(service),
                agreement=round(self._trust.get_agreements()[service], 3),
                upstream=choice.upstream.id,
                pace=pace,
                work_s=round(work_s, 4),
            )

    def _log_margin(self, service):
        margin = self._estimates.get_margin(service)
        logged = self._logged_margin_by_service.get(service, 1.0)
        if abs(margin - logged) >= MARGIN_LOG_STEP:
            self._logged_margin_by_service[service] = margin
            log_message(
                "pace:margin",
                service=service,
                margin=round(margin, 2),
                former=round(logged, 2),
            )


def _now():
    return asyncio.get_running_loop().time()
