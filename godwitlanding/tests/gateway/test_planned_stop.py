"""Requests that reach a VM while it stops, with real processes."""

import asyncio
import signal

import aiohttp
import pytest

from godwitlanding.decisions.stopschedule import CLOSE_AT_SHARE, REFUSE_AT_SHARE
from godwitlanding.tests.gateway.test_cut_off_vms import Cut, CutWorld
from godwitlanding.tests.gateway.world import GRACE_S, WORKERS, World, make_config

# More than the time between the last requests that the listening socket
# accepts and the end of the process.
LONG_WORK_S = 1.9
INTERVAL_S = 0.07
FEW_ZONES = ("a1", "a2")
# Enough that no payment waits for a slot.
PAY_WORKERS = tuple((f"more-{number}", "pays", "a1") for number in range(12))


@pytest.fixture
async def world(tmp_path):
    async with World(tmp_path, FEW_ZONES, (*WORKERS, *PAY_WORKERS)) as world:
        await world.start()
        yield world


def set_pay_work(world, work_s):
    for worker_id, service, _ in world.workers:
        if service == "pays":
            world.get_worker(worker_id).work_s = work_s


async def pay_on_new_connection(world, vm, number):
    """Send a payment; return its status, ``None`` if there is no response."""
    headers = {
        "Host": "h",
        "Godwitlanding-Request-Id": f"pay-{number}",
        "Godwitlanding-Deadline-Ms": "5000",
        "Connection": "close",
    }
    url = f"{vm.front}/pay/{number}"
    connector = aiohttp.TCPConnector(force_close=True)
    async with aiohttp.ClientSession(connector=connector) as session:
        try:
            async with session.post(url, data=b"amount=1", headers=headers) as response:
                return response.status
        except aiohttp.ClientError:
            return None


async def test_stopping_vm_answers_every_payment_that_runs(world):
    # Guards against payments that run and are cut off by the end of the
    # process, because they were accepted too late.
    set_pay_work(world, LONG_WORK_S)
    stopped = world.vms[0]
    loop = asyncio.get_running_loop()
    stopped.signal(signal.SIGTERM)
    end_at = loop.time() + REFUSE_AT_SHARE * GRACE_S + 0.2
    payments = []
    while loop.time() < end_at:
        payment = pay_on_new_connection(world, stopped, len(payments))
        payments.append(asyncio.create_task(payment))
        await asyncio.sleep(INTERVAL_S)
    statuses = await asyncio.gather(*payments)
    assert await stopped.process.wait() == 0
    runs = [world.count_runs(f"pay-{number}") for number in range(len(payments))]
    assert 0 < statuses.count(200) <= sum(runs)
    unanswered = [
        number
        for number, status in enumerate(statuses)
        if runs[number] and status != 200
    ]
    assert unanswered == []


async def test_connection_that_was_just_opened_gets_its_response(world):
    # Guards against a connection that is closed while its first request is in
    # transit from another region.
    stopped = world.vms[0]
    host, _, port = stopped.address.rpartition(":")
    stopped.signal(signal.SIGTERM)
    await asyncio.sleep(CLOSE_AT_SHARE * GRACE_S - 0.1)
    reader, writer = await asyncio.open_connection(host, int(port))
    await asyncio.sleep(0.3)
    writer.write(
        b"GET /look/1 HTTP/1.1\r\nhost: h\r\ngodwitlanding-request-id: r\r\n"
        b"godwitlanding-deadline-ms: 1500\r\n\r\n"
    )
    assert (await reader.readline()).startswith(b"HTTP/1.1 200 ")
    writer.close()


class FewVms(CutWorld):
    """Two VMs, the second of which can be cut off, and a long timeout."""

    def __init__(self, folder):
        super().__init__(folder)
        self._zones = FEW_ZONES


async def test_stopping_vm_answers_the_payments_that_another_vm_relays(tmp_path):
    # Guards against a VM that ends before the upstreams that work for other
    # VMs have responded.
    async with FewVms(tmp_path) as world:
        route = [*("late", "h", "/late/", "unsafe", "5s", "400ms", 1)]
        route += [None, 1, True, [], "pays"]
        await world.store.put("config", "main", make_config("r8", [route]))
        await world.start()
        carrier, relaying = world.vms
        await world.send_first_tries(5)
        world.cut(Cut("hang", (1,)))
        set_pay_work(world, 3.3)
        # The first request finds out that the VM is cut off.
        await world.ask(relaying, "/look/1")
        headers = {"Godwitlanding-Deadline-Ms": "6000", "request_id": "late"}
        payment = asyncio.create_task(
            world.ask(relaying, "/late/1", "POST", b"amount=1", **headers)
        )
        async with asyncio.timeout(3.0):
            while not world.count_runs("late"):
                await asyncio.sleep(0.02)
        carrier.signal(signal.SIGTERM)
        response, _ = await payment
        assert response.status == 200
        assert "relay:attempt" in carrier.read_log()
