""" "Not run" is said of the work, not of one press of the button."""

import json

import pytest

from godwitlanding.tests.daemons.support_entry import ADDRESS, Bench, answer_hello
from godwitlanding.tests.daemons.test_entry import fetch

PRESSED_BEFORE = {"Idempotency-Key": "gwt1.pressed-before"}


@pytest.mark.parametrize(
    ("path", "has_config", "headers", "name", "run"),
    [
        ("/s/pay/x", False, PRESSED_BEFORE, "NOT_READY", "unknown"),
        ("/s/pay/x", False, {}, "NOT_READY", "no"),
        ("/s/nothing/x", True, PRESSED_BEFORE, "UNKNOWN_SERVICE", "unknown"),
        ("/s/nothing/x", True, {}, "UNKNOWN_SERVICE", "no"),
    ],
)
async def test_press_again_at_a_process_that_knows_nothing(
    path, has_config, headers, name, run
):
    """The home dies while it runs a payment and is started again at once.

    The caller presses again before the new process has the configuration,
    or while it has one without the service. Told "not run", the caller
    would pay a second time in another way.
    """
    async with Bench(ADDRESS, [answer_hello]) as bench:
        if not has_config:
            del bench.context.replica.state_by_key["config", "main"]
        answer = await fetch(bench, path, method="POST", headers=headers)
        problem = json.loads(answer[2])
        assert (problem["name"], problem["run"]) == (name, run)
        assert answer[1]["Godwit-Run"] == run
