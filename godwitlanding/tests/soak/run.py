"""Runs seeds of the soak, several at a time, and tells what broke.

    python -m godwitlanding.tests.soak.run --seeds 1 50 --jobs 4

Each seed starts a world of its own: four VMs in two regions as real
processes, eight upstreams and a store, with a link in front of each. Faults
are drawn from the seed; when they are mended everybody must be served again.
With ``--plot`` a picture shows what callers got over time.
"""

import argparse
import asyncio
import logging
import random
import sys
import tempfile
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor, as_completed
from pathlib import Path
from typing import NamedTuple

import aiohttp

from godwitlanding.tests.soak.caller import Caller
from godwitlanding.tests.soak.checker import Judge
from godwitlanding.tests.soak.faultinjector import Striker
from godwitlanding.tests.soak.schedule import FAULTS_S, draw_faults
from godwitlanding.tests.soak.world import KEY_BY_WORKSPACE, SoakWorld

CALLERS = 10
CALLER_PAUSE_S = 0.12
# After the last fault: the longest pause between two tries of a mirror, and
# the time for an ejected upstream to be tried again.
SETTLE_S = 5.0
CALM_S = 2.0
SERVED_SHARE = 0.99
READY_S = 12.0


class Report(NamedTuple):
    """What came of one seed."""

    seed: int
    faults: tuple
    problems: tuple[str, ...]
    count_by_outcome: dict
    # Seconds from the start, and the outcome, of each request.
    timeline: tuple
    took_s: float


async def run_faults(seed, faults, folder):
    """Play faults, with callers by a seed; return the ``Report``."""
    begun = time.monotonic()
    tried = []
    async with SoakWorld(folder) as world:
        await world.start()
        striker = Striker(world)
        loop = asyncio.get_running_loop()
        started = loop.time()
        tasks = [loop.create_task(world.follow_directory())]
        await asyncio.sleep(0.6)
        tasks += [
            loop.create_task(_make_caller(world, n, tried).run(_rng(seed, n), pause))
            for n, pause in enumerate([CALLER_PAUSE_S] * CALLERS)
        ]
        await asyncio.gather(*(_strike_later(striker, fault) for fault in faults))
        problems = await _judge_recovery(world, tried)
        await _end(tasks)
        problems += Judge(tried, world, striker).find_problems()
    return Report(
        seed,
        tuple(faults),
        tuple(problems),
        Counter(_name_outcome(row) for row in tried),
        tuple((row.ended_at - started, _name_outcome(row)) for row in tried),
        time.monotonic() - begun,
    )


def _rng(seed, number):
    return random.Random(f"{seed}/{number}")


def _make_caller(world, number, tried):
    # One in three belongs to each workspace.
    names = list(KEY_BY_WORKSPACE)
    workspace = names[number % len(names)]
    return Caller(
        f"c{number:02}",
        workspace,
        KEY_BY_WORKSPACE[workspace],
        world.pick_vm,
        world.connect,
        tried.append,
    )


async def _strike_later(striker, fault):
    await asyncio.sleep(fault.at_s)
    await striker.strike(fault)


async def _judge_recovery(world, tried):
    """Return what is not as before some seconds after the last fault."""
    problems = []
    try:
        async with asyncio.timeout(READY_S):
            for vm in world.vms:
                await world.wait_until_ready(vm)
    except TimeoutError:
        problems.append(f"RECOVER {vm.name} is not ready after {READY_S} s")
    await asyncio.sleep(SETTLE_S)
    path = await world.change_config()
    await asyncio.sleep(CALM_S + 0.5)
    before = len(tried)
    for vm in world.vms:
        status = await _ask_for(world, vm, path)
        if status != 200:
            problems.append(f"CONFIG {vm.name}: {status} for {path}")
    await asyncio.sleep(CALM_S)
    # What is over an allotment is owed to nobody.
    calm = [row for row in tried[before:] if row.status != 429]
    served = sum(row.status == 200 for row in calm)
    if not calm or served < SERVED_SHARE * len(calm):
        problems.append(f"RECOVER {served} of {len(calm)} served in the end")
    for vm in world.vms:
        if vm.process.returncode is not None:
            problems.append(f"CRASH {vm.name} ended by itself")
    return problems


async def _ask_for(world, vm, path):
    try:
        key = {"Authorization": f"Bearer {KEY_BY_WORKSPACE['office']}"}
        answer, _ = await world.ask(vm, path, **key)
    except aiohttp.ClientError as error:
        return repr(error)
    return answer.status


async def _end(tasks):
    for task in tasks:
        task.cancel()
    results = await asyncio.gather(*tasks, return_exceptions=True)
    for result in results:
        if not isinstance(result, asyncio.CancelledError):
            raise RuntimeError("a caller ended by itself") from result


def _name_outcome(row):
    return str(row.status) if row.status else row.detail


def play(seed, logs=None):
    """Play one seed in this process; VMs log to the folder ``logs``."""
    # What the stand-ins' servers say when faults end their calls.
    logging.disable(logging.CRITICAL)
    if logs:
        folder = logs / f"seed-{seed}"
        folder.mkdir(parents=True, exist_ok=True)
        return asyncio.run(run_faults(seed, draw_faults(seed), folder))
    with tempfile.TemporaryDirectory(prefix=f"soak-{seed}-") as folder:
        return asyncio.run(run_faults(seed, draw_faults(seed), Path(folder)))


def format_report(report):
    """Return a report as lines of text."""
    outcomes = " ".join(f"{k}={v}" for k, v in sorted(report.count_by_outcome.items()))
    verdict = "ok" if not report.problems else "BROKEN"
    lines = [f"seed {report.seed}: {verdict} in {report.took_s:.0f} s; {outcomes}"]
    if report.problems:
        lines += [f"  {problem}" for problem in report.problems[:20]]
        lines += [f"  fault {tuple(fault)}" for fault in report.faults]
    return "\n".join(lines)


def draw_plot(reports, path):
    """Draw what callers got each second, a row for each report."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(len(reports), 1, figsize=(9, 2 * len(reports)))
    for axis, report in zip([axes] if len(reports) == 1 else axes, reports):
        for outcome in sorted(report.count_by_outcome):
            seconds = Counter(int(at) for at, o in report.timeline if o == outcome)
            last = max((int(at) for at, _ in report.timeline), default=0)
            axis.plot([seconds[s] for s in range(last + 1)], label=outcome)
        axis.axvspan(0.6, FAULTS_S + 0.6, alpha=0.1)
        axis.set_title(f"seed {report.seed}", fontsize=8)
        axis.legend(fontsize=6)
    figure.tight_layout()
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path)


def parse_arguments(argv=None):
    """Return the command line's arguments."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__.split("\n")[0])
    parser.add_argument(
        "--seeds",
        type=int,
        nargs=2,
        default=(1, 4),
        metavar=("FIRST", "LAST"),
        help="Seeds to play, both included; default: 1 4",
    )
    parser.add_argument(
        "--jobs", type=int, default=2, help="Seeds played at a time; default: 2"
    )
    parser.add_argument("--plot", type=Path, help="Write a picture of what callers got")
    parser.add_argument(
        "--logs", type=Path, metavar="FOLDER", help="Keep the VMs' logs there"
    )
    return parser.parse_args(argv)


def main(argv=None):
    """Play the seeds; the exit code tells whether all promises were kept."""
    arguments = parse_arguments(argv)
    first, last = arguments.seeds
    reports = []
    with ProcessPoolExecutor(arguments.jobs, max_tasks_per_child=1) as pool:
        futures = [
            pool.submit(play, seed, arguments.logs) for seed in range(first, last + 1)
        ]
        for future in as_completed(futures):
            reports.append(future.result())
            print(
                f"[{len(reports)}/{len(futures)}]",
                format_report(reports[-1]),
                flush=True,
            )
    if arguments.plot:
        draw_plot(sorted(reports)[:8], arguments.plot)
    broken = sorted(report.seed for report in reports if report.problems)
    print(f"soak: {len(reports) - len(broken)} of {len(reports)} kept, broken {broken}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
