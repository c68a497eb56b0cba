"""A minimal reverse proxy, the baseline for measuring the entry daemon.

A starlette application that forwards each request by aiohttp to the next
upstream in turn, without slots, deadlines, retries or tickets:
``python -m godwitlanding.tests.benchmarks.passthrough --help``.
"""

import argparse
import itertools
import sys

import aiohttp
import uvicorn
from starlette.applications import Starlette
from starlette.responses import StreamingResponse
from starlette.routing import Route

DROPPED_HEADERS = ("host", "content-length", "connection")


def make_app(upstreams):
    """Return the application that forwards to ``upstreams`` (``ip:port``)."""
    upstream_cycle = itertools.cycle(upstreams)
    sessions = []

    async def pass_through(request):
        if not sessions:
            connector = aiohttp.TCPConnector(limit=0)
            sessions.append(aiohttp.ClientSession(connector=connector))
        headers = [
            (k, v) for k, v in request.headers.items() if k not in DROPPED_HEADERS
        ]
        url = f"http://{next(upstream_cycle)}/{request.path_params['path']}"
        query = request.url.query
        response = await sessions[0].request(
            request.method,
            f"{url}?{query}" if query else url,
            headers=headers,
            data=await request.body() or None,
        )
        return StreamingResponse(
            stream_body(response), response.status, headers=dict(response.headers)
        )

    async def stream_body(response):
        async with response:
            async for chunk in response.content.iter_any():
                yield chunk

    methods = ["GET", "POST", "PUT", "DELETE"]
    return Starlette(
        routes=[Route("/s/{service}/{path:path}", pass_through, methods=methods)]
    )


def main(argv=None):
    """Run the proxy until the process is stopped."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--host", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--upstreams", required=True, help="ip:port, comma-separated")
    arguments = parser.parse_args(argv)
    uvicorn.run(
        make_app(arguments.upstreams.split(",")),
        host=arguments.host,
        port=arguments.port,
        loop="asyncio",
        http="httptools",
        access_log=False,
        log_config=None,
    )


if __name__ == "__main__":
    sys.exit(main())
