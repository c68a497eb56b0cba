"""Finds the route of a request by host and path, and splits its traffic.

A split is exact, not random: each VM keeps an accumulated remainder for each
part of the split, so that the shares of any few dozen requests already match
the weights. With random draws, the share of a 10 % part deviates by 1.7
percentage points over 300 requests, and a small part can get no requests for
seconds.
"""

from enum import Enum
from typing import NamedTuple


class RouteKind(Enum):
    """Whether requests of a route may be repeated.

    Downloads may be repeated like safe requests. Uploads are large requests
    that may run at most once, like unsafe ones.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    DOWNLOAD = "download"
    UPLOAD = "upload"
    # A kind that this version does not know, written by a newer one. Running
    # a request at most once is right for every kind.
    UNKNOWN = "unknown"

    @property
    def is_idempotent(self):
        """Return whether a request may run more than once."""
        return self in (RouteKind.SAFE, RouteKind.DOWNLOAD)


class SplitPart(NamedTuple):
    """A service that receives ``weight`` of a route's requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """The settings of a route for a host and path prefix.

    Times are in seconds. ``priority`` 0 is the most urgent. An empty
    ``allowed_regions`` allows every region. A route whose row cannot be read
    has no ``parts``: its requests are refused, and do not match a shorter
    prefix, which may belong to another service.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_s: float
    target_latency_s: float
    priority: int
    parts: tuple[SplitPart, ...]
    max_attempts: int
    sticky: bool
    allowed_regions: frozenset[str]
    # Whether requests without a workspace's key are served too.
    allow_anonymous: bool = False


class Workspace(NamedTuple):
    """A workspace and its rate limit.

    It may send ``rate_per_s`` requests a second and ``burst`` at once, over
    all VMs together; a rate of 0 sets no limit. With ``priority`` ``None`` the
    route's applies, and an empty ``allowed_regions`` allows every region.
    """

    name: str
    rate_per_s: float = 0.0
    burst: float = 0.0
    priority: int | None = None
    allowed_regions: frozenset[str] = frozenset()


class RowProblem(NamedTuple):
    """A value of the configuration that this version cannot use.

    ``table`` is ``"routes"``, ``"services"`` or ``"limits"``, ``row`` the name
    of the row or limit, and ``detail`` states the value.
    """

    table: str
    row: str
    detail: str


class Service(NamedTuple):
    """A service of the configuration.

    ``cold_per_s`` is the request rate for each upstream that is not warm yet.
    """

    name: str
    health_path: str
    max_connections: int
    warmup_s: float
    cold_per_s: float


class Limits(NamedTuple):
    """Limits on what a caller may send, and on its time to send or to idle."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 67108864
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class RouteConfig(NamedTuple):
    """One version of the configuration, in the form that the gateway uses.

    ``workspace_by_key`` is ``None`` if the configuration has no workspaces;
    then no request needs a key. ``problems`` lists what could not be used; the
    rest is in force.
    """

    version: int
    route_by_prefix: dict[tuple[str, str], Route]
    service_by_name: dict[str, Service]
    limits: Limits
    workspace_by_key: dict[bytes, Workspace] | None = None
    problems: tuple[RowProblem, ...] = ()


def get_contended_priorities(config):
    """Return the priorities by service, for services that callers contend for.

    These are all services of a configuration with workspaces, otherwise those
    that have routes of different priorities.
    """
    priorities_by_service = {}
    for route in config.route_by_prefix.values():
        for part in route.parts:
            priorities_by_service.setdefault(part.service, set()).add(route.priority)
    has_workspaces = config.workspace_by_key is not None
    return {
        service: priorities
        for service, priorities in priorities_by_service.items()
        if has_workspaces or len(priorities) > 1
    }


def find_route(config, host, path):
    """Return the route with the longest prefix of ``path``, or ``None``.

    Every prefix ends with a slash, so only the slashes of the path are tried.
    """
    path = path.partition("?")[0]
    end = len(path)
    while (end := path.rfind("/", 0, end)) >= 0:
        route = config.route_by_prefix.get((host, path[: end + 1]))
        if route:
            return route
    return None


class Splitter:
    """Distributes a route's requests to its parts in proportion to weights."""

    def __init__(self):
        self._credit_by_part_by_route = {}

    def pick(self, route):
        """Return the service that receives the next request of ``route``."""
        if len(route.parts) == 1:
            return route.parts[0].service
        credit_by_part = self._get_route_credits(route)
        total = sum(part.weight for part in route.parts)
        for part in route.parts:
            credit_by_part[part] += part.weight / total
        chosen = max(route.parts, key=credit_by_part.__getitem__)
        credit_by_part[chosen] -= 1.0
        return chosen.service

    def _get_route_credits(self, route):
        route_credits = self._credit_by_part_by_route.get(route.name)
        if route_credits is None or route_credits.keys() != set(route.parts):
            route_credits = dict.fromkeys(route.parts, 0.0)
            self._credit_by_part_by_route[route.name] = route_credits
        return route_credits
