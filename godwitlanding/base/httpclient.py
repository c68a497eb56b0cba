"""Creates HTTP client sessions that send each request at most once.

aiohttp retries a GET, PUT or DELETE by itself when a kept-alive connection
breaks before the response. The server may have executed the first attempt:
a repeated write to the platform would return a version conflict caused by
the writer's own success, and a request that crashes upstreams would crash
another one. Retries are decided by the code that knows whether they are
safe.
"""

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
