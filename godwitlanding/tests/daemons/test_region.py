"""Tests the failure and recovery of a region with real processes."""

from godwitlanding.tests.load.load import Load, Rate
from godwitlanding.tests.test_docs import ROOT
from godwitlanding.tests.tools.cluster import Cluster, wait_until
from godwitlanding.tests.tools.network import claim_test_network

RATES = (Rate("status", 30.0), Rate("renewal", 8.0), Rate("passes", 3.0))
LIMIT_S = 60.0
DOWN_S = 1000.0


async def test_lost_region_leaves_the_other_serving(tmp_path):
    """A region loses power, with its entry VMs and its upstreams.

    Its callers must be directed to and served by the other region, without
    exceeding that region's slots. Work that was running in the failed
    region must not run again. After its recovery the region serves again.
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
        verdict = await load.evaluate_run(may_cut=True)
    finally:
        await cluster.stop()
    assert verdict.faults == ()
