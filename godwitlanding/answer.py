"""Whether an upstream's answer is whole, and whose it is.

Load pattern: an upstream dies, sheds or drains in the middle of its work,
or a connection delivers an answer late or twice. Without these checks a
printable pass without its photo would look complete, or a caller would
get another caller's pass.
"""

from typing import NamedTuple

from godwitlanding.codes import Code
from godwitlanding.headers import UPSTREAM_REFUSED, UPSTREAM_REQUEST_ID
from godwitlanding.messages import OUTCOME_LEAVING, OUTCOME_SHED

# Most look-ups are far smaller; 64 KB for each request in progress keeps
# 500 of them within 32 MB.
SMALL_ANSWER_BYTES = 65_536
_BODILESS_STATUSES = (204, 304)


class UpstreamRefusal(NamedTuple):
    """The upstream's own word that it did not run the request."""

    outcome: str
    code: Code


_REFUSAL_BY_WORD = {
    "shed": UpstreamRefusal(OUTCOME_SHED, Code.UPSTREAM_SHED),
    "draining": UpstreamRefusal(OUTCOME_LEAVING, Code.UPSTREAM_LEAVING),
}


def read_refusal(status, headers):
    """Return the ``UpstreamRefusal`` in an answer's head, or ``None``."""
    if status != 503:
        return None
    return _REFUSAL_BY_WORD.get(headers.get(UPSTREAM_REFUSED, "").strip().lower())


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
    if request.method == "HEAD" or status in _BODILESS_STATUSES or status < 200:
        return ""
    chunked = "chunked" in headers.get("Transfer-Encoding", "").lower()
    if "Content-Length" not in headers and not chunked:
        return "the answer has neither a length nor chunks"
    return ""
