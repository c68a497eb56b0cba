"""Tests that many VMs grant a workspace its allotment and no more."""

import pytest

from godwitlanding.tests.load.allotment_model import SCENARIO_BY_NAME, AllotmentModel
from godwitlanding.tests.load.allotment_strategies import RegionBuckets

# Half of the excess that users tolerate is reserved for effects that the model
# does not cover.
MAX_EXCESS_SHARE = 0.5
USUAL_RATES_PER_S = (2.0, 12.0, 115.0)
# By usual rate. In a small workspace a single refusal is a large share, so its
# bound is looser, and the test takes the mean of several seeds.
MAX_REFUSED_SHARE = {2.0: 0.08, 12.0: 0.01, 115.0: 0.001}


def run_scenario(name, vms, usual_per_s, seeds=2):
    scenario = SCENARIO_BY_NAME[name]._replace(vms=vms)
    return [
        AllotmentModel(scenario, RegionBuckets, usual_per_s, seed).run()
        for seed in range(seeds)
    ]


@pytest.mark.parametrize("usual_per_s", USUAL_RATES_PER_S)
@pytest.mark.parametrize("name", SCENARIO_BY_NAME)
def test_limit_holds_in_every_scenario(name, usual_per_s):
    # Guards against a workspace that takes other workspaces' slots: it sends
    # many times its limit while VMs are killed or partitioned or the limit
    # changes, and the VMs together let through more than the limit.
    for result in run_scenario(name, 12, usual_per_s):
        assert result.excess_share <= MAX_EXCESS_SHARE


@pytest.mark.parametrize("name", ["7.5 times as many", "a third cut off, 7.5 times"])
def test_limit_holds_with_many_vms(name):
    for result in run_scenario(name, 75, 115.0, seeds=1):
        assert result.excess_share <= MAX_EXCESS_SHARE


@pytest.mark.parametrize("usual_per_s", USUAL_RATES_PER_S)
def test_workspace_within_its_limit_is_rarely_refused(usual_per_s):
    # Guards against wrong refusals: callers send at their usual rate, and
    # each refusal delays a person although capacity was free.
    results = run_scenario("usual", 12, usual_per_s, seeds=4)
    refused = sum(row.wrongly_refused_share for row in results) / len(results)
    assert refused <= MAX_REFUSED_SHARE[usual_per_s]


def test_one_region_can_use_the_shares_of_idle_regions():
    # Guards against fixed shares per region: all callers of a workspace use
    # one of three regions and would get only a third of the limit.
    for result in run_scenario("all callers in one region", 12, 115.0):
        assert result.wrongly_refused_share <= 0.05
