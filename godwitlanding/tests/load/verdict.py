"""Evaluates a load run from the callers' tally and the upstreams' counts."""

from typing import NamedTuple

DRAIN_LIMIT_S = 2.0
# At a load far below the number of slots, a service that refuses many requests
# is faulty, even if each refusal is reported correctly.
MIN_COMPLETE_SHARE = 0.9


class Verdict(NamedTuple):
    """Counts of a run, and a text for each check that failed.

    ``doubled`` counts requests that were executed more than once, ``cut``
    responses that broke off, ``over_slots`` requests that an upstream
    received above its slots.
    """

    sent: int
    complete: int
    refused: int
    unknown: int
    doubled: int
    cut: int
    over_slots: int
    faults: tuple[str, ...]

    def format(self, name):
        """Return the summary line of a run."""
        state = "ok" if not self.faults else "failed"
        numbers = " ".join(
            f"{key}={getattr(self, key)}" for key in self._fields if key != "faults"
        )
        return f"{name}: {state} {numbers}"


def evaluate_run(
    tally,
    executions,
    stats_by_upstream,
    drained=(),
    min_complete_share=MIN_COMPLETE_SHARE,
    may_cut=False,
):
    """Return the verdict on a run.

    ``executions`` counts executions by request id; ``drained`` are upstreams
    that must receive no new requests; ``min_complete_share`` is the share of
    each service's requests that must be complete; ``may_cut`` allows responses
    that break off, which a fault may cause but a planned stop must not.
    """
    requests = [
        (outcome, request_id)
        for (_, outcome), ids in tally.ids_by_outcome.items()
        for request_id in ids
    ]
    doubled = [id for id, count in executions.items() if count > 1]
    executed_refusals = [
        id for outcome, id in requests if outcome == "refused" and executions.get(id)
    ]
    over_slots = sum(s["over_slots"] for s in stats_by_upstream.values())
    sent = tally.count_sent()
    ended = sum(tally.count_by_result.values())
    checks = [
        (doubled, f"executed more than once: {doubled[:5]}"),
        (
            executed_refusals,
            f"reported as not executed, but executed: {executed_refusals[:5]}",
        ),
        (over_slots, f"{over_slots} requests above the slots"),
        (tally.cuts and not may_cut, f"responses broke off: {dict(tally.cuts)}"),
        (tally.count("wrong"), "a response body did not belong to its request"),
        (tally.count("lost"), f"{tally.count('lost')} requests received no response"),
        (sent != ended, f"{sent - ended} requests have no result"),
    ]
    for service, count in tally.sent_by_service.items():
        complete = tally.count("complete", service)
        too_few = complete < min_complete_share * count
        checks.append((too_few, f"{service}: only {complete} of {count} complete"))
    for upstream_id in drained:
        last_s = stats_by_upstream[upstream_id]["last_sent_after_drain_s"]
        drain_fault = f"{upstream_id} received a request {last_s} s after its drain"
        checks.append((last_s > DRAIN_LIMIT_S, drain_fault))
    return Verdict(
        sent,
        tally.count("complete"),
        tally.count("refused"),
        tally.count("unknown"),
        len(doubled),
        sum(tally.cuts.values()),
        over_slots,
        tuple(text for is_violated, text in checks if is_violated),
    )
