"""Counts late, refused and failed requests in logs, by service and cause.

Usage: ``python -m godwitlanding.tests.load.missed_requests FILE``. FILE holds
the logs of all processes of a run; a time and a VM name may precede each line.
For each service it prints the number of late responses, with the cause, and
of rejected requests, with the reason.
"""

import argparse
import json
import sys
from collections import Counter, defaultdict
from pathlib import Path
from typing import NamedTuple

ATTEMPT = "carrier:attempt"
REJECTED = "carrier:rejected"
DONE = "carrier:done"
# If the predicted wait was longer than this, the request was accepted although
# a long wait was expected.
LONG_WAIT_S = 0.1
FAR_S = 0.03


class UpstreamObject(NamedTuple):
    """An object of a service, identified by its key, on one upstream."""

    upstream: str
    service: str
    key: str


def parse_arguments(argv=None):
    """Return the command-line arguments."""
    parser = argparse.ArgumentParser(
        prog="missed_requests", description=__doc__.split("\n")[0]
    )
    parser.add_argument("path", type=Path, metavar="FILE", help="Log file of a run")
    parser.add_argument(
        "--late",
        action="append",
        default=[],
        metavar="SERVICE=SECONDS",
        help="Latency above which a response is late; default: twice the median",
    )
    return parser.parse_args(argv)


def read_lines(path):
    """Yield each JSON log line of the file as a dict; skip other lines."""
    with path.open(encoding="utf-8", errors="replace") as file:
        for line in file:
            begin = line.find("{")
            if begin < 0:
                continue
            try:
                yield json.loads(line[begin:])
            except ValueError:
                # The benchmark writes lines of its own between the log lines.
                continue


def _get_late_thresholds_s(attempts, given_thresholds):
    late_s = dict(pair.split("=") for pair in given_thresholds)
    times = defaultdict(list)
    for attempt in attempts:
        times[attempt["service"]].append(attempt["took_s"])
    return {
        service: float(late_s.get(service, 2 * sorted(values)[len(values) // 2]))
        for service, values in times.items()
    }


def _get_cause(attempt, is_cold):
    if is_cold:
        return "cold request"
    if attempt["wait_s"] > LONG_WAIT_S:
        return "expected wait"
    if attempt["occupied"] < 0.5:
        return "idle upstream"
    return "not expected"


def count_missed(lines, given_thresholds=()):
    """Return counts by service: by cause, and of distinct objects."""
    lines = list(lines)
    attempts = [line for line in lines if line.get("message_type") == ATTEMPT]
    answered = [line for line in attempts if line["outcome"] == "answered"]
    answered.sort(key=lambda line: line["timestamp"] - line["took_s"])
    late_s = _get_late_thresholds_s(answered, given_thresholds)
    seen = set()
    counts = defaultdict(Counter)
    for attempt in answered:
        service = attempt["service"]
        upstream_object = UpstreamObject(attempt["upstream"], service, attempt["key"])
        is_cold = upstream_object not in seen
        seen.add(upstream_object)
        counts[service]["answered"] += 1
        counts[service]["cold requests"] += is_cold
        if attempt["took_s"] > late_s[service]:
            counts[service]["late"] += 1
            counts[service]["late: " + _get_cause(attempt, is_cold)] += 1
    for line in lines:
        if line.get("message_type") == REJECTED:
            counts[line["service"]]["rejected: " + line["reason"]] += 1
    objects = defaultdict(set)
    for upstream_object in seen:
        objects[upstream_object.service].add(upstream_object.key)
    for service, keys in objects.items():
        counts[service]["objects"] = len(keys)
    return counts


def main(argv=None):
    """Print the counts by service; return the exit code."""
    arguments = parse_arguments(argv)
    counts = count_missed(read_lines(arguments.path), arguments.late)
    for service, count in sorted(counts.items()):
        print(service)
        for name, number in sorted(count.items()):
            print(f"  {name:<28} {number:>6}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
