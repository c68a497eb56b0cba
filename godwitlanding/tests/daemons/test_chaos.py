"""Schedules of faults in pairs that have shown a fault, kept as they were."""

import pytest

from godwitlanding.tests.tools.chaos import run_seed
from godwitlanding.tests.tools.network import claim_test_network


@pytest.mark.parametrize("seed", [9])
async def test_fault_schedule_passes(seed, tmp_path):
    """Two things at a time break under load, three times in a row.

    Seed 9: a daemon that had been started again told callers "not run" of
    payments that its predecessor had run.
    """
    verdict, names = await run_seed(seed, claim_test_network(), log_directory=tmp_path)
    assert verdict.faults == (), names
