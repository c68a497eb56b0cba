"""End-to-end tests of VM processes with callers, upstreams and a store."""

import asyncio
import json
import re
import signal

import aiohttp
import pytest

from godwitlanding.operator.logtimeline import read_timeline
from godwitlanding.tests.gateway.world import GRACE_S, World, make_config


async def wait_until(check, seconds=5.0):
    """Wait until ``check()`` is true; fails after ``seconds``."""
    async with asyncio.timeout(seconds):
        while not await check():
            await asyncio.sleep(0.05)


@pytest.fixture
async def world(tmp_path):
    async with World(tmp_path) as world:
        await world.start()
        yield world


async def test_response_of_the_upstream_is_forwarded(world):
    response, body = await world.ask(world.vms[0])
    assert response.status == 200
    assert body.startswith(b"done by look-")
    assert response.headers["Godwitlanding-Response-Signature"] == "proof"
    assert response.headers["Godwitlanding-Request-Id"] == "r1"
    # Another region has no upstreams of its own.
    response, body = await world.ask(world.vms[2])
    assert response.status == 200


@pytest.mark.parametrize(
    ("fault", "status", "runs"),
    [
        pytest.param("", 200, 1, id="served"),
        pytest.param("shed", 503, 0, id="shed by all"),
        pytest.param("fail", 500, 1, id="failed by the upstream"),
        pytest.param("reset", 502, 1, id="response lost"),
        pytest.param("cut", 502, 1, id="response truncated"),
    ],
)
async def test_payment_runs_at_most_once(world, fault, status, runs):
    # An upstream fails while it runs a payment. If the request were sent
    # again, the member would pay twice; told that it has not run, the member
    # would pay again.
    for worker_id in ("pay-1", "pay-2"):
        world.get_worker(worker_id).fault = fault
    response, _ = await world.pay(world.vms[0], 1)
    assert response.status == status
    assert world.count_runs("pay-1") == runs
    assert ("Retry-After" in response.headers) is (status == 503)


@pytest.mark.parametrize("workers", [("pay-1", "pay-2"), ("pay-1",)])
async def test_payment_runs_once_if_a_copy_of_its_rejection_arrives_late(
    world, workers
):
    # Guards against a late copy that passes for the response to the second
    # send of the same request.
    for worker_id in {"pay-1", "pay-2"}.difference(workers):
        await world.register(world.get_worker(worker_id), "draining")
        await asyncio.sleep(0.5)
    for worker_id in workers:
        world.get_worker(worker_id).copies_rejections = True
    served = 0
    for number in range(30):
        for worker_id in workers:
            # An upstream that rejects more is not tried again.
            world.get_worker(worker_id).rejects_first = number % 5 == 4
        response, _ = await world.pay(world.vms[0], number)
        runs = world.count_runs(f"pay-{number}")
        assert (response.status, runs) in ((200, 1), (503, 0))
        served += runs
    assert served > 24


@pytest.mark.parametrize("fault", ["reset", "cut", "fail", "shed", "crash"])
async def test_lookup_is_retried_on_another_upstream(world, fault):
    # One of two upstreams fails every request. A look-up may run twice, so its
    # caller must not notice that.
    world.get_worker("look-1").fault = fault
    for number in range(6):
        response, body = await world.ask(world.vms[0], f"/look/{number}")
        assert (response.status, body) == (200, b"done by look-2")


async def test_caller_that_disconnects_frees_the_slot(world):
    # A caller disconnects while its look-up runs. Unless the request is
    # cancelled, it keeps a slot although no one waits for the response.
    for worker_id in ("look-1", "look-2"):
        world.get_worker(worker_id).work_s = 1.0
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.3):
            await world.ask(world.vms[0])
    await asyncio.sleep(0.3)
    workers = [world.get_worker(worker_id) for worker_id in ("look-1", "look-2")]
    assert sum(worker.dropped for worker in workers) == 1


async def test_route_timeout_is_answered_in_time(world):
    for worker_id in ("look-1", "look-2"):
        world.get_worker(worker_id).work_s = 5.0
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    response, _ = await world.ask(world.vms[0], **{"Godwitlanding-Deadline-Ms": "9000"})
    assert response.status == 504
    assert 1.9 < loop.time() - started_at < 2.5
    # The log names the upstream, so that the cause can be found.
    await asyncio.sleep(0.2)
    assert '"outcome":"given up"' in world.vms[0].read_log()


async def test_configuration_of_a_newer_version_is_in_force(world):
    # Guards against VMs that serve nothing, or keep an old configuration,
    # because of one row that they cannot read.
    split = [{"service": "pays", "weight": 1}]
    rows = [
        ["added", "h", "/added/", "safe", "2s", "400ms", 1, split, 2, True, []],
        ["odd", "h", "/pay/odd/", "safe", "2 minutes", "400ms", 1, split, 2, True, []],
        ["up", "h", "/up/", "upload", "2s", "400ms", 1, split, 2, True, []],
    ]
    await world.store.put("config", "main", make_config("r8", rows))
    for vm in world.vms:

        async def serves_added_route(vm=vm):
            response, _ = await world.ask(vm, "/added/1")
            return response.status == 200

        await wait_until(serves_added_route)
    response, _ = await world.ask(world.vms[0], "/pay/odd/1")
    assert response.status == 503
    assert "Retry-After" in response.headers
    assert '"message_type":"vm:unreadable_row"' in world.vms[0].read_log()
    # An upload whose response is lost may have run.
    before = sum(len(world.get_worker(name).ran) for name in ("pay-1", "pay-2"))
    for worker_id in ("pay-1", "pay-2"):
        world.get_worker(worker_id).fault = "reset"
    response, _ = await world.ask(world.vms[0], "/up/1")
    assert response.status == 502
    after = sum(len(world.get_worker(name).ran) for name in ("pay-1", "pay-2"))
    assert after - before == 1


async def test_leaving_upstream_gets_no_requests(world):
    leaving = world.get_worker("look-1")
    await world.store.put("servers", "look-1", leaving.make_entry("draining"))
    await asyncio.sleep(0.5)
    before = len(leaving.ran)
    for number in range(10):
        response, _ = await world.ask(world.vms[number % 3], f"/look/{number}")
        assert response.status == 200
    assert len(leaving.ran) == before


async def test_evacuated_zone_gets_no_requests_until_evacuation_ends(world):
    await world.store.put("evacuations", "a1", {})
    await asyncio.sleep(0.5)
    evacuated = world.get_worker("look-1")
    for number in range(10):
        response, _ = await world.ask(world.vms[0], f"/look/{number}")
        assert response.status == 200
    assert evacuated.ran == []
    await world.store.remove("evacuations", "a1")
    # Its upstreams are treated as cold for 3 s.
    await asyncio.sleep(3.2)
    for number in range(10):
        await world.ask(world.vms[0], f"/look/{number}")
    assert evacuated.ran


async def test_new_route_is_served_and_unknown_route_is_refused(world):
    response, _ = await world.ask(world.vms[0], "/new/1")
    assert response.status == 404
    row = ["new", "h", "/new/", "safe", "2s", "400ms", 2, None, 2, True, [], "looks"]
    await world.store.put("config", "main", make_config("r9", [row]))
    await asyncio.sleep(0.5)
    for vm in world.vms:
        response, _ = await world.ask(vm, "/new/1")
        assert response.status == 200


async def test_log_line_of_an_unknown_route_names_the_configuration(world):
    await world.ask(world.vms[0], "/new/1", request_id="unknown-1")
    lines = [json.loads(line) for line in world.vms[0].read_log().splitlines()]
    lines = [line for line in lines if line.get("request") == "unknown-1"]
    logged = {line["message_type"]: line for line in lines}["admission:unknown_route"]
    assert (logged["config"], logged["fresh"]) == (7, True)
    assert logged["config_age_s"] >= 0


async def test_older_or_unreadable_configuration_is_ignored(world):
    # Operators' tools write concurrently, or write something unreadable. The
    # last valid configuration stays in force.
    for spec in (make_config("r3"), {"version": "r9", "routes": 7}, {}):
        await world.store.put("config", "main", spec)
    await asyncio.sleep(0.5)
    response, _ = await world.ask(world.vms[0])
    assert response.status == 200
    assert "vm:unreadable_object" in world.vms[0].read_log()


async def test_killed_vm_is_removed_from_the_directory(world):
    # A VM loses power. Callers that are directed to it would get no response.
    killed = world.vms[1]
    killed.process.kill()

    async def is_dropped():
        return killed.address not in await world.resolve(world.vms[0])

    await wait_until(is_dropped, 3.0)
    assert await world.resolve(world.vms[0]) == [world.vms[0].address]


async def ask_all(world, vms, prefix, count=12):
    """Send look-ups to each of the VMs."""
    for number in range(count):
        for vm in vms:
            await world.ask(vm, f"/look/{prefix}-{number}")


async def test_delayed_heartbeat_does_not_take_a_leaving_upstream_into_use(world):
    # Guards against a VM that believes the older of two entries because the
    # store has executed it last.
    leaving = world.get_worker("look-1")
    await world.register(leaving, "ready", 7)
    await world.register(leaving, "draining", 10)
    await asyncio.sleep(0.7)
    await world.register(leaving, "ready", 8)
    await asyncio.sleep(0.7)
    leaving.ran.clear()
    await ask_all(world, world.vms, "late")
    assert not leaving.ran
    # A VM that starts reads the delayed entry only; the others tell it.
    started = world.vms[1]
    await world.stop(started)
    await started.start()
    await world.wait_until_ready(started)
    await asyncio.sleep(1.0)
    leaving.ran.clear()
    await ask_all(world, [started], "start")
    assert not leaving.ran
    # The entry is removed, and another start counts from 1 again.
    await world.store.remove("servers", leaving.id)
    await world.register(leaving, "ready", 1)
    await asyncio.sleep(0.7)
    await ask_all(world, world.vms, "again", 30)
    assert leaving.ran


async def test_planned_stop_fails_no_request(world):
    # A VM is stopped while callers use it. They continue until their directory
    # responses expire, and none of their requests may fail.
    stopped = world.vms[0]
    loop = asyncio.get_running_loop()
    failures = []

    async def call(number):
        end = loop.time() + 1.0
        async with aiohttp.ClientSession() as session:
            while loop.time() < end:
                headers = {
                    "Host": "h",
                    "Godwitlanding-Request-Id": f"s{number}-{loop.time()}",
                    "Godwitlanding-Deadline-Ms": "2000",
                }
                url = f"{stopped.front}/look/{number}"
                try:
                    async with session.get(url, headers=headers) as response:
                        if response.status != 200 or not await response.read():
                            failures.append(response.status)
                except aiohttp.ClientError as error:
                    failures.append(repr(error))

    callers = [asyncio.create_task(call(number)) for number in range(5)]
    await asyncio.sleep(0.2)
    stopped.signal(signal.SIGTERM)
    await asyncio.sleep(0.2)
    assert await world.get_status(stopped.ready) == 503
    assert stopped.address not in await world.resolve(world.vms[1])
    await asyncio.gather(*callers)
    assert failures == []
    started_at = loop.time()
    assert await stopped.process.wait() == 0
    assert loop.time() - started_at < GRACE_S


async def test_vm_with_a_failing_loop_is_replaced_without_a_lost_payment(world):
    # Guards against a VM that goes on for good although the loop that drops
    # silent peers fails.
    failing = world.vms[0]
    await failing.end()
    failing.module = "godwitlanding.tests.gateway.vm_with_failing_loop"
    await failing.start()
    await world.wait_until_ready(failing)
    statuses = []
    has_left = False
    stopped = asyncio.create_task(failing.process.wait())
    while not stopped.done():
        try:
            response, _ = await world.ask(failing, "/pay/1")
            statuses.append(response.status)
        except aiohttp.ClientConnectorError:
            # It no longer listens; nothing was sent.
            statuses.append("refused")
        if failing.address not in await world.resolve(world.vms[1]):
            has_left = True
        await asyncio.sleep(0.05)
    assert has_left
    assert stopped.result() == 1
    assert set(statuses) <= {200, "refused"}
    runs = sum(len(world.get_worker(worker).ran) for worker in ("pay-1", "pay-2"))
    assert runs == statuses.count(200) > 20
    log = failing.read_log()
    assert "loops:failing" in log and "loops:stopping" in log
    assert log.count('"task:round_failed"') <= 8


async def test_hangup_and_invalid_settings_do_not_stop_the_vm(world):
    # The platform sends SIGHUP when the settings have changed. By default that
    # signal terminates a process, and its requests stay unanswered.
    vm = world.vms[0]
    vm.signal(signal.SIGHUP)
    await asyncio.sleep(0.2)
    response, _ = await world.ask(vm)
    assert response.status == 200
    vm.path.write_text("self = 7\n")
    vm.signal(signal.SIGHUP)
    await asyncio.sleep(0.2)
    response, _ = await world.ask(vm)
    assert response.status == 200
    assert "vm:reload_failed" in vm.read_log()


async def test_requests_are_served_during_a_store_outage(world):
    # The store is unavailable for a while. The last known state stays in
    # force.
    world.store.crash()
    await asyncio.sleep(0.5)
    response, _ = await world.ask(world.vms[0])
    assert response.status == 200
    # An unknown route may be part of a newer configuration.
    response, _ = await world.ask(world.vms[0], "/new/1")
    assert response.status == 503


@pytest.mark.parametrize(
    ("request_bytes", "status"),
    [
        pytest.param(b"nonsense\r\n\r\n", 400, id="not HTTP"),
        pytest.param(
            b"GET /look/1 HTTP/1.1\r\nhost: h\r\nx: " + b"x" * 20_000 + b"\r\n\r\n",
            431,
            id="long header",
        ),
        pytest.param(
            b"POST /pay/1 HTTP/1.1\r\nhost: h\r\ncontent-length: 200000\r\n\r\n",
            413,
            id="long body",
        ),
        pytest.param(
            b"GET /look/1 HTTP/1.1\r\nhost: h\r\n\r\n", 400, id="without a request id"
        ),
        pytest.param(b"GET /look/1 HTTP/1.1\r\nho", 408, id="incomplete header"),
    ],
)
async def test_invalid_request_is_refused(world, request_bytes, status):
    host, _, port = world.vms[0].address.partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(request_bytes)
    line = await asyncio.wait_for(reader.readline(), 6)
    assert line.split()[1] == str(status).encode()
    writer.close()


@pytest.mark.parametrize(
    ("request_line", "framing", "body", "expected"),
    [
        pytest.param(b"GET /look/1", b"", b"", b"", id="no body"),
        pytest.param(
            b"POST /pay/1", b"content-length: 5\r\n", b"hello", b"hello", id="length"
        ),
        pytest.param(
            b"POST /pay/1", b"content-length: 0\r\n", b"", b"", id="empty body"
        ),
        pytest.param(
            b"POST /pay/1",
            b"transfer-encoding: chunked\r\n",
            b"5\r\nhello\r\n0\r\n\r\n",
            b"hello",
            id="chunked",
        ),
    ],
)
async def test_request_that_offers_an_upgrade_is_answered_once(
    world, request_line, framing, body, expected
):
    # Guards against a second response, which belongs to no request, and
    # against a body that is lost.
    host, _, port = world.vms[0].address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    upgrade = b"connection: upgrade\r\nupgrade: h2c\r\n"
    first = b"%b HTTP/1.1\r\nhost: h\r\ngodwitlanding-request-id: u1\r\n%b%b\r\n%b"
    second = b"GET /look/2 HTTP/1.1\r\nhost: h\r\ngodwitlanding-request-id: u2\r\n\r\n"
    writer.write(first % (request_line, upgrade, framing, body) + second)
    async with asyncio.timeout(5.0):
        for request_id in (b"u1", b"u2"):
            head = (await reader.readuntil(b"\r\n\r\n")).lower()
            assert head.startswith(b"http/1.1 200 ")
            assert b"godwitlanding-request-id: " + request_id in head
            length = int(re.search(rb"content-length: (\d+)", head).group(1))
            await reader.readexactly(length)
    bodies = [worker.bodies.get("u1") for worker in world.get_all_workers()]
    assert [body for body in bodies if body is not None] == [expected]
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.3):
            await reader.read(1)
    writer.close()


async def test_pipelined_requests_are_answered_in_order(world):
    # A caller sends eight requests without waiting, and some take longer than
    # later ones. Responses sent in order of completion would be assigned to
    # the wrong requests.
    slow, fast = world.get_worker("look-1"), world.get_worker("look-2")
    slow.work_s = 0.3
    host, _, port = world.vms[0].address.partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    for number in range(8):
        writer.write(
            b"GET /look/%d HTTP/1.1\r\nhost: h\r\nGodwitlanding-Request-Id: p%d\r\n"
            b"Godwitlanding-Affinity-Key: %d\r\n\r\n" % (number, number, number)
        )
    ids = []
    while len(ids) < 8:
        line = await asyncio.wait_for(reader.readline(), 5)
        if line.lower().startswith(b"godwitlanding-request-id"):
            ids.append(line.split()[1])
    assert ids == [b"p%d" % number for number in range(8)]
    assert fast.ran
    writer.close()


async def test_log_lines_of_a_request(world):
    response, _ = await world.pay(world.vms[0], 5)
    assert response.status == 200
    await asyncio.sleep(0.3)
    lines = [json.loads(line) for line in world.vms[0].read_log().splitlines()]
    logged = {line["message_type"]: line for line in lines if "pay-5" in str(line)}
    assert logged["carrier:attempt"]["outcome"] == "answered"
    assert logged["carrier:done"]["status"] == 200
    assert "kernel:started" in {line["message_type"] for line in lines}


async def test_metrics_are_served(world):
    await world.ask(world.vms[0])
    async with world.session.get(world.vms[0].metrics) as response:
        text = await response.text()
    assert "request_seconds_bucket" in text
    assert "platform_calls_total" in text


async def test_vm_without_a_store_is_not_ready(tmp_path):
    # A VM starts while the store is unavailable, so it knows no route. After a
    # 404 its callers would not retry.
    async with World(tmp_path, zones=("a1",)) as world:
        world.store.faults.status = 503
        vm = world.vms[0]
        await vm.start()

        async def is_refused():
            return await world.get_status(vm.front) == 503

        await wait_until(is_refused, 10)
        assert await world.get_status(vm.ready) == 503
        response, _ = await world.ask(vm)
        assert response.status == 503
        assert float(response.headers["Retry-After"]) > 0
        world.store.faults.status = 0

        async def is_ready():
            return await world.get_status(vm.ready) == 200

        await wait_until(is_ready)


async def test_vm_that_starts_without_the_store_reads_from_its_peers(world):
    # A VM is killed and restarted while the store is unavailable. Without its
    # peers it could serve no request until the store is available again.
    vm = world.vms[0]
    world.store.faults.status = 503
    vm.process.kill()
    await vm.process.wait()
    await vm.start()
    async with asyncio.timeout(8):
        await world.wait_until_ready(vm)
    response, _ = await world.ask(vm)
    assert response.status == 200
    assert "feed:following" in vm.read_log()
    # Changes are followed again as soon as the store is available.
    world.store.faults.status = 0
    row = ["new", "h", "/new/", "safe", "2s", "400ms", 2, None, 2, True, [], "looks"]
    await world.store.put("config", "main", make_config("r9", [row]))

    async def is_served():
        return (await world.ask(vm, "/new/1"))[0].status == 200

    await wait_until(is_served)


# The fault of every upstream, the status that the caller of a payment gets,
# and words of the log lines that show the cause.
FAULTS = (
    pytest.param("shed", 503, ("not run", "UPSTREAM_SHED"), id="refused when full"),
    pytest.param("reset", 502, ("unknown", "reset"), id="outcome unknown"),
    pytest.param("cut", 502, ("unknown", "broken"), id="response truncated"),
)


@pytest.mark.parametrize(("fault", "status", "expected_words"), FAULTS)
async def test_logs_of_a_request_id_show_the_cause(
    world, fault, status, expected_words
):
    # A member complains days later. The operator on call has only the request
    # id and the logs of the VMs.
    for worker_id in ("pay-1", "pay-2"):
        world.get_worker(worker_id).fault = fault
    response, _ = await world.pay(world.vms[0], 1)
    assert response.status == status
    await asyncio.sleep(0.3)
    story = read_timeline([vm.log for vm in world.vms], "pay-1")
    logged = " ".join(
        str(row.fields) for row in story if row.what.startswith("carrier")
    )
    for word in expected_words:
        assert word in logged, story
    assert any(row.fields.get("upstream", "").startswith("pay-") for row in story)


async def test_upstream_gets_the_remaining_time(world):
    # The first upstream fails after some time, and the request is sent to
    # another one. If that got the full deadline again, it would keep working
    # for a caller that has given up.
    for worker_id in ("look-1", "look-2"):
        world.get_worker(worker_id).work_s = 0.4
        world.get_worker(worker_id).fault = "fail"
    await world.ask(world.vms[0], **{"Godwitlanding-Deadline-Ms": "1500"})
    first, second = sorted(
        world.get_worker("look-1").deadlines_ms
        + world.get_worker("look-2").deadlines_ms
    )[::-1]
    assert 1300 < first <= 1500
    assert second <= first - 400


async def test_request_that_crashes_upstreams_is_refused_by_every_vm(world):
    # One request crashes each upstream that starts to run it, and its caller
    # sends it again, to any VM. Unless the VMs share this, it crashes every
    # licensed instance of the service.
    workers = [world.get_worker("look-1"), world.get_worker("look-2")]
    for number in (3, 4, 5):
        workers.append(await world.add_worker(f"look-{number}", "looks", "a1"))
    for worker in workers:
        worker.crash_path = "/look/deadly"
    await asyncio.sleep(0.5)
    for vm in (*world.vms, *world.vms):
        response, _ = await world.ask(vm, "/look/deadly")
        assert response.status >= 500
        await asyncio.sleep(0.4)
    assert sum(len(worker.ran) for worker in workers) <= 2
    response, _ = await world.ask(world.vms[2], "/look/other")
    assert response.status == 200
