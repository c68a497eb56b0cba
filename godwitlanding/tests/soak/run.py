"""Runs seeds of the soak test in parallel and reports violated promises.

    python -m godwitlanding.tests.soak.run --seeds 1 50 --jobs 4

Each seed starts its own environment: four VMs in two regions as real
processes, eight simulated upstreams and a store, with a link in front of
each. The faults are drawn from the seed. After they are repaired, all callers
must be served again. ``--plot`` draws the outcomes of requests over time.
"""

import argparse
import asyncio
import itertools
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
from godwitlanding.tests.soak.checker import Checker
from godwitlanding.tests.soak.faultinjector import FaultInjector
from godwitlanding.tests.soak.schedule import FAULT_WINDOW_S, draw_faults
from godwitlanding.tests.soak.world import KEY_BY_WORKSPACE, SoakWorld

CALLERS = 10
CALLER_PAUSE_S = 0.12
# Wait after the last fault: the longest pause between two attempts of a
# mirror, and the time until an ejected upstream is tried again.
SETTLE_S = 5.0
OBSERVATION_S = 2.0
MIN_SERVED_SHARE = 0.99
READY_TIMEOUT_S = 12.0


class Report(NamedTuple):
    """The result of one seed."""

    seed: int
    faults: tuple
    problems: tuple[str, ...]
    count_by_outcome: dict
    # Time since the start in seconds, and outcome, of each request.
    timeline: tuple
    took_s: float


async def run_faults(seed, faults, folder):
    """Run faults while callers drawn from a seed send requests.

    Returns the ``Report``. The VMs write their logs to ``folder``.
    """
    started_at = time.monotonic()
    records = []
    async with SoakWorld(folder) as world:
        await world.start()
        injector = FaultInjector(world)
        loop = asyncio.get_running_loop()
        timeline_start = loop.time()
        tasks = [loop.create_task(world.poll_directory())]
        await asyncio.sleep(0.6)
        tasks += [
            loop.create_task(
                _make_caller(world, n, records).run(_make_rng(seed, n), pause)
            )
            for n, pause in enumerate([CALLER_PAUSE_S] * CALLERS)
        ]
        await asyncio.gather(*(_inject_later(injector, fault) for fault in faults))
        problems = await _check_recovery(world, records)
        await _cancel(tasks)
        problems += Checker(records, world, injector).find_problems()
    return Report(
        seed,
        tuple(faults),
        tuple(problems),
        Counter(_get_outcome(row) for row in records),
        tuple((row.ended_at - timeline_start, _get_outcome(row)) for row in records),
        time.monotonic() - started_at,
    )


def _make_rng(seed, number):
    return random.Random(f"{seed}/{number}")


def _make_caller(world, number, records):
    # Each of the three workspaces has a third of the callers.
    names = list(KEY_BY_WORKSPACE)
    workspace = names[number % len(names)]
    return Caller(
        f"c{number:02}",
        workspace,
        KEY_BY_WORKSPACE[workspace],
        world.pick_vm,
        world.connect,
        records.append,
    )


async def _inject_later(injector, fault):
    await asyncio.sleep(fault.at_s)
    await injector.inject(fault)


async def _check_recovery(world, records):
    """Return what has not recovered some seconds after the last fault."""
    problems = []
    try:
        async with asyncio.timeout(READY_TIMEOUT_S):
            for vm in world.vms:
                await world.wait_until_ready(vm)
    except TimeoutError:
        problems.append(f"RECOVER {vm.name} is not ready after {READY_TIMEOUT_S} s")
    await asyncio.sleep(SETTLE_S)
    paths = await world.change_config()
    await asyncio.sleep(OBSERVATION_S + 0.5)
    before = len(records)
    for vm, path in itertools.product(world.vms, paths):
        status = await _request_path(world, vm, path)
        if status != 200:
            problems.append(
                f"CONFIG {vm.name}: status {status} for {path}, 200 expected"
            )
    await asyncio.sleep(OBSERVATION_S)
    # Requests over an allotment and uploads that stall need not be served.
    counted = [r for r in records[before:] if r.status != 429 and not r.stalls]
    served = sum(row.status == 200 for row in counted)
    if not counted or served < MIN_SERVED_SHARE * len(counted):
        problems.append(
            f"RECOVER {served} of {len(counted)} requests served after recovery"
        )
    for vm in world.vms:
        if vm.process.returncode is not None:
            problems.append(
                f"CRASH {vm.name} exited with {vm.process.returncode} without a fault"
            )
    return problems


async def _request_path(world, vm, path):
    try:
        key = {"Authorization": f"Bearer {KEY_BY_WORKSPACE['office']}"}
        response, _ = await world.ask(vm, path, **key)
    except aiohttp.ClientError as error:
        return repr(error)
    return response.status


async def _cancel(tasks):
    for task in tasks:
        task.cancel()
    results = await asyncio.gather(*tasks, return_exceptions=True)
    for result in results:
        if not isinstance(result, asyncio.CancelledError):
            raise RuntimeError(
                "a background task ended before it was cancelled"
            ) from result


def _get_outcome(row):
    return str(row.status) if row.status else row.detail


def run_seed(seed, logs=None):
    """Run one seed in this process; VMs write their logs below ``logs``."""
    # Suppresses what the stand-ins' servers log when faults interrupt calls.
    logging.disable(logging.CRITICAL)
    if logs:
        folder = logs / f"seed-{seed}"
        folder.mkdir(parents=True, exist_ok=True)
        return asyncio.run(run_faults(seed, draw_faults(seed), folder))
    with tempfile.TemporaryDirectory(prefix=f"soak-{seed}-") as folder:
        return asyncio.run(run_faults(seed, draw_faults(seed), Path(folder)))


def format_report(report):
    """Return a report as text."""
    outcomes = " ".join(f"{k}={v}" for k, v in sorted(report.count_by_outcome.items()))
    verdict = "ok" if not report.problems else "BROKEN"
    lines = [f"seed {report.seed}: {verdict} in {report.took_s:.0f} s; {outcomes}"]
    if report.problems:
        lines += [f"  {problem}" for problem in report.problems[:20]]
        lines += [f"  fault {tuple(fault)}" for fault in report.faults]
    return "\n".join(lines)


def draw_plot(reports, path):
    """Plot the outcomes of requests per second, one row for each report."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(len(reports), 1, figsize=(9, 2 * len(reports)))
    for axis, report in zip([axes] if len(reports) == 1 else axes, reports):
        for outcome in sorted(report.count_by_outcome):
            count_by_second = Counter(
                int(at) for at, o in report.timeline if o == outcome
            )
            last = max((int(at) for at, _ in report.timeline), default=0)
            axis.plot([count_by_second[s] for s in range(last + 1)], label=outcome)
        axis.axvspan(0.6, FAULT_WINDOW_S + 0.6, alpha=0.1)
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
        help="Seeds to run, both included; default: 1 4",
    )
    parser.add_argument(
        "--jobs", type=int, default=2, help="Seeds run in parallel; default: 2"
    )
    parser.add_argument("--plot", type=Path, help="Write a plot of request outcomes")
    parser.add_argument(
        "--logs", type=Path, metavar="FOLDER", help="Keep the VMs' logs in this folder"
    )
    return parser.parse_args(argv)


def main(argv=None):
    """Run the seeds; return 0 if no promise was violated, else 1."""
    arguments = parse_arguments(argv)
    first, last = arguments.seeds
    reports = []
    with ProcessPoolExecutor(arguments.jobs, max_tasks_per_child=1) as pool:
        futures = [
            pool.submit(run_seed, seed, arguments.logs)
            for seed in range(first, last + 1)
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
    failed_seeds = sorted(report.seed for report in reports if report.problems)
    print(
        f"soak: {len(reports) - len(failed_seeds)} of {len(reports)} kept, "
        f"broken {failed_seeds}"
    )
    return 1 if failed_seeds else 0


if __name__ == "__main__":
    sys.exit(main())
