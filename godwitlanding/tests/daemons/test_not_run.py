""" "Not run" is said of the work, not of one press of the button."""

import json

import pytest

from godwitlanding.tests.daemons.support_entry import (
    ADDRESS,
    EntryHarness,
    respond_hello,
)
from godwitlanding.tests.daemons.test_entry import fetch

RESUBMITTED = {"Idempotency-Key": "gwt1.pressed-before"}


@pytest.mark.parametrize(
    ("path", "has_config", "headers", "name", "run"),
    [
        ("/s/pay/x", False, RESUBMITTED, "NOT_READY", "unknown"),
        ("/s/pay/x", False, {}, "NOT_READY", "no"),
        ("/s/nothing/x", True, RESUBMITTED, "UNKNOWN_SERVICE", "unknown"),
        ("/s/nothing/x", True, {}, "UNKNOWN_SERVICE", "no"),
    ],
)
async def test_resubmission_at_a_process_without_config(
    path, has_config, headers, name, run
):
    """The home dies while it runs a payment and is started again at once.

    The caller presses again before the new process has the configuration,
    or while it has one without the service. Told "not run", the caller
    would pay a second time in another way.
    """
    async with EntryHarness(ADDRESS, [respond_hello]) as harness:
        if not has_config:
            del harness.context.replica.state_by_key["config", "main"]
        answer = await fetch(harness, path, method="POST", headers=headers)
        problem = json.loads(answer[2])
        assert (problem["name"], problem["run"]) == (name, run)
        assert answer[1]["Godwit-Run"] == run
