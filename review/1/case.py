"""An endpoint rejects a payment and its rejection comes a second time, late.

Disruptions (``TROUBLE=0`` leaves both out): endpoints reject a part of their
requests while they are healthy (``srv_grey``, ``shed all``), and some send a
part of their answers a second time, late, where the next answer on that
connection is expected (``garble``, ``extra late``).
"""

import asyncio
import os
import random
import signal
import sys
import tempfile
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from world import Caller, Recorder, World, make_config  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ENDPOINTS = 5
# Both are within the doses of sites/legitka-lb.toml: srv_grey "shed all" x =
# 0.55 for 8.5 s, garble "extra late" share = 0.6, x = 0.03 for 5 s.
SHED_SHARE = 0.15
EXTRA_ENDPOINTS = 3
EXTRA_SHARE = 0.03
GREY_S, GARBLE_S = 8.5, 5.0
# Eight rounds of 8.5 s, the garble in the first 5 s of each.
ROUNDS = 8
CALLERS = 14
WORK_S = 0.05


async def send_payments(world, record, rng, until):
    caller = Caller(record, rng, world.machines[0].front)
    loop = asyncio.get_running_loop()
    while loop.time() < until:
        path = f"/pay/{rng.randint(0, 10**6)}"
        key = str(rng.randint(0, 23))
        await caller.send("POST", "h.example", path, b"p" * 300, key)
        await asyncio.sleep(rng.uniform(0.0, 0.08))
    caller.close()


async def make_trouble(world):
    endpoints = list(world.endpoints.values())
    for _ in range(ROUNDS):
        for endpoint in endpoints:
            endpoint.shed_share = SHED_SHARE
        for endpoint in endpoints[:EXTRA_ENDPOINTS]:
            endpoint.extra_share = EXTRA_SHARE
        await asyncio.sleep(GARBLE_S)
        for endpoint in endpoints:
            endpoint.extra_share = 0.0
        await asyncio.sleep(GREY_S - GARBLE_S)
        for endpoint in endpoints:
            endpoint.shed_share = 0.0


async def play(record, folder):
    world = World(folder, record)
    rng = random.Random()
    try:
        for number in range(ENDPOINTS):
            await world.add_endpoint(f"i-pay{number}", "pay", "z1", WORK_S)
        route = {
            "name": "payments",
            "host": "h.example",
            "path_prefix": "/pay/",
            "kind": "unsafe",
            "service": "pay",
        }
        await world.start(["z1"], make_config("r7", [route], ["pay"]))
        await asyncio.sleep(1.0)
        until = asyncio.get_running_loop().time() + ROUNDS * GREY_S
        jobs = [send_payments(world, record, rng, until) for _ in range(CALLERS)]
        if TROUBLE:
            jobs.append(make_trouble(world))
        await asyncio.gather(*jobs)
        await asyncio.sleep(1.0)
    finally:
        await world.stop()


def judge(record):
    """Return the exit code: TWICE is the rule, REFUSED is counted beside it."""
    runs = Counter(row["id"] for row in record.of("run"))
    status = {row["id"]: row["status"] for row in record.of("answer")}
    twice = sorted(i for i, count in runs.items() if count > 1)
    refused = sorted(i for i in runs if status.get(i) in (408, 421, 429, 503))
    served = sum(code == 200 for code in status.values())
    record("result", sent=len(status), served=served, twice=twice, refused=refused)
    print(f"sent {len(status)}, served {served}, rejected {len(record.of('shed'))}")
    print(f"TWICE: {len(twice)} payments ran more than once")
    print(f"REFUSED: {len(refused)} payments ran and were answered 503")
    for request_id in twice[:1] + refused[:1]:
        for row in record.rows:
            if row.get("id") == request_id:
                print(" ", row)
    if served < len(status) / 2:
        return 2
    return 1 if twice else 0


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
