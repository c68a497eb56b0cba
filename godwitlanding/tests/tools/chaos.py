"""Two faults at once on a whole system, drawn by a seed, again and again.

Each seed starts a small system with load on it, breaks two things at a time
for some rounds, mends them, waits until every kind of work is served and
every process has the same configuration, and judges by what callers and
upstreams counted. A seed that shows a fault becomes a test.

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
    """Kill a VM's daemons; another takes its name and address."""
    vm = rng.choice(sorted(cluster.vm_by_name))
    await cluster.kill_vm(vm)
    await asyncio.sleep(rng.uniform(0.5, 6.0))
    await cluster.start_vm(vm)


async def kill_role(cluster, rng):
    """Kill one daemon; the VM's supervisor starts it again."""
    vm = rng.choice(sorted(cluster.vm_by_name))
    role = rng.choice(ROLES)
    await cluster.kill(vm, role)
    await asyncio.sleep(rng.uniform(0.0, 2.0))
    await cluster.start_role(vm, role)


async def pause(cluster, rng):
    """Pause some daemons of a VM past loans, permits and leases."""
    vm = rng.choice(sorted(cluster.vm_by_name))
    roles = rng.sample(ROLES, rng.randint(1, len(ROLES)))
    for role in roles:
        cluster.send_signal(vm, role, signal.SIGSTOP)
    await asyncio.sleep(rng.uniform(0.5, 8.0))
    for role in roles:
        cluster.send_signal(vm, role, signal.SIGCONT)


async def stop_vm(cluster, rng):
    """Stop a VM as planned and start another in its place."""
    vm = rng.choice(sorted(cluster.vm_by_name))
    await cluster.stop_vm(vm)
    await cluster.start_vm(vm)


async def interrupt_platform(cluster, rng):
    """The platform refuses, or takes calls and never answers."""
    how = rng.choice(("refuse", "hang"))
    await cluster.standins.set_faults(outage=how)
    await asyncio.sleep(rng.uniform(1.0, 8.0))
    await cluster.standins.set_faults(outage="none")


async def slow_platform(cluster, rng):
    """Each call of the platform takes long."""
    await cluster.standins.set_faults(delay_s=rng.uniform(0.2, 2.5))
    await asyncio.sleep(rng.uniform(1.0, 6.0))
    await cluster.standins.set_faults(delay_s=0.0)


async def lose_responses(cluster, rng):
    """The platform does writes and loses their answers."""
    await cluster.standins.set_faults(lost_answers=rng.randint(1, 40))


async def crash_upstream(cluster, rng):
    """An upstream crashes and is away."""
    upstream = rng.choice(_list_upstreams(cluster))
    await cluster.standins.crash_upstream(upstream, rng.uniform(0.5, 5.0))


async def drain_upstream(cluster, rng):
    """An upstream drains by its own word and comes back."""
    upstream = rng.choice(_list_upstreams(cluster))
    await cluster.standins.change_upstream(upstream, draining=True)
    await asyncio.sleep(rng.uniform(1.0, 5.0))
    await cluster.standins.change_upstream(upstream, draining=False)


async def misreport_health(cluster, rng):
    """Every health endpoint says that its upstream fails."""
    await cluster.standins.change_upstream("all", health="always_bad")
    await asyncio.sleep(rng.uniform(1.0, 5.0))
    await cluster.standins.change_upstream("all", health="true")


async def race_operators(cluster, rng):
    """Two operators drain different upstreams at once, and end it."""
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
    pause,
    stop_vm,
    interrupt_platform,
    slow_platform,
    lose_responses,
    crash_upstream,
    drain_upstream,
    misreport_health,
    race_operators,
)
_VM_FAULTS = {kill_vm, kill_role, pause, stop_vm}
_PLATFORM_FAULTS = {interrupt_platform, slow_platform}


def choose_fault_pair(rng):
    """Return two faults that can be mended beside each other."""
    while True:
        pair = rng.sample(FAULTS, 2)
        # Both of a group would work on the same process or switch.
        if set(pair) <= _VM_FAULTS or set(pair) <= _PLATFORM_FAULTS:
            continue
        return pair


async def run_seed(seed, network, rounds=ROUNDS, log_directory=None):
    """Run one schedule; return ``(verdict, names of the faults)``."""
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
            # Each has numbers of its own, so that the times at which they
            # run do not change what the seed draws.
            rngs = [random.Random(rng.random()) for _ in pair]
            await asyncio.gather(
                *(fault(cluster, own) for fault, own in zip(pair, rngs, strict=True))
            )
            await asyncio.sleep(RECOVERY_S)
        await load.serve(SERVE_S)
        await _wait_for_one_version(cluster)
        verdict = await load.judge(may_cut=True)
    finally:
        await cluster.stop()
    return verdict, names


async def _wait_for_one_version(cluster):
    """Wait until every process has the configuration that is accepted."""

    async def has_one_version():
        versions = set()
        for vm in cluster.vm_by_name:
            for role in ROLES:
                status = await cluster.get_status(vm, role)
                held = (status or {}).get("versions", {})
                versions.add(held.get("config/main", 0))
        return len(versions) == 1 and versions != {0}

    await wait_until(
        has_one_version,
        CONVERGENCE_TIMEOUT_S,
        "one version of the configuration everywhere",
    )


def _list_upstreams(cluster):
    services = cluster.config.service_by_name.values()
    return sorted(id for service in services for id in service.upstream_by_id)


async def run_seeds(seeds, jobs, rounds, log_directory=None):
    """Run many seeds, some at a time; return how many showed a fault."""
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
    """Return the arguments."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument(
        "--seeds", type=int, nargs=2, default=(1, 10), metavar=("FIRST", "LAST")
    )
    parser.add_argument("--jobs", type=int, default=2, help="Systems at a time")
    parser.add_argument("--rounds", type=int, default=ROUNDS, help="Pairs a seed")
    parser.add_argument("--logs", metavar="DIR", help="Keep settings and logs there")
    return parser.parse_args(argv)


def main(argv=None):
    """Run; the exit code is 1 where a seed showed a fault."""
    arguments = parse_arguments(argv)
    first, last = arguments.seeds
    seeds = range(first, last + 1)
    failed = asyncio.run(
        run_seeds(seeds, arguments.jobs, arguments.rounds, arguments.logs)
    )
    print(f"chaos: {len(seeds) - len(failed)} of {len(seeds)} held, failed: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
