"""Tests that "not run" refers to a ticket, not to a single submission."""

import json

import pytest

from godwitlanding.tests.daemons.support_entry import (
    ADDRESS,
    EntryHarness,
    respond_hello,
)
from godwitlanding.tests.daemons.test_entry import fetch

RESUBMITTED = {"Idempotency-Key": "gwt1.submitted-before"}


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
    """The home crashes while it runs a payment and is restarted at once.

    The caller submits again before the new process has a configuration, or
    while it has one without the service. After a "not run" status the caller
    would pay a second time in another way.
    """
    async with EntryHarness(ADDRESS, [respond_hello]) as harness:
        if not has_config:
            del harness.context.replica.state_by_key["config", "main"]
        response = await fetch(harness, path, method="POST", headers=headers)
        problem = json.loads(response[2])
        assert (problem["name"], problem["run"]) == (name, run)
        assert response[1]["Godwit-Run"] == run
