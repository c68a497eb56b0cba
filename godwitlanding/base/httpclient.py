"""HTTP client sessions that send each request at most once.

aiohttp sends a GET, PUT or DELETE again by itself when a connection that
it had kept open breaks before the answer. The server may have run the
first one: a write to the platform would be answered with a conflict that
is the writer's own success, and a request that crashes upstreams would
crash one more. Whether to send again is decided where it is known whether
that is safe.
"""

import aiohttp


def make_session(max_connections, connector_options=None, **keywords):
    """Return a session of the running loop; ``keywords`` are aiohttp's.

    ``max_connections`` of 0 sets no limit; ``connector_options`` are those
    of aiohttp's ``TCPConnector``.
    """
    options = connector_options or {}
    connector = aiohttp.TCPConnector(limit=max_connections, **options)
    session = aiohttp.ClientSession(connector=connector, **keywords)
    # There is no public switch; aiohttp's own test client sets the same.
    session._retry_connection = False
    return session
