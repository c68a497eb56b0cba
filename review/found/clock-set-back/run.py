"""A server whose clock was set back before its restart can't drain."""

import asyncio
import time
from pathlib import Path

from harness_2 import BROKEN, HELD, TROUBLE, main, make_request, read_answer

# hda-landing-grown: srv_flap with gap_s = 1.4; clock_step with x = 2400.0 ms,
# for 6 s, how = "back"; drain = 4000 ms. One server of nine: a share of 0.11.
FLAP_S = 1.4
STEP_MS = 2400
STEP_FOR_S = 6.0
DRAIN_S = 4.0
# The server serves a little longer than ``drain`` and then exits.
EXIT_AFTER_S = 4.5
CALM_S = 3.0
REQUEST_EVERY_S = 0.1
# Nobody registers anything for a while, then some callers do at once.
QUIET_BEFORE_S = 0.6
QUIET_AFTER_S = DRAIN_S + 0.2
AT_ONCE = 6
# Work of loan-register.
WORK_S = 0.41


class Clock:
    """The time of day of the server's machine."""

    def __init__(self):
        self._back_until = 0.0

    def step_back(self):
        self._back_until = time.monotonic() + STEP_FOR_S

    def get_ms(self):
        now_ms = int(time.time() * 1000)
        return now_ms - STEP_MS if time.monotonic() < self._back_until else now_ms


class Borrower:
    """Sends loan registrations on new connections, at a steady rate."""

    def __init__(self, world, vm):
        self._record = world.record
        self._vm = vm
        self.status_by_id = {}
        self._tasks = set()

    async def run(self):
        while True:
            self.begin()
            await asyncio.sleep(REQUEST_EVERY_S)

    def begin(self):
        """Send one registration."""
        task = asyncio.create_task(self.register())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def wait(self):
        """Wait for the answers of the requests in progress."""
        if self._tasks:
            await asyncio.wait(self._tasks)

    async def register(self):
        request_id, data = make_request(
            "/loan/1", "POST", deadline_ms=2500, body=b"sheet=1"
        )
        self._record.add("sent", request_id)
        status = 0
        try:
            reader, writer = await asyncio.open_connection(*self._vm.front)
            writer.write(data)
            status, _, _ = await read_answer(reader)
            writer.close()
        except (OSError, asyncio.IncompleteReadError):
            pass
        self._record.add("answered", request_id, status)
        self.status_by_id[request_id] = status


async def run(world):
    await world.put_config(
        1, [("loan", "/loan/", "unsafe", "2500ms", "loan-desk")], ["loan-desk"]
    )
    clock = Clock()
    near = await world.add_server("loan-desk", zone="a1", slots=9, work_s=WORK_S)
    for zone in ("b1", "b2") * 4:
        await world.add_server("loan-desk", zone=zone, slots=9, work_s=WORK_S)
    add_born(near, clock)
    vm = await world.add_vm("a1")
    await vm.wait_ready()
    renewal = asyncio.create_task(world.renew_entries())
    # The server is started, goes down and comes up again under its id.
    await restart(world, near, clock)
    await asyncio.sleep(FLAP_S / 2)
    if TROUBLE:
        clock.step_back()
        world.record.add("clock-step", -STEP_MS)
    near.crash()
    await asyncio.sleep(FLAP_S / 2)
    await restart(world, near, clock)
    borrower = Borrower(world, vm)
    registering = asyncio.create_task(borrower.run())
    await asyncio.sleep(CALM_S - QUIET_BEFORE_S)
    registering.cancel()
    await borrower.wait()
    await asyncio.sleep(QUIET_BEFORE_S)
    near.state = "draining"
    await world.store.put("servers", near.id, near.make_entry())
    acked_at = time.monotonic()
    world.record.add("acknowledged as draining", near.id)
    arrivals_before = len(near.runs)
    await asyncio.sleep(DRAIN_S)
    late_from = len(near.runs)
    await asyncio.sleep(QUIET_AFTER_S - DRAIN_S)
    for _ in range(AT_ONCE):
        borrower.begin()
    await asyncio.sleep(EXIT_AFTER_S - QUIET_AFTER_S)
    late = [request_id for request_id, _, _ in near.runs[late_from:]]
    world.servers.remove(near)
    near.crash()
    world.record.add("exited", near.id, round(time.monotonic() - acked_at, 2))
    await world.store.remove("servers", near.id)
    await borrower.wait()
    renewal.cancel()
    cut = [r for r in late if borrower.status_by_id.get(r) not in (200, None)]
    world.record.add("run before the ack:", arrivals_before)
    world.record.add("reached it later than drain after the ack:", len(late))
    world.record.add("of these, begun and lost at its exit:", len(cut))
    return BROKEN if late else HELD


def add_born(server, clock):
    """Let a server's entries say when it started."""
    make_entry = server.make_entry
    server.born = clock.get_ms()
    server.make_entry = lambda: {**make_entry(), "born": server.born}


async def restart(world, server, clock):
    """Start a server again: it counts anew and takes its start from its clock."""
    if server.is_down():
        await server.start()
    server.born = clock.get_ms()
    server.restart_count()
    await world.store.put("servers", server.id, server.make_entry())
    world.record.add("started", server.id, "born", server.born)


if __name__ == "__main__":
    main(run, Path(__file__).parent)
