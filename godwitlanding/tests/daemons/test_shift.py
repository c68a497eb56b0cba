"""A shift of traffic as callers see it, with real processes."""

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
# So few callers do not split exactly as the weights say.
SAMPLING_ERROR = 0.08


class OriginSurvey:
    """Asks where the callers of one zone are told to go."""

    def __init__(self, url, session):
        self._url = url
        self._session = session
        self.callers = []

    async def ask(self, caller):
        """Return the answer for a caller."""
        headers = {"X-Caller": caller}
        async with self._session.get(self._url, headers=headers) as answer:
            return await answer.json()

    async def find_callers(self, origin_zone):
        """Find callers that belong to a zone."""
        number = 0
        while len(self.callers) < CALLERS:
            name = f"office-{number}"
            if (await self.ask(name))["origin_zone"] == origin_zone:
                self.callers.append(name)
            number += 1

    async def measure(self, zone):
        """Return the share of the callers whose first choice is in a zone."""
        answers = await asyncio.gather(*(self.ask(name) for name in self.callers))
        first_choices = [
            answer["choices"][0]["availability_zone"] for answer in answers
        ]
        return first_choices.count(zone) / len(first_choices)


async def test_shift_moves_callers_by_capped_steps(tmp_path):
    """Operators move half of a zone's callers to another region.

    Callers moved faster than the cap arrive at cold caches, and the upstreams
    there are overloaded before anyone sees it.
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
            samples = await follow(survey)
    finally:
        await cluster.stop()
    assert max(share for _, share in samples) <= SHARE + SAMPLING_ERROR
    for (before_at, before), (at, share) in itertools.pairwise(samples):
        # On a busy machine more than one step may fall between two looks.
        steps = 1 + (at - before_at) // STEP_S
        assert share - before <= steps * CAP_SHARE + SAMPLING_ERROR, samples


async def follow(survey):
    """Return times and shares as seen until the shift has arrived."""
    loop = asyncio.get_running_loop()
    samples = [(loop.time(), 0.0)]
    rest = SAMPLES_AFTER_ARRIVAL
    async with asyncio.timeout(LIMIT_S):
        while rest:
            await asyncio.sleep(POLL_S)
            samples.append((loop.time(), await survey.measure("south-a")))
            rest -= samples[-1][1] >= SHARE - SAMPLING_ERROR
    return samples
