"""Routes by host and path, and which part of a split a request goes to.

A split is kept exact rather than random: each VM deals its requests out by
an accumulated remainder for each part, so that the shares of any few dozen
requests already are those of the weights. Drawing at random, 300 requests
on a part of 10 % stray by 1.7 points, and a small part can be missed for
seconds.
"""

from enum import Enum
from typing import NamedTuple


class RouteKind(Enum):
    """What of a route may be repeated; downloads repeat like safe work."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    DOWNLOAD = "download"

    @property
    def is_idempotent(self):
        """Tell whether a request may run more than once."""
        return self is not RouteKind.UNSAFE


class SplitPart(NamedTuple):
    """A service that takes ``weight`` of a route's requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """Where requests of a host under a path go; times are in seconds.

    ``priority`` 0 is the most urgent. An empty ``allowed_regions`` allows
    every region.
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
    # Whether requests without a workspace's key are served as well.
    allow_anonymous: bool = False


class Workspace(NamedTuple):
    """A workspace: who its callers are and how much they may ask for.

    Its allotment is ``rate_per_s`` requests a second and ``burst`` at once,
    over all VMs together; a rate of 0 sets no limit. ``priority`` ``None``
    leaves a route's, and an empty ``allowed_regions`` allows every region.
    """

    name: str
    rate_per_s: float = 0.0
    burst: float = 0.0
    priority: int | None = None
    allowed_regions: frozenset[str] = frozenset()


class Service(NamedTuple):
    """A service of the configuration; ``cold_per_s`` is for each upstream."""

    name: str
    health_path: str
    max_connections: int
    warmup_s: float
    cold_per_s: float


class Limits(NamedTuple):
    """What a caller may send, and how long it may take or stay idle."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 67108864
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class RouteConfig(NamedTuple):
    """One version of the configuration, as the gateway uses it.

    ``workspace_by_key`` is ``None`` where the configuration has no
    workspaces, so that nobody needs a key.
    """

    version: int
    route_by_prefix: dict[tuple[str, str], Route]
    service_by_name: dict[str, Service]
    limits: Limits
    workspace_by_key: dict[bytes, Workspace] | None = None


def find_route(config, host, path):
    """Return the route with the longest prefix of ``path``, or ``None``.

    Every prefix ends with a slash, so only the path's own slashes are tried.
    """
    path = path.partition("?")[0]
    end = len(path)
    while (end := path.rfind("/", 0, end)) >= 0:
        route = config.route_by_prefix.get((host, path[: end + 1]))
        if route:
            return route
    return None


class Splitter:
    """Deals a route's requests out to its parts in the weights' proportion."""

    def __init__(self):
        self._credit_by_part_by_route = {}

    def pick(self, route):
        """Return the service that takes the next request of ``route``."""
        if len(route.parts) == 1:
            return route.parts[0].service
        credit_by_part = self._get_credits(route)
        total = sum(part.weight for part in route.parts)
        for part in route.parts:
            credit_by_part[part] += part.weight / total
        chosen = max(route.parts, key=credit_by_part.__getitem__)
        credit_by_part[chosen] -= 1.0
        return chosen.service

    def _get_credits(self, route):
        held = self._credit_by_part_by_route.get(route.name)
        if held is None or held.keys() != set(route.parts):
            held = dict.fromkeys(route.parts, 0.0)
            self._credit_by_part_by_route[route.name] = held
        return held
