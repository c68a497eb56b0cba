"""Creates HTTP client sessions that send each request at most once.

aiohttp retries a GET, PUT or DELETE by itself when a kept-alive connection
breaks before the response. The server may have executed the first attempt:
a repeated write to the platform would return a version conflict caused by
the writer's own success, and a request that crashes upstreams would crash
another one. Retries are decided by the code that knows whether they are
safe.
"""

import asyncio

import aiohttp


def make_session(max_connections, connector_options=None, **keywords):
    """Return a ``ClientSession`` of the running event loop.

    ``max_connections`` of 0 sets no limit; ``connector_options`` are passed
    to aiohttp's ``TCPConnector`` and ``keywords`` to its ``ClientSession``.
    """
    options = connector_options or {}
    connector = aiohttp.TCPConnector(limit=max_connections, **options)
    session = aiohttp.ClientSession(connector=connector, **keywords)
    # aiohttp has no public option for this; its own test client sets the
    # same attribute.
    session._retry_connection = False
    return session


async def read_body(response, max_bytes, max_pause_s):
    """Return the body of a response of at most ``max_bytes``.

    Raises ``aiohttp.ClientPayloadError`` for a longer one, which a server in
    trouble may send without end, and ``TimeoutError`` if no part of it arrives
    for ``max_pause_s``; its framing does not count as a part.
    """
    body = bytearray()
    while True:
        async with asyncio.timeout(max_pause_s):
            data = await response.content.readany()
        if not data:
            return bytes(body)
        body += data
        if len(body) > max_bytes:
            response.close()
            raise aiohttp.ClientPayloadError(f"a body of over {max_bytes} bytes")
