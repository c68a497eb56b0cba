"""Checks that an upstream's response is complete and for its request.

An upstream may crash, shed load or drain while it serves a request, and a
connection may deliver a response late or twice. Without these checks a
truncated response (a printable pass without its photo) would look
complete, or a caller would get the response to another caller.
"""

import re
from typing import NamedTuple

from godwitlanding.base.codes import RUN_NO, Code, Run
from godwitlanding.base.headers import UPSTREAM_REFUSED, UPSTREAM_REQUEST_ID
from godwitlanding.base.messages import OUTCOME_LEAVING, OUTCOME_SHED

# Most responses to look-ups are far smaller. 500 requests in progress with
# 64 KB each take 32 MB.
SMALL_RESPONSE_BYTES = 65_536
_BODILESS_STATUSES = (204, 304)
_CONTENT_RANGE = re.compile(r"bytes (\d+)-(\d+)/(\d+)")


class AttemptResult(NamedTuple):
    """The result of one dispatch; ``code`` is ``None`` on success.

    ``outcome`` is reported to the arbiter. ``run`` says whether the
    upstream may have run the request.
    """

    outcome: str
    run: Run
    code: Code | None = None
    detail: str = ""
    retry_after_s: float = 1.0


class ResumePoint(NamedTuple):
    """What an interrupted download needs in order to be resumed.

    ``etag`` is its strong validator and ``total`` its length in bytes,
    ``None`` for a chunked response.
    """

    etag: str
    total: int | None


_REFUSAL_BY_HEADER = {
    "shed": AttemptResult(OUTCOME_SHED, RUN_NO, Code.UPSTREAM_SHED),
    "draining": AttemptResult(OUTCOME_LEAVING, RUN_NO, Code.UPSTREAM_LEAVING),
}


def read_upstream_refusal(status, headers):
    """Return the ``AttemptResult`` of a request that was not run.

    Returns ``None`` unless the upstream's response is a refusal.
    """
    if status != 503:
        return None
    return _REFUSAL_BY_HEADER.get(headers.get(UPSTREAM_REFUSED, "").strip().lower())


def read_length(headers):
    """Return the ``Content-Length``, ``None`` for a chunked response."""
    text = headers.get("Content-Length")
    return int(text) if text is not None else None


def check_head(request, status, headers):
    """Return what is wrong with the status and headers, or ``""``.

    A response that is delimited by the end of its connection can't be told
    from a truncated one, so it is rejected. A response with the id of
    another request is late or mixed up.
    """
    answered_id = headers.get(UPSTREAM_REQUEST_ID)
    if answered_id is not None and answered_id != request.id:
        return f"the answer is for request {answered_id}"
    if request.method == "HEAD" or status in _BODILESS_STATUSES:
        return ""
    chunked = "chunked" in headers.get("Transfer-Encoding", "").lower()
    if "Content-Length" not in headers and not chunked:
        return "the answer has neither a length nor chunks"
    return ""


def make_resume_point(request, status, headers):
    """Return the ``ResumePoint`` of a resumable response, or ``None``.

    A strong validator is required: with a weak one two upstreams may send
    different bytes, and the caller would get a mixture of both that looks
    complete.
    """
    etag = headers.get("ETag", "")
    strong = etag.startswith('"') and etag.endswith('"') and len(etag) > 2
    if request.method != "GET" or status != 200 or not strong:
        return None
    return ResumePoint(etag, read_length(headers))


def make_range_headers(resume, sent_bytes):
    """Return the headers that request the rest of a download."""
    return [("Range", f"bytes={sent_bytes}-"), ("If-Range", resume.etag)]


def check_continuation(resume, sent_bytes, status, headers):
    """Return why a response can't continue a download, or ``""``."""
    if status != 206:
        return f"status {status} in place of the rest"
    if headers.get("ETag") != resume.etag:
        return "the rest has another validator"
    if headers.get("Content-Encoding", "identity") != "identity":
        return "the rest has an encoding of its own"
    found = _CONTENT_RANGE.fullmatch(headers.get("Content-Range", ""))
    if not found:
        return "the rest does not say which bytes it is"
    first, last, total = (int(text) for text in found.groups())
    if first != sent_bytes or last != total - 1:
        return f"the rest is bytes {first}-{last}/{total}"
    if resume.total is not None and total != resume.total:
        return f"the length was {resume.total} and is {total}"
    return ""
