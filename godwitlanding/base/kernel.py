"""The micro-kernel: starts and stops named services in dependency order.

A service is any object with a ``name``, a tuple ``needs`` of the names it
uses, and coroutines ``start(kernel)`` and ``stop()``. Services find each
other by name and know nothing of each other's modules.

>>> kernel = Kernel([Config(), Server()])
>>> await kernel.start()
>>> kernel.get("config").version
"""

import asyncio
import signal
from graphlib import CycleError, TopologicalSorter

from eliot import log_message

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class KernelError(Exception):
    """A service is missing, doubled or in a dependency cycle."""


class Service:
    """Base of a named service; the defaults do nothing."""

    name = ""
    needs = ()

    async def start(self, kernel):
        """Begin to serve; the services in ``needs`` have started."""

    async def stop(self):
        """End gracefully; the services in ``needs`` still run."""

    def get_status(self):
        """Return what ``godwitctl status`` shows, as plain JSON values."""
        return {}


class Kernel:
    """Holds the services of one process."""

    def __init__(self, services):
        self._service_by_name = {}
        for service in services:
            if service.name in self._service_by_name:
                raise KernelError(f"two services are named {service.name!r}")
            self._service_by_name[service.name] = service
        self._started = []
        self.stopping = asyncio.Event()

    def get(self, name):
        """Return the service called ``name``; ``KernelError`` if none is."""
        try:
            return self._service_by_name[name]
        except KeyError:
            raise KernelError(f"no service is named {name!r}") from None

    def get_names(self):
        """Return the names in the order in which they start."""
        graph = {}
        for name, service in self._service_by_name.items():
            for need in service.needs:
                self.get(need)
            graph[name] = service.needs
        try:
            return list(TopologicalSorter(graph).static_order())
        except CycleError as error:
            raise KernelError(f"services need each other: {error.args[1]}") from None

    def get_status(self):
        """Return every service's status by its name."""
        return {name: self.get(name).get_status() for name in self.get_names()}

    async def start(self):
        """Start every service after those it needs; undo all on an error."""
        for name in self.get_names():
            try:
                await self.get(name).start(self)
            except Exception:
                await self.stop()
                raise
            self._started.append(name)

    async def stop(self):
        """Stop in the reverse order; one that fails does not keep the rest."""
        self.stopping.set()
        while self._started:
            name = self._started.pop()
            try:
                await self.get(name).stop()
            except Exception as error:
                log_message("kernel:stop_failed", service=name, error=repr(error))

    async def run(self, reload=None):
        """Start, serve until SIGTERM or SIGINT, then stop gracefully.

        SIGHUP calls ``reload``; without one the signal is ignored, since by
        default it would end the process with its requests unanswered.
        """
        asked = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in STOP_SIGNALS:
            loop.add_signal_handler(number, asked.set)
        loop.add_signal_handler(signal.SIGHUP, reload or _ignore_hangup)
        await self.start()
        log_message("kernel:started", services=self.get_names())
        await asked.wait()
        log_message("kernel:stopping")
        await self.stop()
        log_message("kernel:stopped")


def _ignore_hangup():
    log_message("kernel:hangup_ignored")
