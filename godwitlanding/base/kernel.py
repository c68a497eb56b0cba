"""Microkernel: starts and stops named services in dependency order.

A service is any object with a ``name``, a tuple ``needs`` of the names of
its dependencies, and coroutines ``start(kernel)`` and ``stop()``. Services
look each other up by name and do not import each other's modules.

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
    """A service is missing, duplicated or part of a dependency cycle."""


class Service:
    """Base class of services; the default methods do nothing."""

    name = ""
    needs = ()

    async def start(self, kernel):
        """Start the service; the services in ``needs`` are running."""

    async def stop(self):
        """Stop gracefully; the services in ``needs`` are still running."""

    def get_status(self):
        """Return the status for ``godwitctl status`` as JSON values."""
        return {}


class Kernel:
    """Registry and life cycle of the services of one process."""

    def __init__(self, services):
        self._service_by_name = {}
        for service in services:
            if service.name in self._service_by_name:
                raise KernelError(f"two services are named {service.name!r}")
            self._service_by_name[service.name] = service
        self._started = []
        self._stop_requested = asyncio.Event()
        self._has_failed = False
        self.stopping = asyncio.Event()
        # Called when a stop signal arrives, also while services start.
        self.on_stop_requested = []

    def get(self, name):
        """Return the service ``name``; raise ``KernelError`` if unknown."""
        try:
            return self._service_by_name[name]
        except KeyError:
            raise KernelError(f"no service is named {name!r}") from None

    def get_names(self):
        """Return the service names in start order."""
        graph = {}
        for name, service in self._service_by_name.items():
            for need in service.needs:
                self.get(need)
            graph[name] = service.needs
        try:
            return list(TopologicalSorter(graph).static_order())
        except CycleError as error:
            raise KernelError(
                f"circular dependency of services: {error.args[1]}"
            ) from None

    def get_status(self):
        """Return the status of each service by name."""
        return {name: self.get(name).get_status() for name in self.get_names()}

    async def start(self):
        """Start all services in order; stop the started ones on an error."""
        for name in self.get_names():
            try:
                await self.get(name).start(self)
            except Exception:
                await self.stop()
                raise
            self._started.append(name)

    async def stop(self):
        """Stop all services in reverse order, even if one fails to stop."""
        self.stopping.set()
        while self._started:
            name = self._started.pop()
            try:
                await self.get(name).stop()
            except Exception as error:
                log_message("kernel:stop_failed", service=name, error=repr(error))

    def stop_as_failed(self):
        """Make ``run`` stop gracefully and return ``False``."""
        self._has_failed = True
        self._stop_requested.set()

    def _request_stop(self):
        for callback in self.on_stop_requested:
            callback()
        self._stop_requested.set()

    async def run(self, reload=None):
        """Start, run until SIGTERM or SIGINT, then stop gracefully.

        Returns ``False`` after ``stop_as_failed``. SIGHUP calls ``reload``.
        Without ``reload`` it is ignored, because its default action would
        kill the process with requests in progress.
        """
        loop = asyncio.get_running_loop()
        for number in STOP_SIGNALS:
            loop.add_signal_handler(number, self._request_stop)
        loop.add_signal_handler(signal.SIGHUP, reload or _ignore_hangup)
        await self.start()
        log_message("kernel:started", services=self.get_names())
        await self._stop_requested.wait()
        log_message("kernel:stopping")
        await self.stop()
        log_message("kernel:stopped")
        return not self._has_failed


def _ignore_hangup():
    log_message("kernel:hangup_ignored")
