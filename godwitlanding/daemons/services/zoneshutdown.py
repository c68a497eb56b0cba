"""Shuts a zone daemon down gracefully before its other services stop."""

import asyncio

from godwitlanding.base.kernel import Service
from godwitlanding.base.log import log_warning


class ZoneShutdown(Service):
    """Announces that this VM leaves, then hands over what it owns.

    It hands over the arbiters first, then the ownership of upstreams.
    """

    name = "departure"
    needs = (
        "listener",
        "arbitration",
        "lending",
        "members",
        "probes",
        "planner",
        "http",
    )

    def __init__(self, context):
        self._context = context
        self._kernel = None

    def get_kernel(self):
        """Return the kernel that started this service."""
        return self._kernel

    async def start(self, kernel):
        """Store the kernel for the status page and for ``stop``."""
        self._kernel = kernel

    async def stop(self):
        """Announce and hand over, waiting at most ``stop_limit_s``."""
        members = self._kernel.get("members")
        members.set_leaving()
        await members.announce()
        limit_s = self._context.settings["stop_limit_s"]
        try:
            await asyncio.wait_for(self._hand_over(), limit_s)
        except TimeoutError:
            log_warning("departure:limit_reached", waited_s=limit_s)

    async def _hand_over(self):
        await self._kernel.get("arbitration").hand_over()
        await self._kernel.get("lending").hand_over()
