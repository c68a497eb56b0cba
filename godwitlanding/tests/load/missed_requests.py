"""Tells from the logs of a day where callers' benefit went, by cause.

``python -m godwitlanding.tests.load.missed_requests FILE`` reads what the processes of
a day wrote, each line preceded by a time and the name of a VM or not, and
prints for each service how many requests were late, refused or failed, and
for those that were late why.
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
# A wait that was expected to be longer than this was accepted knowingly.
LONG_WAIT_S = 0.1
FAR_S = 0.03


class Meeting(NamedTuple):
    """An upstream and an object of a service."""

    upstream: str
    service: str
    key: str


def parse_arguments(argv=None):
    """Return the command line's arguments."""
    parser = argparse.ArgumentParser(prog="lost", description=__doc__.split("\n")[0])
    parser.add_argument("path", type=Path, metavar="FILE", help="Logs of one day")
    parser.add_argument(
        "--late",
        action="append",
        default=[],
        metavar="SERVICE=SECONDS",
        help="From when an answer of a service is late; default: twice its median",
    )
    return parser.parse_args(argv)


def read_lines(path):
    """Yield each log line of the file as a table; others are passed over."""
    with path.open(encoding="utf-8", errors="replace") as file:
        for line in file:
            begin = line.find("{")
            if begin < 0:
                continue
            try:
                yield json.loads(line[begin:])
            except ValueError:
                # The bench's own lines stand between.
                continue


def _get_late_s(attempts, given):
    late_s = dict(pair.split("=") for pair in given)
    times = defaultdict(list)
    for attempt in attempts:
        times[attempt["service"]].append(attempt["took_s"])
    return {
        service: float(late_s.get(service, 2 * sorted(values)[len(values) // 2]))
        for service, values in times.items()
    }


def _get_cause(attempt, is_first):
    if is_first:
        return "first meeting"
    if attempt["wait_s"] > LONG_WAIT_S:
        return "expected wait"
    if attempt["occupied"] < 0.5:
        return "idle upstream"
    return "not expected"


def count_lost(lines, given=()):
    """Return counts by service and cause, and the meetings by service."""
    lines = list(lines)
    attempts = [line for line in lines if line.get("message_type") == ATTEMPT]
    answered = [line for line in attempts if line["outcome"] == "answered"]
    answered.sort(key=lambda line: line["timestamp"] - line["took_s"])
    late_s = _get_late_s(answered, given)
    met = set()
    counts = defaultdict(Counter)
    for attempt in answered:
        service = attempt["service"]
        meeting = Meeting(attempt["upstream"], service, attempt["key"])
        is_first = meeting not in met
        met.add(meeting)
        counts[service]["answered"] += 1
        counts[service]["met"] += is_first
        if attempt["took_s"] > late_s[service]:
            counts[service]["late"] += 1
            counts[service]["late: " + _get_cause(attempt, is_first)] += 1
    for line in lines:
        if line.get("message_type") == REJECTED:
            counts[line["service"]]["rejected: " + line["reason"]] += 1
    objects = defaultdict(set)
    for meeting in met:
        objects[meeting.service].add(meeting.key)
    for service, keys in objects.items():
        counts[service]["objects"] = len(keys)
    return counts


def main(argv=None):
    """Print the table; return the exit code."""
    arguments = parse_arguments(argv)
    counts = count_lost(read_lines(arguments.path), arguments.late)
    for service, count in sorted(counts.items()):
        print(service)
        for name, number in sorted(count.items()):
            print(f"  {name:<28} {number:>6}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
