"""``godwit-zone``: the control of an availability zone, one on each VM."""

import sys

from starlette.applications import Starlette

from godwitlanding.daemon import run_daemon
from godwitlanding.services.arbitration import Arbitration
from godwitlanding.services.borrowing import Borrowing
from godwitlanding.services.configuration import Configuration
from godwitlanding.services.departure import Departure
from godwitlanding.services.lending import Lending
from godwitlanding.services.links import Listener, Peers
from godwitlanding.services.members import Members
from godwitlanding.services.planner import Planning
from godwitlanding.services.platform import Platform
from godwitlanding.services.probes import Probes
from godwitlanding.services.replication import Replication
from godwitlanding.services.summary import Summary
from godwitlanding.store import HttpStore
from godwitlanding.web import HttpServer, make_status_routes

DESCRIPTION = "Control of an availability zone: members, permits, the plan."


def make_services(context, store=None):
    """Return the services of a zone daemon."""
    settings = context.settings
    if store is None:
        timeout_s = settings["platform_timeout_s"]
        store = HttpStore(settings["platform_url"], timeout_s, context.counters)
    replication = Replication(context)
    departure = Departure(context)
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
        Planning(context),
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
