"""Whether an upstream's answer is whole, and whose it is.

Load pattern: an upstream dies, sheds or drains in the middle of its work,
or a connection delivers an answer late or twice. Without these checks a
printable pass without its photo would look complete, or a caller would
get another caller's pass.
"""

import re
from typing import NamedTuple

from godwitlanding.base.codes import RUN_NO, Code, Run
from godwitlanding.base.headers import UPSTREAM_REFUSED, UPSTREAM_REQUEST_ID
from godwitlanding.base.messages import OUTCOME_LEAVING, OUTCOME_SHED

# Most look-ups are far smaller; 64 KB for each request in progress keeps
# 500 of them within 32 MB.
SMALL_RESPONSE_BYTES = 65_536
_BODILESS_STATUSES = (204, 304)
_CONTENT_RANGE = re.compile(r"bytes (\d+)-(\d+)/(\d+)")


class AttemptResult(NamedTuple):
    """What became of one dispatch; ``code`` is ``None`` when all is well.

    ``outcome`` goes to the arbiter, ``run`` says whether the upstream may
    have run the request.
    """

    outcome: str
    run: Run
    code: Code | None = None
    detail: str = ""
    retry_after_s: float = 1.0


class ResumePoint(NamedTuple):
    """A download that broke off: its strong validator and its length.

    ``total`` is ``None`` where the answer came in chunks.
    """

    etag: str
    total: int | None


_REFUSAL_BY_HEADER = {
    "shed": AttemptResult(OUTCOME_SHED, RUN_NO, Code.UPSTREAM_SHED),
    "draining": AttemptResult(OUTCOME_LEAVING, RUN_NO, Code.UPSTREAM_LEAVING),
}


def read_upstream_refusal(status, headers):
    """Return the ``Attempt`` that an upstream says it did not run."""
    if status != 503:
        return None
    return _REFUSAL_BY_HEADER.get(headers.get(UPSTREAM_REFUSED, "").strip().lower())


def read_length(headers):
    """Return the length that the head promises, or ``None`` for chunks."""
    text = headers.get("Content-Length")
    return int(text) if text is not None else None


def check_head(request, status, headers):
    """Return what is wrong with an answer's head, ``""`` if nothing.

    An answer that ends with its connection cannot be told from one that
    broke off, so it is not taken. An answer with the id of another
    request is late or mixed up.
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
    """Return the ``Resume`` for an answer that may be continued later.

    Only a strong validator will do: under a weak one two upstreams may
    give different bytes, and the caller would get a mixture that looks
    complete.
    """
    etag = headers.get("ETag", "")
    strong = etag.startswith('"') and etag.endswith('"') and len(etag) > 2
    if request.method != "GET" or status != 200 or not strong:
        return None
    return ResumePoint(etag, read_length(headers))


def make_range_headers(resume, sent_bytes):
    """Return the headers that ask for the rest of a broken download."""
    return [("Range", f"bytes={sent_bytes}-"), ("If-Range", resume.etag)]


def check_continuation(resume, sent_bytes, status, headers):
    """Return why an answer is not the rest of a download, ``""`` if it is."""
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
