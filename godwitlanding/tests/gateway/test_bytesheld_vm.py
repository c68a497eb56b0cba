"""What the process of a VM holds with slow readers and many uploads."""

import asyncio
import re
from collections import Counter
from pathlib import Path

import pytest

from godwitlanding.tests.gateway.world import World, make_config

MEMORY_MB = 200
# A VM of 200 MB is to stay below this.
MAX_PROCESS_MB = 120
CALLERS = 300
UPLOAD = bytes(360_000)
UPLOAD_ROUTE = [
    *("up", "h", "/up/", "upload", "3s", "2s", 2, None, 2, True, [], "pays", None)
]


async def start_world(world, memory_mb):
    """Start VMs with ``memory_mb`` and an upload route, if it is stated."""
    config = make_config("r8", [list(UPLOAD_ROUTE)])
    config["limits"] = {**config["limits"], "max_body_bytes": 400_000}
    await world.store.put("config", "main", config)
    if memory_mb:
        for vm in world.vms:
            limits = f"\n[self.limits]\nmemory_mb = {memory_mb}\n"
            vm.path.write_text(vm.path.read_text() + limits)
    await world.start()


def get_peak_mb(vm):
    """Return the most memory that the process of a VM has had."""
    status = Path(f"/proc/{vm.process.pid}/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+) kB", status).group(1)) / 1000


def get_rss_mb(vm):
    """Return the memory of the process of a VM."""
    status = Path(f"/proc/{vm.process.pid}/status").read_text()
    return int(re.search(r"VmRSS:\s+(\d+) kB", status).group(1)) / 1000


class Caller:
    """A connection to a VM that reads only when it is told to."""

    async def open(self, vm):
        """Connect and stop reading."""
        host, port = vm.address.split(":")
        self.reader, self.writer = await asyncio.open_connection(host, port)
        self.writer.transport.pause_reading()
        return self

    def ask(self, number, path, body=b"", sent=None, deadline_ms=2500):
        """Send a request with ``sent`` bytes of its body, or the whole."""
        method = "POST" if body else "GET"
        self.writer.write(
            f"{method} {path}{number} HTTP/1.1\r\nHost: h\r\n"
            f"Godwitlanding-Request-Id: c{number}\r\n"
            f"Godwitlanding-Deadline-Ms: {deadline_ms}\r\n"
            f"Godwitlanding-Affinity-Key: k{number % 20}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode()
        )
        self.writer.write(body[:sent])

    async def read(self):
        """Return the status and code of the response, 0 if there is none."""
        self.writer.transport.resume_reading()
        try:
            async with asyncio.timeout(10.0):
                head = await self.reader.readuntil(b"\r\n\r\n")
                length = int(head.lower().partition(b"content-length: ")[2].split()[0])
                body = await self.reader.readexactly(length)
        except (OSError, EOFError, TimeoutError):
            return 0, ""
        finally:
            self.writer.transport.abort()
        status = int(head.split()[1])
        return status, body[:4].decode("latin-1") if status != 200 else ""


async def stall_uploads(world, vm):
    """Upload from many callers that keep back the end of their bodies."""
    callers = [await Caller().open(vm) for _ in range(CALLERS)]
    for number, caller in enumerate(callers):
        caller.ask(number, "/up/", UPLOAD, len(UPLOAD) - 1)
    await asyncio.sleep(1.5)
    for caller in callers:
        caller.writer.write(UPLOAD[-1:])
    return Counter(await asyncio.gather(*(caller.read() for caller in callers)))


async def leave_responses_unread(world, vm):
    """Ask from many callers that do not read their responses."""
    for worker_id in ("look-1", "look-2"):
        world.get_worker(worker_id).response_bytes = 900_000
    callers = [await Caller().open(vm) for _ in range(CALLERS)]
    for number, caller in enumerate(callers):
        caller.ask(number, "/look/")
        await asyncio.sleep(0.01)
    await asyncio.sleep(1.0)
    return Counter(await asyncio.gather(*(caller.read() for caller in callers)))


@pytest.mark.parametrize("load", [stall_uploads, leave_responses_unread])
async def test_vm_stays_within_its_memory(tmp_path, load):
    # Guards against a VM that is killed, with every request that it is
    # serving, by callers that send or read slowly.
    async with World(tmp_path, zones=("a1",)) as world:
        await start_world(world, MEMORY_MB)
        vm = world.vms[0]
        counts = await load(world, vm)
        peak_mb = get_peak_mb(vm)
        print(load.__name__, counts, f"peak {peak_mb:.0f} MB")
        assert peak_mb < MAX_PROCESS_MB
        assert counts[503, "2015"] > 0
        # Nobody was left without a response, and the VM serves on.
        assert counts[0, ""] == 0
        world.get_worker("look-1").response_bytes = 0
        world.get_worker("look-2").response_bytes = 0
        await asyncio.sleep(0.5)
        response, _ = await world.ask(vm)
        assert response.status == 200
