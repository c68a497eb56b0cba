"""Reads status, configuration and request events of daemons over HTTP."""

import asyncio
from typing import NamedTuple

import aiohttp

from godwitlanding.base.web import VERSION_HEADER

ROLES = ("zone", "entry", "steer")
TIMEOUT_S = 2.0
MAX_CONCURRENT_REQUESTS = 50


class Ports(NamedTuple):
    """HTTP port of each daemon role, the same on every VM."""

    steer: int = 7001
    entry: int = 7002
    zone: int = 7003


class DaemonStatus(NamedTuple):
    """State and status of a daemon; ``status`` is ``None`` if unreachable."""

    vm: str
    availability_zone: str
    role: str
    state: str
    status: dict | None

    def get_version(self, kind, name="main"):
        """Return the version of an object held by the daemon, 0 if none."""
        versions = (self.status or {}).get("versions", {})
        return versions.get(f"{kind}/{name}", 0)


async def read_fleet(vms, ports, roles=ROLES):
    """Return a ``DaemonStatus`` per ``VmEntry`` and role, in this order."""
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        calls = [
            _read_daemon(session, semaphore, vm, role, getattr(ports, role))
            for vm in vms
            for role in roles
        ]
        return await asyncio.gather(*calls)


async def read_config_in_force(vms, ports):
    """Return ``(version, text)``, the newest held by a zone daemon.

    Version 0 and an empty text if no daemon responds.
    """
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        calls = [
            _read_config(session, f"http://{vm.address}:{ports.zone}/-/config")
            for vm in vms
        ]
        return max(await asyncio.gather(*calls), default=(0, ""))


async def _read_config(session, url):
    try:
        async with session.get(url) as response:
            version = int(response.headers.get(VERSION_HEADER, "0"))
            return version, await response.text() if version else ""
    except (aiohttp.ClientError, TimeoutError, ValueError):
        return 0, ""


async def find_request_events(vms, ports, request_id):
    """Return the events that entry processes recorded for a request.

    Oldest first, each with the name of its VM.
    """
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        calls = [
            _read_request_events(
                session, f"http://{vm.address}:{ports.entry}", request_id
            )
            for vm in vms
        ]
        responses = await asyncio.gather(*calls)
    found = []
    for vm, events in zip(vms, responses, strict=True):
        found += [{"vm": vm.vm, **event} for event in events]
    return sorted(found, key=lambda event: event.get("at", ""))


async def _read_request_events(session, base, request_id):
    try:
        async with session.get(f"{base}/-/requests/{request_id}") as response:
            if response.status != 200:
                return []
            return (await response.json()).get("events", [])
    except (aiohttp.ClientError, TimeoutError, ValueError):
        return []


async def _read_daemon(session, semaphore, vm, role, port):
    base = f"http://{vm.address}:{port}/-"
    async with semaphore:
        try:
            async with session.get(f"{base}/health") as response:
                state = (await response.json()).get("state", "unknown")
            async with session.get(f"{base}/status") as response:
                status = await response.json()
        except (aiohttp.ClientError, TimeoutError, ValueError):
            state, status = "no answer", None
    if vm.state == "leaving":
        state = f"leaving, {state}"
    return DaemonStatus(vm.vm, vm.availability_zone, role, state, status)
