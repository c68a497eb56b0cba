"""Maps the API key of a request to a workspace and its access rights.

Keys are added and removed by configuration versions while callers keep their
connections open, so the key is looked up for each request, and again before a
request is retried: a removed key grants no access from then on.

A VM that may have missed a configuration version cannot distinguish a new key
from one that never existed. Only a VM that receives configuration changes may
reject a key as unknown; any other VM answers that the request has not run and
when to retry.
"""

from enum import Enum
from typing import NamedTuple

from godwitlanding.decisions.routes import Workspace

_SCHEME = b"bearer"


class AccessDecision(Enum):
    """Whether the key of a request grants access."""

    GRANTED = "granted"
    UNKNOWN_KEY = "unknown key"


class Access(NamedTuple):
    """Access granted to a request.

    ``workspace`` is ``None`` for anonymous callers.
    """

    decision: AccessDecision
    workspace: Workspace | None


_ANONYMOUS = Access(AccessDecision.GRANTED, None)
_UNKNOWN = Access(AccessDecision.UNKNOWN_KEY, None)


def read_key(values):
    """Return the API key in the values of the authorization headers.

    The key is empty if there is no such header or more than one: with two keys
    it is ambiguous which one is meant, and each may belong to another
    workspace.

    >>> read_key([b"Bearer 6aw63is47"])
    b'6aw63is47'
    """
    if len(values) != 1:
        return b""
    scheme, _, key = values[0].strip().partition(b" ")
    return key.strip() if scheme.lower() == _SCHEME else b""


def find_access(config, route, key):
    """Return the ``Access`` of a request on ``route`` with ``key``."""
    if config.workspace_by_key is None:
        return _ANONYMOUS
    workspace = config.workspace_by_key.get(key)
    if workspace is not None:
        return Access(AccessDecision.GRANTED, workspace)
    return _ANONYMOUS if route.allow_anonymous else _UNKNOWN


def intersect_regions(route, workspace):
    """Return the regions in which a request may run, ``None`` for all.

    If both the route and the workspace restrict regions, both restrictions
    apply, and the result may be empty.
    """
    region_sets = [route.allowed_regions]
    if workspace is not None:
        region_sets.append(workspace.allowed_regions)
    region_sets = [regions for regions in region_sets if regions]
    return frozenset.intersection(*region_sets) if region_sets else None
