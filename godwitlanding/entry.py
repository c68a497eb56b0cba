"""``godwit-entry``: forwards callers' requests to upstreams.

>>> godwit-entry --settings /etc/godwit/settings.json5
"""

import sys

from starlette.applications import Starlette
from starlette.responses import JSONResponse
from starlette.routing import Route

from godwitlanding.base.store import HttpStore
from godwitlanding.base.web import HttpServer, make_status_routes
from godwitlanding.daemons import daemon
from godwitlanding.daemons.services.claimrunner import ClaimRunner
from godwitlanding.daemons.services.claims import ClaimService
from godwitlanding.daemons.services.entryshutdown import EntryShutdown
from godwitlanding.daemons.services.feed import Feed
from godwitlanding.daemons.services.holder import HolderServer
from godwitlanding.daemons.services.idempotencykeys import IdempotencyKeyService
from godwitlanding.daemons.services.journal import JournalWriter
from godwitlanding.daemons.services.permitclient import PermitClient
from godwitlanding.daemons.services.requestexecutor import RequestExecutor
from godwitlanding.daemons.services.requestforwarder import RequestForwarder
from godwitlanding.daemons.services.requesthandler import RequestHandler
from godwitlanding.daemons.services.upstreamclient import UpstreamClient

ROLE = "entry"
DESCRIPTION = "Forward requests: permit, dispatch, bounded retry, response."
REQUEST_PREFIX = "/s/"
FEED_KINDS = ("config", "plan", "secret", "vms", "summary", "members")


def parse_arguments(argv=None):
    """Return the command-line arguments."""
    return daemon.parse_arguments(ROLE, DESCRIPTION, argv)


def make_services(context, store=None):
    """Return the services of an entry process.

    ``store`` replaces the client of the platform in tests.
    """
    feed = Feed(context, FEED_KINDS)
    requests = RequestHandler(context)
    server = _make_server(context, feed, requests)
    settings = context.settings
    store = store or HttpStore(
        settings["platform_url"], settings["platform_timeout_s"], context.counters
    )
    return [
        feed,
        PermitClient(context),
        UpstreamClient(context),
        RequestForwarder(context),
        RequestExecutor(context),
        ClaimRunner(context),
        JournalWriter(context, store),
        IdempotencyKeyService(context, store),
        ClaimService(context),
        HolderServer(context),
        requests,
        server,
        EntryShutdown(context),
    ]


def _make_server(context, feed, requests):
    settings = context.settings
    kernel = []

    async def get_request(request):
        trace = kernel[0].get("carrier").trace
        events = trace.get(request.path_params["id"])
        return JSONResponse({"events": events}, status_code=200 if events else 404)

    routes = [
        Route("/-/requests/{id}", get_request),
        *make_status_routes(
            lambda: kernel[0], context.counters, feed.is_ready, context.replica
        ),
    ]
    status = Starlette(routes=routes)

    # Only one prefix has to be distinguished. Starlette's routing and
    # middleware would cost as much as all other processing of a request.
    async def app(scope, receive, send):
        is_request = scope["path"].startswith(REQUEST_PREFIX)
        await (requests if is_request else status)(scope, receive, send)

    server = _EntryServer(
        "server",
        app,
        settings["address"],
        settings["entry_port"],
        ("requests", "holder"),
        settings["max_connections"],
    )
    server.kernel = kernel
    return server


class _EntryServer(HttpServer):
    """HTTP server that passes its kernel to the status routes."""

    async def start(self, kernel):
        self.kernel.append(kernel)
        await super().start(kernel)


def main(argv=None):
    """Run the daemon; return its exit code."""
    return daemon.run_daemon(ROLE, DESCRIPTION, make_services, argv)


if __name__ == "__main__":
    sys.exit(main())
