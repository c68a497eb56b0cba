"""Tests the counts of late and refused requests."""

import json

from godwitlanding.tests.load import missed_requests

ATTEMPT = {
    "message_type": "carrier:attempt",
    "upstream": "u",
    "service": "s",
    "key": "k",
    "took_s": 0.1,
    "wait_s": 0.0,
    "occupied": 1.0,
    "outcome": "answered",
    "timestamp": 1.0,
}
REJECTION = {"message_type": "carrier:rejected", "service": "s", "reason": "full"}


def test_late_answers_are_counted_by_cause(tmp_path, capsys):
    lines = [
        {**ATTEMPT, "timestamp": 1.0, "took_s": 0.9},
        {**ATTEMPT, "timestamp": 2.0},
        {**ATTEMPT, "timestamp": 3.0, "took_s": 0.8, "wait_s": 0.4},
        {**ATTEMPT, "timestamp": 4.0, "took_s": 0.7},
        {**ATTEMPT, "timestamp": 5.0, "outcome": "failed"},
        REJECTION,
    ]
    path = tmp_path / "run.log"
    text = "".join(f"1.5 vm-1 {json.dumps(line)}\n" for line in lines)
    path.write_text("the run begins\n" + text)
    assert missed_requests.main([str(path), "--late", "s=0.5"]) == 0
    printed = dict(
        line.rsplit(None, 1) for line in capsys.readouterr().out.split("\n")[1:-1]
    )
    counts = {name.strip(): int(number) for name, number in printed.items()}
    assert counts == {
        "answered": 4,
        "cold requests": 1,
        "objects": 1,
        "late": 3,
        "late: cold request": 1,
        "late: expected wait": 1,
        "late: not expected": 1,
        "rejected: full": 1,
    }
