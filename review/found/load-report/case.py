"""One answer with a spoilt load report ends a kind of request for good."""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent.parent))

import harness_3 as h  # noqa: E402

ROUTES = [("look", "/look/", "look", "safe", "2s"), ("pay", "/pay/", "pay", "unsafe", "2.5s")]
# Limits of the site file: garble share = 0.35, x = 0.02, for_s = 5.5.
GARBLED_SHARE = 0.02
BEFORE_S = 3.0
WINDOWS = 6
WINDOW_S = 5.5
PAUSE_S = 1.0
PLAY_S = 98.0
SPOILT_REPORT = b"7" * 400


class LookEndpoint(h.Endpoint):
    """One of the look-up endpoints spoils a few of its answers."""

    in_trouble = False

    def __init__(self, *arguments):
        super().__init__(*arguments)
        # Two of the six endpoints of this service.
        self.is_faulty = self.id in ("i-1", "i-4")
        self.answers = self.answers_in_trouble = self.spoilt = 0

    def answer(self, writer, status, request, body, sign=True, extra=b""):
        self.answers += 1
        self.answers_in_trouble += self.in_trouble
        running = b"0"
        if self.in_trouble and self.is_faulty and self.spoilt + 1 <= GARBLED_SHARE * self.answers_in_trouble:
            self.spoilt += 1
            running = SPOILT_REPORT
            self.log(f"{self.id} spoils its answer to {request}")
        signature = b"Godwitlanding-Response-Signature: s.%b\r\n" % self.id.encode() if sign else b""
        writer.write(
            b"HTTP/1.1 %d X\r\nGodwitlanding-Request-Id: %b\r\nGodwitlanding-Load-Report: %b,0,%d\r\n%bContent-Length: %d\r\n\r\n%b"
            % (status, request.encode(), running, self.slots, signature, len(body), body)
        )


def is_of(name, request_id):
    is_payment = int(request_id[1:]) % 3 == 0
    return not name or is_payment == (name == "pay")


async def case(log, folder, trouble):
    system = h.Deployment(log, folder, LookEndpoint, per_zone=3, work_s=0.03)
    sent = []
    try:
        await system.start(ROUTES, ["look", "pay"])
        await system.start_vms()
        if not await system.wait_ready():
            return h.CANNOT_RUN
        begun = time.monotonic()
        stop_at = begun + PLAY_S
        sender = asyncio.create_task(h.send_steadily(system, sent, lambda: stop_at, "r", 0.005))
        await asyncio.sleep(BEFORE_S)
        for _ in range(WINDOWS):
            LookEndpoint.in_trouble = trouble
            await asyncio.sleep(WINDOW_S)
            LookEndpoint.in_trouble = False
            await asyncio.sleep(PAUSE_S)
        log("end of the last window of trouble")
        await sender

        def share(name, begin=begun, end=stop_at):
            rows = [s for at, r, s in sent if begin <= at < end and is_of(name, r)]
            return sum(s == 200 for s in rows) / len(rows)

        for endpoint in system.endpoints:
            log(f"{endpoint.id}: {endpoint.spoilt} spoilt answers of {endpoint.answers_in_trouble} in the windows and {endpoint.answers} in all")
        for second in range(0, int(PLAY_S) - 4, 5):
            log(f"second {second}: look-ups served {share('look', begun + second, begun + second + 5):.2f}")
        everything, look = share(""), share("look")
        log(f"served in the whole day: all {everything:.3f}, look-ups {look:.3f}, payments {share('pay'):.3f}")
        if share("pay") < 0.5:
            return h.CANNOT_RUN
        return h.BROKEN if look < everything / 4 else h.HELD
    finally:
        await system.end()


h.play(HERE, case)
