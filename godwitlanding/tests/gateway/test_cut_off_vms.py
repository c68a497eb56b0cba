"""VMs that reach no upstream while callers, the store and peers reach them."""

import asyncio
import json
import re
import signal
from typing import NamedTuple

import aiohttp
import pytest

from godwitlanding.gateway.reachmonitor import PROBES
from godwitlanding.tests.gateway.vm_with_cut_upstreams import SUFFIX
from godwitlanding.tests.gateway.world import World, make_config
from godwitlanding.tests.soak import vm_with_bad_links

ZONES = ("a1", "a1", "a1", "a2", "a2", "b1", "b1")
REGION_A = (0, 1, 2, 3, 4)
WORKERS = tuple(
    (f"{service[:-1]}-{number}-{zone}", service, zone)
    for service in ("looks", "pays")
    for zone in ("a1", "a2", "b1")
    for number in range(2)
)
# The users' rule: from this time after the cut, first tries at the VMs that
# are cut off are served at least two thirds as often as those at the others.
IN_TOUCH_S = 4.0
MIN_RELATIVE_SHARE = 2 / 3
ROUNDS = 15
ROUND_S = 0.2


class Cut(NamedTuple):
    """Which VMs are cut off from all upstreams, and how."""

    mode: str
    vms: tuple[int, ...]


class CutWorld(World):
    """A ``World`` whose VMs can be cut off from all upstreams."""

    def __init__(self, folder):
        super().__init__(folder, ZONES, WORKERS)

    async def prepare_vm(self, vm, number):
        """Let the links of the VM be cut."""
        vm.module = "godwitlanding.tests.gateway.vm_with_cut_upstreams"

    def cut(self, cut):
        """Cut off VMs; an empty mode ends it."""
        for number in cut.vms:
            path = self.vms[number].path.with_suffix(SUFFIX)
            path.write_text(json.dumps(cut.mode))

    async def send_first_tries(self, rounds=ROUNDS, burst=1):
        """Send requests to all VMs; return the share served, by VM number.

        Each VM gets ``burst`` requests at a time.
        """
        tasks_by_vm = {number: [] for number in range(len(self.vms))}
        for round_number in range(rounds):
            for number, tasks in tasks_by_vm.items():
                vm = self.vms[number]
                for index in range(burst):
                    path = f"/look/{(round_number + index) % 5}"
                    tasks.append(asyncio.create_task(self._is_served(vm, path)))
            await asyncio.sleep(ROUND_S)
        return {
            number: sum(await asyncio.gather(*tasks)) / len(tasks)
            for number, tasks in tasks_by_vm.items()
        }

    async def send_payments(self, first, count=ROUNDS):
        """Send payments to all VMs in turn; return how many are served."""
        served = 0
        for number in range(first, first + count):
            response, _ = await self.pay(self.vms[number % len(self.vms)], number)
            served += response.status == 200
        return served

    async def count_connections(self):
        """Return how many connections all VMs have opened to upstreams."""
        opened = 0.0
        for vm in self.vms:
            async with self.session.get(vm.metrics) as response:
                text = await response.text()
            match = re.search(r"^upstream_connections_total\S* (\S+)$", text, re.M)
            opened += float(match.group(1))
        return opened

    async def _is_served(self, vm, path):
        try:
            response, _ = await self.ask(vm, path)
        except aiohttp.ClientError:
            return False
        return response.status == 200


@pytest.fixture
async def world(tmp_path):
    async with CutWorld(tmp_path) as world:
        await world.start()
        for vm in world.vms:
            await world.wait_until_ready(vm)
        await world.send_first_tries(5)
        yield world


def get_relative_share(share_by_vm, cut):
    """Return the share served at cut off VMs, relative to the other VMs."""
    others = [share for vm, share in share_by_vm.items() if vm not in cut.vms]
    isolated = [share for vm, share in share_by_vm.items() if vm in cut.vms]
    return (sum(isolated) / len(isolated)) / (sum(others) / len(others))


CUTS = [
    pytest.param(Cut(mode, vms), id=f"{mode}-{name}")
    for mode in ("hang", "reset", "refuse")
    for name, vms in (("one", (1,)), ("most-of-zone", (0, 1)), ("region", REGION_A))
]


@pytest.mark.parametrize("cut", CUTS)
async def test_callers_of_vms_cut_off_from_upstreams_are_served(world, cut):
    # Guards against refusals by a VM that reaches no upstream while others do.
    world.cut(cut)
    await asyncio.sleep(IN_TOUCH_S)
    share_by_vm = await world.send_first_tries()
    assert get_relative_share(share_by_vm, cut) >= MIN_RELATIVE_SHARE, share_by_vm


@pytest.mark.parametrize("cut", CUTS)
async def test_directories_do_not_name_vms_cut_off_from_upstreams(world, cut):
    # Guards against callers that are directed to VMs that reach no upstream.
    world.cut(cut)
    # More at a time than connections are open, so that new ones are needed.
    await world.send_first_tries(round(IN_TOUCH_S / ROUND_S), burst=4)
    isolated = {world.vms[number].address for number in cut.vms}
    for vm in world.vms:
        named = set(await world.resolve(vm))
        assert named
        assert not named & isolated


@pytest.mark.parametrize("mode", ["hang", "reset"])
async def test_cut_links_are_not_taken_for_crashed_upstreams(world, mode):
    # Guards against requests that all VMs refuse because their upstreams
    # seemed to crash to a VM that had lost its own links.
    cut = Cut(mode, (0, 1))
    for worker_id, _, _ in WORKERS:
        world.get_worker(worker_id).work_s = 0.3
    under_way = asyncio.create_task(world.send_first_tries(5))
    await asyncio.sleep(2 * ROUND_S)
    world.cut(cut)
    await under_way
    await asyncio.sleep(1.0)
    reports = [vm.name for vm in world.vms if "courier:crash" in vm.read_log()]
    assert not reports


ONE = Cut("reset", (1,))


@pytest.mark.parametrize(
    ("fault", "status", "runs"),
    [
        pytest.param("", 200, 1, id="served"),
        pytest.param("shed", 503, 0, id="shed by all"),
        pytest.param("reset", 502, 1, id="response lost"),
        pytest.param("fail", 500, 1, id="failed by the upstream"),
    ],
)
async def test_relayed_payment_runs_at_most_once(world, fault, status, runs):
    # Guards against a payment that a second VM runs again.
    await cut_and_settle(world, ONE)
    for worker_id, _, _ in WORKERS:
        world.get_worker(worker_id).fault = fault
    response, _ = await world.pay(world.vms[1], 1)
    assert response.status == status
    assert world.count_runs("pay-1") == runs


async def cut_and_settle(world, cut):
    """Cut off VMs and wait until they have noticed it."""
    world.cut(cut)
    async with asyncio.timeout(IN_TOUCH_S):
        while not all(is_relaying(world.vms[number]) for number in cut.vms):
            await world.send_first_tries(1, burst=4)


def is_relaying(vm):
    """Return whether a VM has relayed a request with success."""
    lines = [json.loads(line) for line in vm.read_log().splitlines()]
    return any(
        line["message_type"] == "carrier:relayed" and line["outcome"] == "answered"
        for line in lines
    )


@pytest.mark.parametrize("size", [4_000, 3_000_000])
async def test_relayed_response_of_any_length_is_whole(world, size):
    # Guards against responses that end at the relay's buffer.
    await cut_and_settle(world, ONE)
    for worker_id, _, _ in WORKERS:
        world.get_worker(worker_id).response_bytes = size
    response, body = await world.ask(world.vms[1], "/look/1")
    assert response.status == 200
    assert len(body) == size
    assert not [name for name in response.headers if name.startswith("godwit-relay")]


async def test_relayed_request_keeps_the_deadline_and_ends_with_its_caller(world):
    # Guards against upstreams that work longer than the caller waits.
    await cut_and_settle(world, ONE)
    workers = [world.get_worker(worker_id) for worker_id, _, _ in WORKERS]
    for worker in workers:
        worker.work_s = 1.5
        worker.deadlines_ms.clear()
        worker.dropped = 0
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.5):
            await world.ask(world.vms[1], "/look/1")
    await asyncio.sleep(0.3)
    assert sum(worker.dropped for worker in workers) == 1
    deadlines_ms = [left for worker in workers for left in worker.deadlines_ms]
    assert 1500 < max(deadlines_ms) <= 2000


async def test_request_bound_to_its_region_is_not_relayed_to_another(world):
    # Guards against bodies that leave the regions where they are allowed.
    row = ["home", "h", "/home/", "safe", "2s", "400ms", 2, None, 2, True, ["a"]]
    config = make_config("r8", extra=[[*row, "looks"]])
    await world.store.put("config", "main", config)
    await asyncio.sleep(1.0)
    response, _ = await world.ask(world.vms[1], "/home/1")
    assert response.status == 200
    await cut_and_settle(world, Cut("reset", REGION_A))
    response, _ = await world.ask(world.vms[1], "/home/1")
    assert response.status == 503
    assert "Retry-After" in response.headers
    await cut_and_settle(world, Cut("", REGION_A[2:]))
    await asyncio.sleep(IN_TOUCH_S)
    response, _ = await world.ask(world.vms[1], "/home/1")
    assert response.status == 200


async def test_outage_of_all_upstreams_takes_no_vm_out(world):
    # Guards against callers without an address when upstreams are down.
    for worker_id, _, _ in WORKERS:
        world.get_worker(worker_id).stop()
    await world.send_first_tries(10, burst=2)
    await asyncio.sleep(IN_TOUCH_S)
    for vm in world.vms:
        assert len(await world.resolve(vm)) == len(REGION_A)
    response, _ = await world.ask(world.vms[0])
    assert response.status == 503
    assert "Retry-After" in response.headers


async def test_vm_that_starts_cut_off_serves_and_is_not_named(world):
    # Guards against a new VM that nobody knows to be cut off.
    vm = world.vms[1]
    await vm.end()
    world.cut(ONE)
    await vm.start()
    await world.wait_until_ready(vm)
    await asyncio.sleep(IN_TOUCH_S / 2)
    assert vm.address not in await world.resolve(world.vms[0])
    share_by_vm = await world.send_first_tries(10)
    assert get_relative_share(share_by_vm, ONE) >= MIN_RELATIVE_SHARE, share_by_vm


async def test_vms_serve_and_are_named_when_the_cut_has_ended(world):
    # Guards against what a VM noted while it was cut off, such as ejections,
    # and against connections to all upstreams at once when that is over.
    cut = Cut("hang", REGION_A)
    await cut_and_settle(world, cut)
    opened_before = await world.count_connections()
    world.cut(cut._replace(mode=""))
    share_by_vm = await world.send_first_tries()
    assert min(share_by_vm.values()) >= MIN_RELATIVE_SHARE, share_by_vm
    opened = await world.count_connections() - opened_before
    assert opened <= len(world.vms) * (ROUNDS + PROBES)
    named = set(await world.resolve(world.vms[0]))
    assert named == {world.vms[number].address for number in REGION_A}


async def test_vm_cut_off_again_and_again_serves(world):
    # Guards against links that come and go.
    async def flap():
        for mode in ("reset", "", "hang", "", "refuse", "", "reset"):
            world.cut(ONE._replace(mode=mode))
            await asyncio.sleep(1.0)

    flapping = asyncio.create_task(flap())
    share_by_vm = await world.send_first_tries(35)
    await flapping
    assert get_relative_share(share_by_vm, ONE) >= MIN_RELATIVE_SHARE, share_by_vm


async def test_vm_that_is_cut_off_is_known_where_gossip_is_lost(world):
    # Guards against directories that miss the message of a lost link.
    links = json.dumps({"loss_share": 0.3, "cut_hosts": []})
    for vm in world.vms:
        vm.path.with_suffix(vm_with_bad_links.SUFFIX).write_text(links)
    await cut_and_settle(world, ONE)
    await asyncio.sleep(IN_TOUCH_S / 2)
    named = [await world.resolve(vm) for vm in world.vms]
    assert not any(world.vms[1].address in addresses for addresses in named)
    share_by_vm = await world.send_first_tries()
    assert get_relative_share(share_by_vm, ONE) >= MIN_RELATIVE_SHARE, share_by_vm


@pytest.mark.parametrize(
    ("number", "min_share"), [(signal.SIGTERM, 1.0), (signal.SIGKILL, 0.9)]
)
async def test_relayed_requests_outlast_vms_that_stop(world, number, min_share):
    # Guards against requests that are lost with the VM that they are relayed
    # through.
    cut = Cut("hang", (0, 1, 2))
    await cut_and_settle(world, cut)
    for worker_id, _, _ in WORKERS:
        world.get_worker(worker_id).work_s = 0.05
    asking = asyncio.create_task(world.send_first_tries(20))
    await asyncio.sleep(1.0)
    stopping = world.vms[3]
    stopping.signal(number)
    share_by_vm = await asking
    assert min(share_by_vm[vm] for vm in cut.vms) >= min_share, share_by_vm
