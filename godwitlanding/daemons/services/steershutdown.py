"""Shuts a steer process down without interrupting callers."""

import asyncio

from godwitlanding.base.kernel import Service


class SteerShutdown(Service):
    """Keeps serving look-ups for one max-age after the stop signal.

    Responses no longer list this VM. A caller that still sends a look-up
    here gets a response and its connection is closed, so that no request is
    interrupted when the server stops.
    """

    name = "leave"
    needs = ("steer_http", "answers", "routing")

    def __init__(self, context):
        settings = context.settings
        self._drain_s = min(settings["steer_max_age_s"], settings["stop_limit_s"])
        self._kernel = None

    async def start(self, kernel):
        """Store the kernel, to look up the other services in ``stop``."""
        self._kernel = kernel

    async def stop(self):
        """Remove this VM from responses, then keep serving for one max-age."""
        self._kernel.get("routing").leave()
        self._kernel.get("answers").close_connections()
        await asyncio.sleep(self._drain_s)
