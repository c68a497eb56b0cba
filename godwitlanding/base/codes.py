"""Numbered result codes shown to callers and operators and written to logs.

Each code states whether the request may have been executed.
``docs/codes.rst`` contains the same table; a test compares the two.
"""

from enum import IntEnum
from typing import NamedTuple


class Run(str):
    """Whether an upstream executed the request: no, yes or unknown."""


RUN_NO = Run("no")
RUN_YES = Run("yes")
RUN_UNKNOWN = Run("unknown")


class Code(IntEnum):
    """A result code; the thousands digit identifies its category."""

    UNKNOWN_SERVICE = 1001
    MALFORMED_REQUEST = 1002
    BODY_TOO_LARGE = 1003
    MISSING_TICKET = 1004
    BAD_TICKET = 1005
    TICKET_MISMATCH = 1006
    TICKET_EXPIRED = 1007
    UNKNOWN_KEY = 1008

    QUEUE_FULL = 2001
    DEADLINE_UNREACHABLE = 2002
    CALLER_OVER_SHARE = 2003
    NO_UPSTREAM = 2004
    RETRY_BUDGET_SPENT = 2005
    LINK_LIMIT = 2006
    POISON_REQUEST = 2007
    DISPLACED = 2008
    ZONE_DRAINED = 2009
    ALLOTMENT_SPENT = 2010
    NO_REGION = 2011
    ROUTE_UNREADABLE = 2012
    OUTRANKED = 2013
    OVER_SHARE = 2014
    BYTES_HELD = 2015

    UPSTREAM_FAILED = 3001
    UPSTREAM_TIMEOUT = 3002
    UPSTREAM_TRUNCATED = 3003
    UPSTREAM_SHED = 3004
    UPSTREAM_LEAVING = 3005

    STILL_RUNNING = 4001
    OUTCOME_UNKNOWN = 4002
    JOURNAL_UNAVAILABLE = 4003
    HOME_UNREACHABLE = 4004
    ANSWER_NOT_KEPT = 4005

    NOT_READY = 5001
    STOPPING = 5002
    NO_ARBITER = 5003
    STALE_ARBITER = 5004
    LOAN_REFUSED = 5005
    PROTOCOL_MISMATCH = 5006
    GARBAGE_FRAME = 5007
    FRAME_TOO_LARGE = 5008
    CALL_TIMEOUT = 5009
    PEER_UNREACHABLE = 5010
    UNEXPECTED_MESSAGE = 5011
    HANDLER_FAILED = 5012
    OUT_OF_TOUCH = 5013

    PLATFORM_UNAVAILABLE = 6001
    VERSION_CONFLICT = 6002
    NOT_FOUND = 6003
    VALUE_TOO_LARGE = 6004
    RATE_LIMITED = 6005
    WATCH_EXPIRED = 6006
    OLDER_VERSION = 6007

    CONFIG_SYNTAX = 7001
    CONFIG_UNKNOWN_KEY = 7002
    CONFIG_MISSING_KEY = 7003
    CONFIG_WRONG_TYPE = 7004
    CONFIG_OUT_OF_RANGE = 7005
    CONFIG_UNKNOWN_REFERENCE = 7006
    CONFIG_DUPLICATE = 7007


class CodeRow(NamedTuple):
    """HTTP status, execution status and description of a result code."""

    http_status: int
    run: Run
    title: str


ROW_BY_CODE = {
    Code.UNKNOWN_SERVICE: CodeRow(404, RUN_NO, "No such service is configured."),
    Code.MALFORMED_REQUEST: CodeRow(400, RUN_NO, "The request cannot be read."),
    Code.BODY_TOO_LARGE: CodeRow(413, RUN_NO, "The request body is too large."),
    Code.MISSING_TICKET: CodeRow(
        428, RUN_NO, "Non-idempotent work needs an Idempotency-Key."
    ),
    Code.BAD_TICKET: CodeRow(400, RUN_NO, "The ticket was not issued here."),
    Code.TICKET_MISMATCH: CodeRow(
        422, RUN_NO, "The ticket was used before with another request."
    ),
    Code.TICKET_EXPIRED: CodeRow(
        410, RUN_UNKNOWN, "The ticket's record is no longer kept."
    ),
    Code.UNKNOWN_KEY: CodeRow(401, RUN_NO, "No workspace has this key."),
    Code.QUEUE_FULL: CodeRow(503, RUN_NO, "The queue for the service is full."),
    Code.DEADLINE_UNREACHABLE: CodeRow(
        503, RUN_NO, "The request cannot finish before its deadline."
    ),
    Code.CALLER_OVER_SHARE: CodeRow(
        429, RUN_NO, "The caller holds more than its fair share of the queue."
    ),
    Code.NO_UPSTREAM: CodeRow(503, RUN_NO, "No upstream may take new work."),
    Code.RETRY_BUDGET_SPENT: CodeRow(
        503, RUN_NO, "The retry budget of the service is spent."
    ),
    Code.LINK_LIMIT: CodeRow(503, RUN_NO, "The link to the other zone is full."),
    Code.POISON_REQUEST: CodeRow(
        422, RUN_UNKNOWN, "The request crashed the upstreams that ran it."
    ),
    Code.DISPLACED: CodeRow(
        503, RUN_NO, "More important work took the place in the queue."
    ),
    Code.ZONE_DRAINED: CodeRow(503, RUN_NO, "The availability zone is drained."),
    Code.ALLOTMENT_SPENT: CodeRow(
        429, RUN_NO, "The workspace has sent what it may send for now."
    ),
    Code.NO_REGION: CodeRow(
        503, RUN_NO, "No region is allowed by both route and workspace."
    ),
    Code.ROUTE_UNREADABLE: CodeRow(
        503, RUN_NO, "This version cannot read the route's configuration."
    ),
    Code.OUTRANKED: CodeRow(
        503, RUN_NO, "More urgent requests need the slots of the service."
    ),
    Code.OVER_SHARE: CodeRow(
        503, RUN_NO, "The workspace has its share of the contended service."
    ),
    Code.BYTES_HELD: CodeRow(
        503, RUN_NO, "The VM holds as many bytes as its memory allows."
    ),
    Code.UPSTREAM_FAILED: CodeRow(
        502, RUN_UNKNOWN, "The upstream failed while it had the request."
    ),
    Code.UPSTREAM_TIMEOUT: CodeRow(
        504, RUN_UNKNOWN, "The upstream did not answer before the deadline."
    ),
    Code.UPSTREAM_TRUNCATED: CodeRow(
        502, RUN_UNKNOWN, "The upstream's answer broke off."
    ),
    Code.UPSTREAM_SHED: CodeRow(503, RUN_NO, "The upstream shed the request."),
    Code.UPSTREAM_LEAVING: CodeRow(503, RUN_NO, "The upstream is draining."),
    Code.STILL_RUNNING: CodeRow(
        409, RUN_UNKNOWN, "The first request with this ticket is still running."
    ),
    Code.OUTCOME_UNKNOWN: CodeRow(
        502, RUN_UNKNOWN, "The work may have run; its outcome is not known."
    ),
    Code.JOURNAL_UNAVAILABLE: CodeRow(
        503, RUN_NO, "The claim cannot be recorded, so the work was not started."
    ),
    Code.HOME_UNREACHABLE: CodeRow(
        503, RUN_UNKNOWN, "The process that may run this ticket cannot be reached."
    ),
    Code.ANSWER_NOT_KEPT: CodeRow(
        409, RUN_YES, "The work ran; its answer is too long ago or too large."
    ),
    Code.NOT_READY: CodeRow(503, RUN_NO, "The process has no configuration yet."),
    Code.STOPPING: CodeRow(503, RUN_NO, "The process is stopping."),
    Code.NO_ARBITER: CodeRow(503, RUN_NO, "No permit arbiter can be reached."),
    Code.STALE_ARBITER: CodeRow(503, RUN_NO, "The arbiter has been replaced."),
    Code.LOAN_REFUSED: CodeRow(503, RUN_NO, "The upstreams are lent to another."),
    Code.PROTOCOL_MISMATCH: CodeRow(
        400, RUN_NO, "The peer speaks another version of the protocol."
    ),
    Code.GARBAGE_FRAME: CodeRow(400, RUN_NO, "The frame is not a message."),
    Code.FRAME_TOO_LARGE: CodeRow(400, RUN_NO, "The frame is too large."),
    Code.CALL_TIMEOUT: CodeRow(504, RUN_UNKNOWN, "The peer did not answer in time."),
    Code.PEER_UNREACHABLE: CodeRow(503, RUN_NO, "The peer cannot be reached."),
    Code.UNEXPECTED_MESSAGE: CodeRow(400, RUN_NO, "The message is not served here."),
    Code.HANDLER_FAILED: CodeRow(500, RUN_UNKNOWN, "The handler failed."),
    Code.OUT_OF_TOUCH: CodeRow(
        503, RUN_NO, "Keys may have been taken away without this VM's knowing."
    ),
    Code.PLATFORM_UNAVAILABLE: CodeRow(
        503, RUN_UNKNOWN, "The platform's object API does not answer."
    ),
    Code.VERSION_CONFLICT: CodeRow(
        412, RUN_NO, "The object has changed since it was read."
    ),
    Code.NOT_FOUND: CodeRow(404, RUN_NO, "No such object."),
    Code.VALUE_TOO_LARGE: CodeRow(413, RUN_NO, "The value is over one megabyte."),
    Code.RATE_LIMITED: CodeRow(429, RUN_NO, "The platform's rate is used up."),
    Code.WATCH_EXPIRED: CodeRow(410, RUN_NO, "The watch starts too far back."),
    Code.OLDER_VERSION: CodeRow(
        409, RUN_NO, "The version is older than the one in force."
    ),
    Code.CONFIG_SYNTAX: CodeRow(400, RUN_NO, "The text is not JSON with comments."),
    Code.CONFIG_UNKNOWN_KEY: CodeRow(400, RUN_NO, "The key is not known."),
    Code.CONFIG_MISSING_KEY: CodeRow(400, RUN_NO, "A required key is missing."),
    Code.CONFIG_WRONG_TYPE: CodeRow(400, RUN_NO, "The value has the wrong type."),
    Code.CONFIG_OUT_OF_RANGE: CodeRow(400, RUN_NO, "The value is out of range."),
    Code.CONFIG_UNKNOWN_REFERENCE: CodeRow(
        400, RUN_NO, "The value names something that is not defined."
    ),
    Code.CONFIG_DUPLICATE: CodeRow(400, RUN_NO, "The name is used twice."),
}


class Refusal(NamedTuple):
    """The error result of a request or call.

    ``run`` states whether the request was executed. ``retry_after_s`` is 0
    if a retry does not help.
    """

    code: Code
    retry_after_s: float = 0.0
    run: Run = RUN_NO
    detail: str = ""


def make_refusal(code, retry_after_s=0.0, detail="", run=None):
    """Return a refusal; ``run`` defaults to the value of the code's row."""
    return Refusal(code, retry_after_s, run or ROW_BY_CODE[code].run, detail)
