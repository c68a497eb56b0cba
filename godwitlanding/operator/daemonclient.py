"""What every daemon says of itself, asked over HTTP by ``godwitctl``."""

import asyncio
from typing import NamedTuple

import aiohttp

from godwitlanding.base.web import VERSION_HEADER

ROLES = ("zone", "entry", "steer")
TIMEOUT_S = 2.0
MAX_CONCURRENT_REQUESTS = 50


class Ports(NamedTuple):
    """The HTTP ports that are the same on every VM."""

    steer: int = 7001
    entry: int = 7002
    zone: int = 7003


class DaemonStatus(NamedTuple):
    """One daemon's answer; ``status`` is ``None`` if it gave none."""

    vm: str
    availability_zone: str
    role: str
    state: str
    status: dict | None

    def get_version(self, kind, name="main"):
        """Return the version of an object that the daemon holds, or 0."""
        versions = (self.status or {}).get("versions", {})
        return versions.get(f"{kind}/{name}", 0)


async def read_fleet(vms, ports, roles=ROLES):
    """Ask each daemon of the ``VmEntry`` rows; answers in their order."""
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
    """Return ``(version, text)``, the newest that a zone daemon holds.

    Version 0 and no text where none answers.
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
        async with session.get(url) as answer:
            version = int(answer.headers.get(VERSION_HEADER, "0"))
            return version, await answer.text() if version else ""
    except (aiohttp.ClientError, TimeoutError, ValueError):
        return 0, ""


async def find_request_events(vms, ports, request_id):
    """Return what entry processes remember of a request, oldest first."""
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        calls = [
            _read_request_events(
                session, f"http://{vm.address}:{ports.entry}", request_id
            )
            for vm in vms
        ]
        answers = await asyncio.gather(*calls)
    found = []
    for vm, events in zip(vms, answers, strict=True):
        found += [{"vm": vm.vm, **event} for event in events]
    return sorted(found, key=lambda event: event.get("at", ""))


async def _read_request_events(session, base, request_id):
    try:
        async with session.get(f"{base}/-/requests/{request_id}") as answer:
            if answer.status != 200:
                return []
            return (await answer.json()).get("events", [])
    except (aiohttp.ClientError, TimeoutError, ValueError):
        return []


async def _read_daemon(session, semaphore, vm, role, port):
    base = f"http://{vm.address}:{port}/-"
    async with semaphore:
        try:
            async with session.get(f"{base}/health") as answer:
                state = (await answer.json()).get("state", "unknown")
            async with session.get(f"{base}/status") as answer:
                status = await answer.json()
        except (aiohttp.ClientError, TimeoutError, ValueError):
            state, status = "no answer", None
    if vm.state == "leaving":
        state = f"leaving, {state}"
    return DaemonStatus(vm.vm, vm.availability_zone, role, state, status)
