"""The bare pass-through that the entry daemon is measured against.

A starlette application that hands each request to the next upstream by
aiohttp and knows nothing of slots, deadlines, retries or tickets:
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

DROPPED = ("host", "content-length", "connection")


def make_app(upstreams):
    """Return the application over ``upstreams``, as ``ip:port``."""
    turns = itertools.cycle(upstreams)
    sessions = []

    async def pass_through(request):
        if not sessions:
            connector = aiohttp.TCPConnector(limit=0)
            sessions.append(aiohttp.ClientSession(connector=connector))
        headers = [(k, v) for k, v in request.headers.items() if k not in DROPPED]
        url = f"http://{next(turns)}/{request.path_params['path']}"
        query = request.url.query
        answer = await sessions[0].request(
            request.method,
            f"{url}?{query}" if query else url,
            headers=headers,
            data=await request.body() or None,
        )
        return StreamingResponse(
            stream(answer), answer.status, headers=dict(answer.headers)
        )

    async def stream(answer):
        async with answer:
            async for chunk in answer.content.iter_any():
                yield chunk

    methods = ["GET", "POST", "PUT", "DELETE"]
    return Starlette(
        routes=[Route("/s/{service}/{path:path}", pass_through, methods=methods)]
    )


def main(argv=None):
    """Serve until told to stop."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--host", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--upstreams", required=True, help="ip:port, by comma")
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
