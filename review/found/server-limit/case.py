"""A server that names a very high limit makes VMs end by themselves, again and again."""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent.parent))

import harness_3 as h  # noqa: E402

ROUTES = [("look", "/look/", "look", "safe", "2s"), ("pay", "/pay/", "pay", "unsafe", "2.5s")]
PLAY_S = 105.0
# The largest number of common runtimes, as a decimal number: no limit any more.
LIMIT = b"%.1f" % sys.float_info.max


class LimitedEndpoint(h.Endpoint):
    """One of the endpoints names a limit in each of its answers."""

    limited_id = ""

    def answer(self, writer, status, request, body, sign=True, extra=b""):
        if self.id == self.limited_id:
            extra += b"Server-Limit: %b\r\n" % LIMIT
        super().answer(writer, status, request, body, sign, extra)


async def case(log, folder, trouble):
    LimitedEndpoint.limited_id = "i-1" if trouble else ""
    system = h.Deployment(log, folder, LimitedEndpoint, work_s=0.03)
    sent = []
    try:
        await system.start(ROUTES, ["look", "pay"])
        await system.start_vms()
        if not await system.wait_ready():
            return h.CANNOT_RUN
        end = time.monotonic() + PLAY_S - 8.0

        def until():
            return 0 if sum(vm.own_ends >= 3 for vm in system.vms) >= 2 else end

        await h.send_steadily(system, sent, until, "r", 0.05)
        ends = [vm.own_ends for vm in system.vms]
        log(f"processes that ended by themselves, by machine: {ends}")
        log(f"served: {sum(s == 200 for _, _, s in sent)} of {len(sent)}")
        return h.BROKEN if sum(count >= 3 for count in ends) >= 2 else h.HELD
    finally:
        await system.end()


h.play(HERE, case)
