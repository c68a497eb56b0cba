"""Two of six machines get no answer from the store; the others act on old state.

The two are those that read the store. The other four reach the store all the
while, but take their state from the two, and go on by the old one.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))
from standins import (  # noqa: E402
    TROUBLE, CouldNotRun, Endpoint, Store, Vm, call, make_config, make_headers,
    run_case, wait_ready,
)

REGIONS = {"a": "north", "b": "north", "c": "north"}
KINDS = ("config", "evacuations", "servers", "godwit-vms")
CONFIG_S = DRAIN_S = 2.5
# Beyond the bounds, for what is on its way.
SLACK_S = 0.2
STABLE_S = 4.0
SILENT_S = 9.0
SHARE = 0.35


async def case(record, net, temporary, started):
    store = Store(record)
    started.append(store)
    endpoints = []
    for number in range(8):
        endpoint = Endpoint(
            record, f"i-{number}", "old" if number < 4 else "new", "abc"[number % 3],
            (net.host(200 + number), net.base + 4),
        )
        await endpoint.start()
        endpoints.append(endpoint)
        started.append(endpoint)
    await store.put(
        "config", "main",
        make_config(1, [("/pay/", "unsafe", "old")], ["old", "new"]),
    )
    beats = [asyncio.ensure_future(endpoint.beat(store)) for endpoint in endpoints]
    vms = []
    for number in range(6):
        vm = Vm(f"edge-{'abc'[number % 3]}-{number}", "abc"[number % 3], net, number, temporary)
        vm.write_settings(REGIONS)
        await store.listen(vm.name, *vm.store)
        vm.start()
        vms.append(vm)
        started.append(vm)
    await wait_ready(vms)
    await asyncio.sleep(STABLE_S + 4.0)

    # The machines that the store serves a watch now: "it read the list last".
    count = int(SHARE * len(vms))
    last = {}
    for (machine, _), at in store.watch_began.items():
        last[machine] = max(last.get(machine, 0.0), at)
    turned_away = sorted(last, key=last.get)[-count:]
    # The moment: right after these have asked for changes once more.
    end = record.now() + 12.0
    while record.now() < end:
        began = [store.watch_began.get((m, k), 0.0) for m in turned_away for k in KINDS]
        if record.now() - min(began) < 1.2:
            break
        await asyncio.sleep(0.02)
    if TROUBLE:
        store.silent = set(turned_away)
    silent_at = record.now()
    record.write("store_silent", machines=",".join(turned_away), trouble=TROUBLE)
    calm = [vm for vm in vms if vm.name not in turned_away]

    await asyncio.sleep(0.3)
    leaving = endpoints[0]
    leaving.state = "draining"
    drain_ack = await store.put("servers", leaving.id, leaving.make_entry())
    record.write("draining_acknowledged", endpoint=leaving.id)
    config_ack = await store.put(
        "config", "main",
        make_config(
            2, [("/pay/", "unsafe", "new"), ("/added/", "safe", "new")], ["old", "new"]
        ),
    )
    record.write("config_acknowledged", version="r2: /pay/ to new, /added/ is there")

    sent = {}
    answers = []

    async def ask(vm, path, method, number):
        request_id = f"{path.strip('/')}-{vm.name}-{number}"
        sent[request_id] = (record.now(), vm)
        record.write("sent", request=request_id, to=vm.name)
        answer = await call(
            vm.front, method, path + "x", make_headers(request_id, 2000)
        )
        status = answer[0] if answer else None
        record.write("answered", request=request_id, status=status)
        answers.append((request_id, status))

    tasks = []
    for number in range(int(SILENT_S / 0.25)):
        for vm in calm:
            tasks.append(asyncio.ensure_future(ask(vm, "/pay/", "POST", number)))
            tasks.append(asyncio.ensure_future(ask(vm, "/added/", "GET", number)))
        await asyncio.sleep(0.25)
    await asyncio.gather(*tasks)
    store.silent = set()
    for beat in beats:
        beat.cancel()

    late = {
        request_id for request_id, (at, _) in sent.items()
        if at > config_ack + CONFIG_S + SLACK_S
    }
    by_old = [r for e in endpoints[:4] for _, r in e.runs if r in late]
    refused = [r for r, status in answers if r in late and status == 404]
    drained = [
        r for at, r in leaving.arrivals if at > drain_ack + DRAIN_S + SLACK_S
    ]
    served = [r for r, status in answers if status == 200]
    record.write("silent_for", seconds=round(record.now() - silent_at, 2))
    record.write(
        "verdict", sent=len(sent), served=len(served),
        run_by_old_service_after_bound=len(by_old), not_found_after_bound=len(refused),
        reached_draining_endpoint_after_bound=len(drained),
    )
    last_old = max((sent[r][0] - config_ack for r in by_old + refused), default=0.0)
    print(
        f"after the bound: {len(by_old)} run by the old service, {len(refused)} got 404,"
        f" {len(drained)} reached the draining endpoint;"
        f" the old config was in force for {last_old:.2f} s"
    )
    if not served:
        raise CouldNotRun("nothing was served")
    return bool(by_old or refused or drained)


run_case(Path(__file__).parent, case)
