"""Tests a traffic shift with real processes, as measured by callers."""

import asyncio
import itertools

import aiohttp

from godwitlanding.tests.test_docs import ROOT
from godwitlanding.tests.tools.cluster import Cluster
from godwitlanding.tests.tools.network import claim_test_network

CAP_SHARE = 0.2
SHARE = 0.5
STEP_S = 2.0
MAX_AGE_S = 1.0
CALLERS = 200
LIMIT_S = 90.0
POLL_S = 0.5
SAMPLES_AFTER_ARRIVAL = 4
# The shares of so few callers differ from the weights by up to this.
SAMPLING_ERROR = 0.08


class OriginSurvey:
    """Measures to which zones the callers of one origin zone are sent."""

    def __init__(self, url, session):
        self._url = url
        self._session = session
        self.callers = []

    async def fetch_response(self, caller):
        """Return the steer response for a caller."""
        headers = {"X-Caller": caller}
        async with self._session.get(self._url, headers=headers) as response:
            return await response.json()

    async def find_callers(self, origin_zone):
        """Find callers whose origin is a zone."""
        number = 0
        while len(self.callers) < CALLERS:
            name = f"office-{number}"
            if (await self.fetch_response(name))["origin_zone"] == origin_zone:
                self.callers.append(name)
            number += 1

    async def measure(self, zone):
        """Return the share of callers whose first choice is in a zone."""
        responses = await asyncio.gather(
            *(self.fetch_response(name) for name in self.callers)
        )
        first_choices = [
            response["choices"][0]["availability_zone"] for response in responses
        ]
        return first_choices.count(zone) / len(first_choices)


async def test_shift_moves_callers_by_capped_steps(tmp_path):
    """Operators move half of a zone's callers to another region.

    Guards against a shift that exceeds its cap: callers that move faster
    arrive at upstreams with cold caches and overload them before the overload
    is detected.
    """
    settings = {"steer_max_age_s": MAX_AGE_S}
    cluster = Cluster(
        (ROOT / "samples/demo.json5").read_text(),
        claim_test_network(),
        vms_per_zone=1,
        settings=settings,
        log_directory=tmp_path,
    )
    try:
        await cluster.start()
        async with aiohttp.ClientSession() as session:
            url = cluster.get_url("north-b-1", "steer") + "/v1/steer/status"
            survey = OriginSurvey(url, session)
            await survey.find_callers("north-a")
            assert await survey.measure("south-a") == 0.0
            options = "--service status --from north-a --to south-a --share 0.5"
            options += f" --cap-share {CAP_SHARE} --step {STEP_S} --yes"
            await cluster.run_ctl("shift", "move", *options.split())
            samples = await sample_until_arrived(survey)
    finally:
        await cluster.stop()
    assert max(share for _, share in samples) <= SHARE + SAMPLING_ERROR
    for (previous_at, previous_share), (at, share) in itertools.pairwise(samples):
        # On a busy machine more than one step may occur between two samples.
        steps = 1 + (at - previous_at) // STEP_S
        assert share - previous_share <= steps * CAP_SHARE + SAMPLING_ERROR, samples


async def sample_until_arrived(survey):
    """Sample times and shares until the shift has reached its target."""
    loop = asyncio.get_running_loop()
    samples = [(loop.time(), 0.0)]
    remaining_samples = SAMPLES_AFTER_ARRIVAL
    async with asyncio.timeout(LIMIT_S):
        while remaining_samples:
            await asyncio.sleep(POLL_S)
            samples.append((loop.time(), await survey.measure("south-a")))
            remaining_samples -= samples[-1][1] >= SHARE - SAMPLING_ERROR
    return samples
