"""HTTP server of the daemons: uvicorn on the standard asyncio loop."""

import asyncio
import contextlib

import uvicorn
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from godwitlanding.base.codes import ROW_BY_CODE, Code, make_refusal
from godwitlanding.base.config import CONFIG_KIND, CONFIG_NAME
from godwitlanding.base.kernel import Service
from godwitlanding.base.metrics import render_metrics

VERSION_HEADER = "Godwit-Version"
PROBLEM_TYPE = "application/problem+json"
KEEP_ALIVE_S = 30
BACKLOG = 512
# Connections that are idle or receive the refusal of too many connections.
SPARE_CONNECTIONS = 500


class _Server(uvicorn.Server):
    """uvicorn without its signal handlers; the kernel installs its own."""

    @contextlib.contextmanager
    def capture_signals(self):
        yield


class HttpServer(Service):
    """Serves an ASGI app at ``host:port`` until it is stopped.

    Stopping waits for the requests in progress unless ``cancel_on_stop`` is
    set: immediate responses need no waiting, and a process that is about to
    be killed has no time for it.
    """

    def __init__(
        self,
        name,
        app,
        host,
        port,
        needs=(),
        max_connections=2000,
        cancel_on_stop=False,
    ):
        self.name = name
        self._cancel_on_stop = cancel_on_stop
        self.needs = needs
        config = uvicorn.Config(
            app,
            host=host,
            port=port,
            loop="asyncio",
            http="httptools",
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            # There is no proxy in front of the server. X-Forwarded-For would
            # let a caller impersonate another one and use its share and its
            # ticket's home.
            proxy_headers=False,
            server_header=False,
            date_header=False,
            timeout_keep_alive=KEEP_ALIVE_S,
            backlog=BACKLOG,
            # Last resort: beyond this limit uvicorn refuses requests without a
            # result code.
            limit_concurrency=max_connections + SPARE_CONNECTIONS,
        )
        self._server = _Server(config)
        self._task = None

    async def start(self, kernel):
        """Listen; raise ``OSError`` if the port is unavailable."""
        self._task = asyncio.ensure_future(self._serve())
        while not self._server.started:
            if self._task.done():
                self._task.result()
                raise OSError(f"{self.name}: the server exited during startup")
            await asyncio.sleep(0.01)

    async def stop(self):
        """Stop accepting connections; wait for the requests in progress."""
        self._server.should_exit = True
        if self._cancel_on_stop:
            self._task.cancel()
        elif self._task:
            await self._task

    def force(self):
        """Stop waiting for requests: the time limit of the stop has passed."""
        self._server.force_exit = True

    async def _serve(self):
        # uvicorn raises SystemExit if it cannot bind the port.
        try:
            await self._server.serve()
        except SystemExit as error:
            raise OSError(f"{self.name}: cannot listen") from error


def make_problem(refusal, request_id=""):
    """Return the problem details of a refusal as a ``JSONResponse``."""
    row = ROW_BY_CODE[refusal.code]
    body = {
        "type": f"urn:godwitlanding:code:{refusal.code.value}",
        "title": row.title,
        "status": row.http_status,
        "code": refusal.code.value,
        "name": refusal.code.name,
        "run": refusal.run,
    }
    if refusal.detail:
        body["detail"] = refusal.detail
    if request_id:
        body["request_id"] = request_id
    headers = {"Cache-Control": "no-store"}
    if refusal.retry_after_s > 0:
        headers["Retry-After"] = str(max(1, round(refusal.retry_after_s)))
        body["retry_after_s"] = round(refusal.retry_after_s, 3)
    return JSONResponse(
        body, status_code=row.http_status, headers=headers, media_type=PROBLEM_TYPE
    )


def make_status_routes(get_kernel, counters, is_ready, replica=None):
    """Return the operators' status routes under ``/-/`` of a daemon.

    ``get_kernel`` is a function because the routes are created before the
    kernel. With ``replica`` the status contains the versions held.
    """

    async def get_metrics(request):
        return Response(render_metrics(), media_type="text/plain; version=0.0.4")

    async def get_status(request):
        return JSONResponse(
            {
                "services": get_kernel().get_status(),
                "counters": counters.get_all(),
                "versions": replica.get_versions() if replica else {},
            }
        )

    async def get_health(request):
        ready = is_ready()
        state = "ready" if ready else "not ready"
        return JSONResponse({"state": state}, status_code=200 if ready else 503)

    async def get_config(request):
        state = replica and replica.get(CONFIG_KIND, CONFIG_NAME)
        if not state:
            return make_problem(make_refusal(Code.NOT_READY, 1.0))
        headers = {VERSION_HEADER: str(state.version)}
        return Response(state.body, media_type="text/plain", headers=headers)

    return [
        Route("/-/config", get_config),
        Route("/-/metrics", get_metrics),
        Route("/-/status", get_status),
        Route("/-/health", get_health),
    ]
