"""Non-idempotent work: at most once, whoever fails."""

from godwitlanding.codes import Code, make_refusal
from godwitlanding.kernel import Service


class ClaimService(Service):
    """Runs requests that carry a ticket."""

    name = "claims"
    needs = ("carrier",)

    def __init__(self, context):
        self._context = context

    async def run(self, request, sink):
        """Return the ``Refusal`` to give, if any."""
        return make_refusal(Code.MISSING_TICKET)
