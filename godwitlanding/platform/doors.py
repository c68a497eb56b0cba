"""The calls that callers and the platform make to a VM besides requests."""

from starlette.applications import Starlette
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

# Callers keep an answer of the directory this long, some three times as
# long; it is the shortest that the platform's callers take.
DIRECTORY_TTL_S = 1.0


def make_directory(choose_addresses):
    """Return the app that tells callers of a region where to connect.

    ``choose_addresses(region)`` returns a list of addresses.
    """

    async def resolve(request):
        addresses = choose_addresses(request.query_params.get("region", ""))
        body = {"addresses": addresses, "ttl": f"{DIRECTORY_TTL_S:g}s"}
        return JSONResponse(body, status_code=200 if addresses else 503)

    return Starlette(routes=[Route("/resolve", resolve)])


def make_readiness(is_ready):
    """Return the app that tells the platform whether this VM serves."""

    async def readyz(request):
        return Response(status_code=200 if is_ready() else 503)

    return Starlette(routes=[Route("/readyz", readyz)])
