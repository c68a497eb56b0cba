"""A whole region fails and comes back, with real processes."""

from godwitlanding.tests.load.load import Load, Rate
from godwitlanding.tests.test_docs import ROOT
from godwitlanding.tests.tools.cluster import Cluster, wait_until
from godwitlanding.tests.tools.network import claim_test_network

RATES = (Rate("status", 30.0), Rate("renewal", 8.0), Rate("passes", 3.0))
LIMIT_S = 60.0
DOWN_S = 1000.0


async def test_lost_region_leaves_the_other_serving(tmp_path):
    """Power fails in a region: its entry VMs and its upstreams are gone.

    Its callers go where they are told next and are served by the other
    region, whose slots are never passed; what had been running there is not
    run again. The region comes back and is served again.
    """
    text = (ROOT / "samples/demo.json5").read_text()
    cluster = Cluster(
        text, claim_test_network(), vms_per_zone=1, log_directory=tmp_path
    )
    lost = cluster.config.region_by_name["north"].availability_zones
    vms = [
        vm for vm, row in cluster.vm_by_name.items() if row.availability_zone in lost
    ]
    upstreams = [
        upstream.id
        for service in cluster.config.service_by_name.values()
        for zone in lost
        for upstream in service.get_upstreams(zone)
    ]
    try:
        await cluster.start()
        load = Load(cluster)
        await load.start(*RATES)
        await load.serve(1.0)
        for upstream in upstreams:
            await cluster.standins.crash_upstream(upstream, DOWN_S)
        for vm in vms:
            await cluster.kill_vm(vm)
        await load.serve(5.0)
        for upstream in upstreams:
            await cluster.standins.crash_upstream(upstream, 0.0)
        for vm in vms:
            await cluster.start_vm(vm)
        await wait_until(cluster.is_ready, LIMIT_S, "every daemon to be ready")
        await load.serve(3.0)
        verdict = await load.judge(may_cut=True)
    finally:
        await cluster.stop()
    assert verdict.faults == ()
