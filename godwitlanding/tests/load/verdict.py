"""What a run has shown, from callers' tallies and upstreams' counts."""

from typing import NamedTuple

DRAIN_LIMIT_S = 2.0
# At a load far below the slots a service that refuses many is broken, even
# if each refusal is an honest one.
LEAST_COMPLETE_SHARE = 0.9


class Verdict(NamedTuple):
    """The counts that have to hold, and why they do not."""

    sent: int
    complete: int
    refused: int
    unknown: int
    doubled: int
    cut: int
    over_slots: int
    faults: tuple[str, ...]

    def format(self, name):
        """Return the line that ends a run."""
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
    least_complete=LEAST_COMPLETE_SHARE,
    may_cut=False,
):
    """Return the verdict on a run.

    ``executions`` counts runs by request id; ``drained`` are upstreams that
    were to get nothing new; ``least_complete`` is the share of each
    service's requests that has to be complete; ``may_cut`` allows answers
    that break off, which a fault may cause and a planned stop may not.
    """
    transactions = [
        (outcome, request_id)
        for (_, outcome), ids in tally.ids_by_outcome.items()
        for request_id in ids
    ]
    doubled = [id for id, count in executions.items() if count > 1]
    lied = [
        id
        for outcome, id in transactions
        if outcome == "refused" and executions.get(id)
    ]
    over_slots = sum(s["over_slots"] for s in stats_by_upstream.values())
    sent = tally.count_sent()
    ended = sum(tally.count_by_result.values())
    faults = [
        (doubled, f"ran twice: {doubled[:5]}"),
        (lied, f"told not run, but run: {lied[:5]}"),
        (over_slots, f"{over_slots} requests over the slots"),
        (tally.cuts and not may_cut, f"cut: {dict(tally.cuts)}"),
        (tally.count("wrong"), "a body was not the request's own"),
        (tally.count("lost"), f"{tally.count('lost')} requests got no answer"),
        (sent != ended, f"{sent - ended} requests have not ended"),
    ]
    for service, count in tally.sent_by_service.items():
        complete = tally.count("complete", service)
        too_few = complete < least_complete * count
        faults.append((too_few, f"{service}: only {complete} of {count} complete"))
    for upstream_id in drained:
        last_s = stats_by_upstream[upstream_id]["last_sent_after_drain_s"]
        late = f"{upstream_id} got work {last_s} s after its drain"
        faults.append((last_s > DRAIN_LIMIT_S, late))
    return Verdict(
        sent,
        tally.count("complete"),
        tally.count("refused"),
        tally.count("unknown"),
        len(doubled),
        sum(tally.cuts.values()),
        over_slots,
        tuple(text for is_wrong, text in faults if is_wrong),
    )
