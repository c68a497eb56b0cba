"""Which workspace a caller belongs to, by the key that it sends.

Keys come and go with versions of the configuration while callers keep their
connections, so a key is looked up for each request, and once more before a
request is sent again: a key that was taken away opens nothing any more.

A VM that may have missed a version cannot tell a new key from one that never
was. Only a VM that changes reach may call a key unknown; from any other one
the caller hears that it has not run and when to come back.
"""

from enum import Enum
from typing import NamedTuple

from godwitlanding.decisions.routes import Workspace

_SCHEME = b"bearer"


class Verdict(Enum):
    """Whether a request may run, as far as its caller goes."""

    GRANTED = "granted"
    UNKNOWN_KEY = "unknown key"


class Access(NamedTuple):
    """What a key opens; ``workspace`` is ``None`` for anonymous callers."""

    verdict: Verdict
    workspace: Workspace | None


_ANONYMOUS = Access(Verdict.GRANTED, None)
_UNKNOWN = Access(Verdict.UNKNOWN_KEY, None)


def read_key(values):
    """Return the key in the values of a request's authorization headers.

    It is empty where there is none, or more than one: which of two keys the
    caller meant nobody can tell, and each may be another workspace's.

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
        return Access(Verdict.GRANTED, workspace)
    return _ANONYMOUS if route.allow_anonymous else _UNKNOWN


def intersect_regions(route, workspace):
    """Return the regions in which a request may run, ``None`` for all.

    Where the route and the workspace both name some, both bind, and nothing
    may be left.
    """
    bound = [route.allowed_regions]
    if workspace is not None:
        bound.append(workspace.allowed_regions)
    bound = [regions for regions in bound if regions]
    return frozenset.intersection(*bound) if bound else None
