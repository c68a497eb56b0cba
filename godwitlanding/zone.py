"""``godwit-zone``: the control daemon of an availability zone.

One runs on each VM of the zone.
"""

import sys

from starlette.applications import Starlette

from godwitlanding.base.store import HttpStore
from godwitlanding.base.web import HttpServer, make_status_routes
from godwitlanding.daemons.daemon import run_daemon
from godwitlanding.daemons.services.arbitration import Arbitration
from godwitlanding.daemons.services.borrowing import Borrowing
from godwitlanding.daemons.services.configuration import Configuration
from godwitlanding.daemons.services.lending import Lending
from godwitlanding.daemons.services.members import Members
from godwitlanding.daemons.services.peerconnections import Listener, Peers
from godwitlanding.daemons.services.planner import PlannerService
from godwitlanding.daemons.services.platform import Platform
from godwitlanding.daemons.services.probes import Probes
from godwitlanding.daemons.services.replication import Replication
from godwitlanding.daemons.services.summary import Summary
from godwitlanding.daemons.services.zoneshutdown import ZoneShutdown

DESCRIPTION = "Control of an availability zone: members, permits, the plan."


def make_services(context, store=None):
    """Return the services of a zone daemon."""
    settings = context.settings
    if store is None:
        timeout_s = settings["platform_timeout_s"]
        store = HttpStore(settings["platform_url"], timeout_s, context.counters)
    replication = Replication(context)
    departure = ZoneShutdown(context)
    routes = make_status_routes(
        departure.get_kernel,
        context.counters,
        replication.is_ready,
        context.replica,
    )
    return [
        Peers(context),
        Platform(store),
        Configuration(context),
        Members(context),
        replication,
        Lending(context),
        Borrowing(context),
        Arbitration(context),
        Probes(context),
        Summary(context),
        PlannerService(context),
        Listener(context),
        HttpServer(
            "http",
            Starlette(routes=routes),
            settings["address"],
            settings["zone_http_port"],
        ),
        departure,
    ]


def main(argv=None):
    """Run the daemon; return its exit code."""
    return run_daemon("zone", DESCRIPTION, make_services, argv)


if __name__ == "__main__":
    sys.exit(main())
