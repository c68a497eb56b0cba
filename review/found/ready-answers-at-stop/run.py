"""A planned stop loses answers that are ready behind an earlier request."""

import asyncio
import signal
from pathlib import Path

from harness_2 import BROKEN, HELD, TROUBLE, main, make_request, read_answer

# pass-pdf and status-check of legitka-lb-now-grown: deadlines of 7,944 and
# 8,744 ms; pass-pdf has no timeout of its own, so that its deadline holds.
PDF_DEADLINE_MS = 7944
STATUS_DEADLINE_MS = 8744
# Work of pass-pdf: max = 3960.0, two requests one after the other on a slot.
PDF_S = 3.6
# status-check for a known object: 1,640 ms, warm_gain = 0.7.
STATUS_S = 0.49
SLOTS = 3
CONNECTIONS = 3
BEHIND = 3
TERM_AFTER_S = 0.3


async def hold_slot(world, vm, number):
    """Keep the slot of a server busy with another client's download."""
    reader, writer = await asyncio.open_connection(*vm.front)
    request_id, data = make_request(f"/pdf/f{number}", deadline_ms=PDF_DEADLINE_MS)
    world.record.add("sent", request_id)
    writer.write(data)
    try:
        status, _, _ = await read_answer(reader)
        world.record.add("answered", request_id, status)
    except (OSError, asyncio.IncompleteReadError) as error:
        world.record.add("closed-without-answer", request_id, repr(error)[:50])
    writer.close()


class Client:
    """Sends a look-up, then a download with look-ups behind it."""

    def __init__(self, world, vm):
        self._record = world.record
        self._vm = vm
        self.unanswered = []

    async def run(self, number):
        reader, writer = await asyncio.open_connection(*self._vm.front)
        _, data = make_request(f"/status/{number}", deadline_ms=STATUS_DEADLINE_MS)
        writer.write(data)
        await read_answer(reader)
        sent = []
        targets = [(f"/pdf/{number}", PDF_DEADLINE_MS)]
        targets += [
            (f"/status/{number}-{k}", STATUS_DEADLINE_MS) for k in range(BEHIND)
        ]
        for target, deadline_ms in targets:
            request_id, data = make_request(target, deadline_ms=deadline_ms)
            self._record.add("sent", request_id, target)
            writer.write(data)
            sent.append(request_id)
        for place, request_id in enumerate(sent):
            try:
                status, _, _ = await read_answer(reader)
            except (OSError, asyncio.IncompleteReadError) as error:
                for lost in sent[place:]:
                    self._record.add("closed-without-answer", lost, repr(error)[:50])
                # The first one is excused: its server was still at work.
                self.unanswered += [r for r in sent[place:] if r != sent[0]]
                break
            self._record.add("answered", request_id, status)
        writer.close()


async def run(world):
    await world.put_config(
        1,
        [
            ("status-check", "/status/", "safe", "3s", "status-api"),
            ("pass-pdf", "/pdf/", "download", f"{PDF_DEADLINE_MS}ms", "pass-print"),
        ],
        ["status-api", "pass-print"],
    )
    statuses = [
        await world.add_server("status-api", zone=zone, slots=9, work_s=STATUS_S)
        for zone in ("a1", "a2")
    ]
    await world.add_server("pass-print", slots=SLOTS, work_s=PDF_S)
    vm = await world.add_vm("a1")
    await vm.wait_ready()
    renewal = asyncio.create_task(world.renew_entries())
    fillers = [asyncio.create_task(hold_slot(world, vm, n)) for n in range(SLOTS)]
    await asyncio.sleep(0.1)
    client = Client(world, vm)
    clients = [asyncio.create_task(client.run(n)) for n in range(CONNECTIONS)]
    await asyncio.sleep(0.6 + TERM_AFTER_S)
    if TROUBLE:
        world.record.add("SIGTERM")
        vm.signal(signal.SIGTERM)
    await asyncio.gather(*clients, *fillers)
    renewal.cancel()
    runs = {request_id for server in statuses for request_id, _, _ in server.runs}
    lost = [request_id for request_id in client.unanswered if request_id in runs]
    world.record.add("run, answered by the server, and not answered:", len(lost))
    return BROKEN if lost else HELD


if __name__ == "__main__":
    main(run, Path(__file__).parent)
