"""A late heartbeat takes a draining endpoint back into use.

The store loses answers for 4.5 s, and some of those writes are done up to 6 s
later (``platform_lost``, ``late``). One of them is the heartbeat of an
endpoint that reports, when the store has been calm for longer than
``stable_window``, that it is draining. The heartbeat is older (``seq``) than
that report, and is done after it. With ``TROUBLE=0`` the store loses no
answers; endpoints drain in the same way.
"""

import asyncio
import os
import random
import signal
import sys
import tempfile
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from world import HEARTBEAT_S, Caller, Recorder, World, make_config  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Of the deployment: bounds.drain and bounds.stable_window.
DRAIN_S = 2.5
STABLE_WINDOW_S = 4.0
# The largest dose in sites/legitka-lb.toml is x = 0.35 for 4.5 s; a late write
# is done 1 to 6 s later (fleetbench kinds).
LOSS_S = 4.5
LATE_S = 5.9
# An endpoint serves on for ``drain`` after the store has accepted its report,
# and a little longer.
EXIT_AFTER_S = DRAIN_S + 0.45
ENDPOINTS = 8
LEAVING = 2
ROUNDS = 5
CALLERS = 12
WORK_S = 0.12
# ``SERVER_LEAVING=1``: endpoints that drain also say so in their answers.
SAYS_LEAVING = os.environ.get("SERVER_LEAVING", "0") != "0"


class Leaver:
    """An endpoint's heartbeats from the loss of answers to its exit."""

    def __init__(self, world, record, endpoint):
        self.world, self.record, self.endpoint = world, record, endpoint

    async def write(self, late=0.0):
        endpoint = self.endpoint
        entry = endpoint.make_entry()
        self.record(
            "report", endpoint=endpoint.id, state=entry["state"], seq=entry["seq"]
        )
        try:
            await self.world.store.put("servers", endpoint.id, entry, late)
            self.record("ack", endpoint=endpoint.id, seq=entry["seq"])
        except TimeoutError:
            self.record("no answer", endpoint=endpoint.id, seq=entry["seq"])

    async def leave(self, began):
        """Send heartbeats, drain 8.6 s after ``began``, and exit."""
        loop = asyncio.get_running_loop()
        self.endpoint.beats = False
        beats = [began + 1.3, began + 2.8, began + 4.3, began + 5.8, began + 7.3]
        for number, at in enumerate(beats):
            await asyncio.sleep(max(0.0, at - loop.time()))
            is_lost = TROUBLE and number == 2
            await self.write(LATE_S if is_lost else 0.0)
        await asyncio.sleep(max(0.0, began + 8.6 - loop.time()))
        self.endpoint.says_leaving = SAYS_LEAVING
        self.endpoint.state = "draining"
        await self.write()
        drained_at = loop.time()
        self.record("drain", endpoint=self.endpoint.id)
        exit_at = drained_at + EXIT_AFTER_S
        while (next_at := loop.time() + HEARTBEAT_S) < exit_at:
            await asyncio.sleep(next_at - loop.time())
            await self.write()
        await asyncio.sleep(max(0.0, exit_at - loop.time()))
        self.endpoint.crash()
        self.record("exit", endpoint=self.endpoint.id)
        del self.world.endpoints[self.endpoint.id]
        await self.world.store.remove("servers", self.endpoint.id)


async def send_payments(world, record, rng, state):
    caller = Caller(record, rng, world.machines[0].front)
    while not state["done"]:
        path = f"/pay/{rng.randint(0, 10**6)}"
        key = str(rng.randint(0, 60))
        await caller.send("POST", "h.example", path, b"p" * 300, key)
        await asyncio.sleep(rng.uniform(0.0, 0.06))
    caller.close()


async def play(record, folder):
    world = World(folder, record)
    rng = random.Random()
    state = {"done": False}
    count = 0
    try:
        for _ in range(ENDPOINTS):
            await world.add_endpoint(f"i-pay{count}", "pay", "z1", WORK_S)
            count += 1
        route = {
            "name": "payments",
            "host": "h.example",
            "path_prefix": "/pay/",
            "kind": "unsafe",
            "service": "pay",
        }
        await world.start(["z1"], make_config("r7", [route], ["pay"]))
        jobs = [
            asyncio.create_task(send_payments(world, record, rng, state))
            for _ in range(CALLERS)
        ]
        await asyncio.sleep(STABLE_WINDOW_S + 1.0)
        loop = asyncio.get_running_loop()
        for _ in range(ROUNDS):
            began = loop.time()
            if TROUBLE:
                record("loss begins")
                loop.call_later(LOSS_S, record, "loss ends")
            leaving = list(world.endpoints.values())[:LEAVING]
            await asyncio.gather(
                *(Leaver(world, record, endpoint).leave(began) for endpoint in leaving)
            )
            for _ in range(LEAVING):
                endpoint = await world.add_endpoint(f"i-pay{count}", "pay", "z1", WORK_S)
                count += 1
                await world.store.put("servers", endpoint.id, endpoint.make_entry())
            # The next loss begins when the store has been calm for a while.
            await asyncio.sleep(STABLE_WINDOW_S)
        state["done"] = True
        await asyncio.gather(*jobs)
    finally:
        await world.stop()


def judge(record):
    """DRAIN: a request reaches an endpoint later than ``drain`` after the ack."""
    drained = {row["endpoint"]: row["t"] for row in record.of("drain")}
    answers = {row["id"]: row["status"] for row in record.of("answer")}
    late = []
    for row in record.of("run"):
        ack_at = drained.get(row["endpoint"])
        if ack_at is not None and row["t"] > ack_at + DRAIN_S:
            late.append((row["id"], row["endpoint"], round(row["t"] - ack_at, 3)))
    lost = [i for i, _, _ in late if answers.get(i) != 200]
    served = sum(status == 200 for status in answers.values())
    record("result", sent=len(answers), served=served, late=late, lost=lost)
    print(f"sent {len(answers)}, served {served}, drained {len(drained)} endpoints")
    print(f"DRAIN: {len(late)} payments ran at an endpoint later than {DRAIN_S} s")
    print(f"  of these, {len(lost)} had begun to run and were lost as it ended")
    for request_id, endpoint, after_s in late[:3]:
        print(f"  {request_id} at {endpoint} {after_s} s after the ack:",
              answers.get(request_id))
    if served < len(answers) / 2:
        return 2
    return 1 if late else 0


def main():
    record = Recorder(HERE / "record.txt")
    try:
        with tempfile.TemporaryDirectory() as folder:
            asyncio.run(play(record, folder))
    except (OSError, TimeoutError) as error:
        print(f"the case couldn't run: {error!r}")
        return 2
    return judge(record)


if __name__ == "__main__":
    # Ends the machines too if the script itself is stopped.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        code = main()
    except Exception as error:
        print(f"the case couldn't run: {error!r}")
        code = 2
    sys.exit(code)
