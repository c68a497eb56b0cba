"""How a steer process leaves: out of the answers first, cut off last."""

import asyncio

from godwitlanding.base.kernel import Service


class SteerShutdown(Service):
    """Keeps answering for one max-age after a stop was asked for.

    The first answer after the signal names this VM no more. A caller that
    still asks here is told where to go, on a connection that then closes,
    so that none is cut off when the server stops.
    """

    name = "leave"
    needs = ("steer_http", "answers", "routing")

    def __init__(self, context):
        settings = context.settings
        self._drain_s = min(settings["steer_max_age_s"], settings["stop_limit_s"])
        self._kernel = None

    async def start(self, kernel):
        """Remember where the other services are found."""
        self._kernel = kernel

    async def stop(self):
        """Leave the answers, then go on answering for one max-age."""
        self._kernel.get("routing").leave()
        self._kernel.get("answers").close_connections()
        await asyncio.sleep(self._drain_s)
