"""Randomised fault injection on a whole system, reproducible by a seed.

Each seed starts a small system under load and injects two concurrent faults
in each of some rounds. It then waits until all services complete requests and
every process has the same configuration, and checks what callers and
upstreams counted. A seed that shows a failure becomes a test.

    python -m godwitlanding.tests.tools.chaos --seeds 1 20
"""

import argparse
import asyncio
import random
import signal
import sys
from pathlib import Path

from godwitlanding.tests.load.load import Load, Rate
from godwitlanding.tests.tools.cluster import Cluster, wait_until
from godwitlanding.tests.tools.network import claim_test_network

TEXT = (Path(__file__).parents[1] / "data/small.json5").read_text()
RATES = (Rate("status", 40.0), Rate("renewal", 15.0), Rate("passes", 4.0))
ROLES = ("zone", "entry", "steer")
ROUNDS = 3
RECOVERY_S = 4.0
SERVE_S = 1.0
CONVERGENCE_TIMEOUT_S = 90.0


async def kill_vm(cluster, rng):
    """Kill a VM's daemons, then start a VM with its name and address."""
    vm = rng.choice(sorted(cluster.vm_by_name))
    await cluster.kill_vm(vm)
    await asyncio.sleep(rng.uniform(0.5, 6.0))
    await cluster.start_vm(vm)


async def kill_role(cluster, rng):
    """Kill one daemon, then restart it as the VM's supervisor does."""
    vm = rng.choice(sorted(cluster.vm_by_name))
    role = rng.choice(ROLES)
    await cluster.kill(vm, role)
    await asyncio.sleep(rng.uniform(0.0, 2.0))
    await cluster.start_role(vm, role)


async def pause_daemons(cluster, rng):
    """Pause some daemons of a VM, beyond their loans, permits and leases."""
    vm = rng.choice(sorted(cluster.vm_by_name))
    roles = rng.sample(ROLES, rng.randint(1, len(ROLES)))
    for role in roles:
        cluster.send_signal(vm, role, signal.SIGSTOP)
    await asyncio.sleep(rng.uniform(0.5, 8.0))
    for role in roles:
        cluster.send_signal(vm, role, signal.SIGCONT)


async def stop_vm(cluster, rng):
    """Stop a VM gracefully and start another in its place."""
    vm = rng.choice(sorted(cluster.vm_by_name))
    await cluster.stop_vm(vm)
    await cluster.start_vm(vm)


async def interrupt_platform(cluster, rng):
    """Let the platform refuse calls, or accept them and never respond."""
    outage = rng.choice(("refuse", "hang"))
    await cluster.standins.set_faults(outage=outage)
    await asyncio.sleep(rng.uniform(1.0, 8.0))
    await cluster.standins.set_faults(outage="none")


async def delay_platform(cluster, rng):
    """Delay each call of the platform."""
    await cluster.standins.set_faults(delay_s=rng.uniform(0.2, 2.5))
    await asyncio.sleep(rng.uniform(1.0, 6.0))
    await cluster.standins.set_faults(delay_s=0.0)


async def lose_responses(cluster, rng):
    """Let the platform execute writes and lose the responses."""
    await cluster.standins.set_faults(lost_answers=rng.randint(1, 40))


async def crash_upstream(cluster, rng):
    """Crash an upstream, which is unavailable for some time."""
    upstream = rng.choice(_list_upstreams(cluster))
    await cluster.standins.crash_upstream(upstream, rng.uniform(0.5, 5.0))


async def drain_upstream(cluster, rng):
    """Let an upstream report itself as draining for some time."""
    upstream = rng.choice(_list_upstreams(cluster))
    await cluster.standins.change_upstream(upstream, draining=True)
    await asyncio.sleep(rng.uniform(1.0, 5.0))
    await cluster.standins.change_upstream(upstream, draining=False)


async def misreport_health(cluster, rng):
    """Let every health endpoint report that its upstream fails."""
    await cluster.standins.change_upstream("all", health="always_bad")
    await asyncio.sleep(rng.uniform(1.0, 5.0))
    await cluster.standins.change_upstream("all", health="true")


async def race_operators(cluster, rng):
    """Let two operators drain different upstreams at once, and end both."""
    first, second = rng.sample(_list_upstreams(cluster), 2)
    for end in ((), ("--end",)):
        edits = [
            cluster.run_ctl("drain", "upstream", upstream, "--yes", *end, may_fail=True)
            for upstream in (first, second)
        ]
        await asyncio.gather(*edits)
        await asyncio.sleep(rng.uniform(0.5, 2.0))


FAULTS = (
    kill_vm,
    kill_role,
    pause_daemons,
    stop_vm,
    interrupt_platform,
    delay_platform,
    lose_responses,
    crash_upstream,
    drain_upstream,
    misreport_health,
    race_operators,
)
_VM_FAULTS = {kill_vm, kill_role, pause_daemons, stop_vm}
_PLATFORM_FAULTS = {interrupt_platform, delay_platform}


def choose_fault_pair(rng):
    """Return two faults that can be injected at the same time."""
    while True:
        pair = rng.sample(FAULTS, 2)
        # Two faults of a group would affect the same process or setting.
        if set(pair) <= _VM_FAULTS or set(pair) <= _PLATFORM_FAULTS:
            continue
        return pair


async def run_seed(seed, network, rounds=ROUNDS, log_directory=None):
    """Run the faults of a seed; return ``(verdict, fault names)``."""
    rng = random.Random(seed)
    cluster = Cluster(TEXT, network, log_directory=log_directory)
    names = []
    try:
        await cluster.start()
        load = Load(cluster)
        await load.start(*RATES)
        await load.serve(SERVE_S)
        for _ in range(rounds):
            pair = choose_fault_pair(rng)
            names.append("+".join(fault.__name__ for fault in pair))
            # Each fault has its own generator, so that the timing of the
            # faults does not change the numbers that the seed yields.
            rngs = [random.Random(rng.random()) for _ in pair]
            await asyncio.gather(
                *(
                    fault(cluster, fault_rng)
                    for fault, fault_rng in zip(pair, rngs, strict=True)
                )
            )
            await asyncio.sleep(RECOVERY_S)
        await load.serve(SERVE_S)
        await _wait_for_one_version(cluster)
        verdict = await load.evaluate_run(may_cut=True)
    finally:
        await cluster.stop()
    return verdict, names


async def _wait_for_one_version(cluster):
    """Wait until every process holds the same version of the configuration."""

    async def has_one_version():
        versions = set()
        for vm in cluster.vm_by_name:
            for role in ROLES:
                status = await cluster.get_status(vm, role)
                held_versions = (status or {}).get("versions", {})
                versions.add(held_versions.get("config/main", 0))
        return len(versions) == 1 and versions != {0}

    await wait_until(
        has_one_version,
        CONVERGENCE_TIMEOUT_S,
        "the same configuration version in every process",
    )


def _list_upstreams(cluster):
    services = cluster.config.service_by_name.values()
    return sorted(id for service in services for id in service.upstream_by_id)


async def run_seeds(seeds, jobs, rounds, log_directory=None):
    """Run seeds, ``jobs`` at a time; return those that showed a failure."""
    pending_seeds = list(reversed(seeds))
    failed = []

    async def run_pending_seeds():
        network = claim_test_network()
        while pending_seeds:
            seed = pending_seeds.pop()
            if not await _run_and_print(seed, network, rounds, log_directory):
                failed.append(seed)

    await asyncio.gather(*(run_pending_seeds() for _ in range(jobs)))
    return sorted(failed)


async def _run_and_print(seed, network, rounds, log_directory):
    logs = Path(log_directory) / str(seed) if log_directory else None
    if logs:
        logs.mkdir(parents=True, exist_ok=True)
    try:
        verdict, names = await run_seed(seed, network, rounds, logs)
        faults = verdict.faults
        line = verdict.format(f"seed {seed}")
    except (TimeoutError, RuntimeError) as error:
        faults, names = (str(error) or repr(error),), []
        line = f"seed {seed}: failed"
    print(line, ", ".join(names), flush=True)
    for fault in faults:
        print(f"    FAULT {fault}", flush=True)
    return not faults


def parse_arguments(argv=None):
    """Parse and return the arguments."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument(
        "--seeds", type=int, nargs=2, default=(1, 10), metavar=("FIRST", "LAST")
    )
    parser.add_argument("--jobs", type=int, default=2, help="Seeds to run concurrently")
    parser.add_argument(
        "--rounds", type=int, default=ROUNDS, help="Pairs of faults per seed"
    )
    parser.add_argument("--logs", metavar="DIR", help="Directory for settings and logs")
    return parser.parse_args(argv)


def main(argv=None):
    """Run the seeds; the exit code is 1 if one showed a failure."""
    arguments = parse_arguments(argv)
    first, last = arguments.seeds
    seeds = range(first, last + 1)
    failed = asyncio.run(
        run_seeds(seeds, arguments.jobs, arguments.rounds, arguments.logs)
    )
    print(f"chaos: {len(seeds) - len(failed)} of {len(seeds)} passed, failed: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
