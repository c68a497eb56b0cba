"""Regression tests: seeds of random fault schedules that once failed."""

import pytest

from godwitlanding.tests.tools.chaos import run_seed
from godwitlanding.tests.tools.network import claim_test_network


@pytest.mark.parametrize("seed", [9])
async def test_fault_schedule_passes(seed, tmp_path):
    """Two faults at a time occur under load, three times in succession.

    Seed 9: a restarted daemon reported "not run" to callers for payments
    that the previous process had run.
    """
    verdict, names = await run_seed(seed, claim_test_network(), log_directory=tmp_path)
    assert verdict.faults == (), names
