"""Tests the plan of three regions under load waves, in a model."""

from godwitlanding.decisions.forecast import Forecast
from godwitlanding.decisions.regionshare import step
from godwitlanding.decisions.shiftguard import ShiftGuard
from godwitlanding.tests.load.wave_model import Scenario, WaveModel


def test_small_region_is_served_at_the_peak_of_its_wave():
    # Guards against a region with a tenth of the slots that keeps its callers:
    # without a plan 0.60 of its requests are refused, with it 0.12.
    def run():
        model = WaveModel(Scenario(seconds=72), 1, Forecast, ShiftGuard, step, 0.05)
        return model.run()

    outcome = run()
    assert outcome.refused_in_small < 0.15
    assert outcome.changed_regions < 0.05
    assert run() == outcome
