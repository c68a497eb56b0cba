"""Writes the log lines about a request's attempts.

The prefix of the messages is that of the request handler, "carrier".
"""

from typing import NamedTuple

from eliot import log_message

from godwitlanding.gateway.attempt import Outcome
from godwitlanding.gateway.crashgossip import format_fingerprint


class AttemptEnd(NamedTuple):
    """How an attempt ended; ``status`` is 0 without a response."""

    outcome: Outcome
    status: int
    detail: str
    took_s: float


def log_rejection(request, rejection, config, vms):
    """Log that no upstream was chosen; ``vms`` is the number of known VMs."""
    fields = {}
    if rejection.placement:
        candidate = rejection.placement.candidate
        fields = {
            "best": candidate.upstream,
            "expected_s": round(rejection.placement.finish_s, 3),
            "wait_s": round(rejection.placement.wait_s, 3),
            "occupied": round(candidate.occupied, 2),
            "slots": candidate.slots,
            "failure_share": round(candidate.failure_share, 2),
        }
    log_message(
        "carrier:rejected",
        request=request.request_id.decode("latin-1"),
        service=request.service,
        workspace=request.workspace_name,
        key=request.key,
        reason=rejection.reason,
        to_target_s=round(rejection.to_target_s, 3),
        came_back=request.came_back,
        config=config.version,
        vms=vms,
        **fields,
    )


def log_attempt(request, choice, end, config):
    """Log an attempt at the upstream of a ``Choice``."""
    log_message(
        "carrier:attempt",
        request=request.request_id.decode("latin-1"),
        fingerprint=format_fingerprint(request.fingerprint),
        upstream=choice.upstream.id,
        service=request.service,
        expected_s=round(choice.finish_s, 3),
        wait_s=round(choice.wait_s, 3),
        occupied=round(choice.occupied, 2),
        report_age_s=_round_or_none(choice.report_age_s),
        pace=round(choice.pace, 2),
        pace_age_s=_round_or_none(choice.pace_age_s),
        why=choice.why.value,
        warmth=choice.warmth.value,
        depth=choice.depth,
        config=config.version,
        key=request.key,
        workspace=request.workspace_name,
        took_s=round(end.took_s, 4),
        outcome=end.outcome.value,
        status=end.status,
        detail=end.detail,
    )


def log_relayed(request, target, result, took_s):
    """Log an attempt that was made through another VM."""
    log_message(
        "carrier:relayed",
        request=request.request_id.decode("latin-1"),
        service=request.service,
        host=target.host,
        upstream=result.upstream,
        outcome=result.outcome.value,
        detail=result.detail,
        took_s=round(took_s, 4),
    )


def _round_or_none(seconds):
    return None if seconds is None else round(seconds, 3)
