"""Requests to an arbiter and its decisions."""

from typing import NamedTuple

from godwitlanding.base.codes import Refusal


class Ask(NamedTuple):
    """A request for a slot; ``deadline`` is on the arbiter's clock.

    ``expected_s`` is the expected work time, 0 if unknown.
    """

    request_id: str
    caller: str
    priority: int
    deadline: float
    fingerprint: int = 0
    excluded_upstreams: frozenset[str] = frozenset()
    attempt: int = 0
    may_pass_on: bool = True
    expected_s: float = 0.0


class Grant(NamedTuple):
    """A permit for one slot of an upstream until ``until``."""

    permit_id: int
    upstream: str
    until: float
    waited_s: float


class Spill(NamedTuple):
    """Permission to send the request to another zone, once."""

    availability_zone: str
    waited_s: float


class Decision(NamedTuple):
    """The final decision on a request."""

    request_id: str
    outcome: Grant | Spill | Refusal
