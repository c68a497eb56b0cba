"""Serves messages of zone daemons and entry processes to an entry process."""

from godwitlanding.base.kernel import Service
from godwitlanding.base.messages import Holdings, Poison
from godwitlanding.base.wire import Server


class HolderServer(Service):
    """Responds to ``Holdings`` of arbiters and records ``Poison`` reports."""

    name = "holder"
    needs = ("permits", "carrier")

    def __init__(self, context):
        self._context = context
        self._server = None

    async def start(self, kernel):
        """Listen on the internal port of the entry process."""
        self._permits = kernel.get("permits")
        self._executor = kernel.get("carrier")
        handlers = {Holdings: self._handle_holdings, Poison: self._handle_poison}
        context = self._context
        self._server = Server(context.make_hello(), handlers, context.counters)
        settings = context.settings
        await self._server.start(settings["address"], settings["entry_peer_port"])

    async def stop(self):
        """Close the port and its connections."""
        if self._server:
            await self._server.stop()

    async def _handle_holdings(self, channel, message):
        return self._permits.answer_holdings(message)

    async def _handle_poison(self, channel, message):
        self._context.counters.add("poison_noted", upstream=message.upstream)
        self._executor.note_poison(message)
