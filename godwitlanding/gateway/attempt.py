"""A caller's request as it is sent, and what an attempt came to."""

from enum import Enum
from typing import NamedTuple

import xxhash

from godwitlanding.decisions.access import intersect_regions
from godwitlanding.decisions.routes import Route, Workspace
from godwitlanding.gateway.exchange import select_headers


class Work(NamedTuple):
    """A request that may be sent; times are on the loop's clock."""

    request_id: bytes
    route: Route
    service: str
    key: str
    fingerprint: int
    # When the caller gives up, when an answer is late, and when the answer
    # is owed whatever it is.
    deadline_at: float
    target_at: float
    answer_by: float
    # The caller was refused before and did as it was told.
    came_back: bool
    # Whose request it is; never logged, told or sent on.
    api_key: bytes = b""
    workspace: Workspace | None = None
    # Whether the caller's authorization is for this VM, not for upstreams.
    hides_key: bool = False

    @property
    def is_idempotent(self):
        """Tell whether it may run more than once."""
        return self.route.kind.is_idempotent

    @property
    def allowed_regions(self):
        """Return where it may run, ``None`` for every region."""
        return intersect_regions(self.route, self.workspace)

    @property
    def workspace_name(self):
        """Return the name of the caller's workspace, empty for none."""
        return self.workspace.name if self.workspace else ""


class Outcome(Enum):
    """What an attempt came to, by what may be done next."""

    # The upstream's own answer, to be passed on.
    ANSWERED = "answered"
    # The upstream ran it and says that it failed.
    FAILED = "failed"
    # Nothing was sent: no connection.
    UNREACHED = "unreached"
    # The upstream says that it has not run it and will not.
    NOT_RUN = "not run"
    # Another upstream has the address.
    MOVED = "moved"
    # It was sent and there is no usable answer.
    UNKNOWN = "unknown"
    # The caller left, or its time was over, before there was an answer.
    GIVEN_UP = "given up"


# The request did certainly not begin to run there.
_NOT_RUN = frozenset((Outcome.UNREACHED, Outcome.NOT_RUN, Outcome.MOVED))


class Charge:
    """What a request takes of its workspace's allotment.

    One for each attempt that may have run: it was let in against one, and
    gets that back where no upstream began it.
    """

    def __init__(self, allotments, workspace):
        self._allotments = allotments
        self._workspace = workspace
        self._is_held = True

    def begin(self, now):
        """The request is sent, for the first time or once more."""
        if not self._is_held:
            self._allotments.charge(self._workspace, now)
            self._is_held = True

    def note_outcome(self, outcome):
        """Tell what the attempt came to."""
        if outcome not in _NOT_RUN:
            self._is_held = False

    def release(self, now):
        """The request is over."""
        if self._is_held:
            self._allotments.give_back(self._workspace, now)


def make_fingerprint(exchange, host):
    """Return a number that the same request has each time it comes."""
    digest = xxhash.xxh3_64()
    for part in (exchange.method, host, exchange.target, bytes(exchange.body)):
        digest.update(part)
        digest.update(b"\0")
    return digest.intdigest()


def make_request_bytes(exchange, work, names, upstream_id, time_left_s):
    """Return the bytes of a request as an upstream gets it.

    Whose it is the upstream learns from this VM alone: what the caller wrote
    under the workspace's name is dropped, and so is the key.
    """
    own = {
        names.deadline_ms,
        names.expected_upstream,
        names.workspace,
        b"content-length",
        b"connection",
    }
    if work.hides_key:
        own.add(names.authorization)
    lines = [b"%b %b HTTP/1.1" % (exchange.method, exchange.target)]
    for pair in select_headers(exchange.headers, own):
        lines.append(b"%b: %b" % pair)
    left_ms = max(1, int(time_left_s * 1000))
    lines.append(b"%b: %d" % (names.deadline_ms, left_ms))
    lines.append(b"%b: %b" % (names.expected_upstream, upstream_id.encode()))
    if work.workspace:
        lines.append(b"%b: %b" % (names.workspace, work.workspace_name.encode()))
    if exchange.body or exchange.method not in (b"GET", b"HEAD", b"DELETE"):
        lines.append(b"content-length: %d" % len(exchange.body))
    lines.append(b"\r\n")
    return b"\r\n".join(lines) + bytes(exchange.body)


def judge(answer, names):
    """Return the ``Outcome`` that an upstream's answer stands for."""
    if answer.status == 421:
        return Outcome.MOVED
    if answer.get_header(names.not_executed):
        return Outcome.NOT_RUN
    if answer.get_header(b"content-encoding"):
        # Nobody asked for an encoding: these are not the upstream's bytes.
        return Outcome.UNKNOWN
    if answer.status < 300 and not answer.get_header(names.signature):
        return Outcome.UNKNOWN
    if answer.status in (408, 429, 503):
        # To the caller these would promise that it has not run.
        return Outcome.UNKNOWN
    if answer.status >= 500:
        return Outcome.FAILED
    return Outcome.ANSWERED
