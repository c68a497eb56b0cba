"""``godwit-steer``: directs callers to entry VMs and issues tickets."""

import sys

from godwitlanding.base.web import HttpServer
from godwitlanding.daemons.daemon import run_daemon
from godwitlanding.daemons.services.callerlocator import CallerLocator
from godwitlanding.daemons.services.feed import Feed
from godwitlanding.daemons.services.routing import Routing
from godwitlanding.daemons.services.steerapi import SteerApi
from godwitlanding.daemons.services.steershutdown import SteerShutdown
from godwitlanding.daemons.services.tickets import Tickets

DESCRIPTION = "Tell callers which entry VMs to use and issue tickets."

KINDS = ("config", "plan", "secret", "vms", "summary", "members", "blocks")


def make_services(context):
    """Return the services of a steer process."""
    answers = SteerApi(context)
    server = HttpServer(
        "steer_http",
        answers,
        context.settings["address"],
        context.settings["steer_port"],
        needs=("answers",),
        max_connections=context.settings["max_connections"],
    )
    return [
        Feed(context, KINDS),
        CallerLocator(context),
        Routing(context),
        Tickets(context),
        answers,
        server,
        SteerShutdown(context),
    ]


def main(argv=None):
    """Run the daemon; return its exit code."""
    return run_daemon("steer", DESCRIPTION, make_services, argv)


if __name__ == "__main__":
    sys.exit(main())
