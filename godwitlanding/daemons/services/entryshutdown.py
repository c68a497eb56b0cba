"""Shuts an entry process down without interrupting requests."""

import asyncio

from eliot import log_message

from godwitlanding.base.kernel import Service
from godwitlanding.base.log import log_warning
from godwitlanding.base.messages import Heartbeat

REPORT_INTERVAL_S = 5.0
# The stop ends this long before ``stop_limit_s``, so that whoever requested it
# is still waiting.
STOP_MARGIN_S = 0.5


class EntryShutdown(Service):
    """Keeps serving until no caller is sent here, then completes requests.

    Callers may use a ``steer`` response for its max-age, and ``steer`` in
    other zones learns from a summary that this VM leaves. If the port closed
    earlier, callers that follow a valid response would be refused.
    """

    name = "linger"
    needs = ("server", "requests", "feed")

    def __init__(self, context):
        settings = context.settings
        propagation_s = settings["summary_s"] + 2 * settings["heartbeat_s"]
        self._context = context
        self._limit_s = settings["stop_limit_s"]
        self._sleep = asyncio.sleep
        self._drain_s = min(settings["steer_max_age_s"] + propagation_s, self._limit_s)

    async def start(self, kernel):
        """Look up the services that are stopped."""
        self._server = kernel.get("server")
        self._requests = kernel.get("requests")
        self._feed = kernel.get("feed")

    async def stop(self):
        """Drain and stop within ``stop_limit_s``; log pending requests."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        self._requests.begin_leaving(started_at + self._limit_s - STOP_MARGIN_S)
        await self._announce()
        log_message("linger:serving_on", for_s=self._drain_s)
        await self._sleep(self._drain_s)
        report = asyncio.ensure_future(self._report())
        server_stop = asyncio.ensure_future(self._server.stop())
        remaining_s = self._limit_s - self._drain_s - STOP_MARGIN_S
        await asyncio.wait((server_stop,), timeout=max(STOP_MARGIN_S, remaining_s))
        report.cancel()
        if not server_stop.done():
            log_warning("linger:limit_reached", cut=self._requests.get_status())
            self._server.force()
            await server_stop
        log_message("linger:ended", after_s=round(loop.time() - started_at, 3))

    async def _announce(self):
        """Tell the zone daemon of this VM that the entry process leaves."""
        context = self._context
        message = Heartbeat(
            context.vm,
            context.incarnation,
            leaving=True,
            entry_incarnation=context.incarnation,
        )
        await self._feed.pool.send(self._feed.get_own_address(), message)

    async def _report(self):
        while True:
            log_message("linger:waiting", **self._requests.get_status())
            await asyncio.sleep(REPORT_INTERVAL_S)
