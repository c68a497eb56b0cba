"""The zone daemon's connections to other processes of ours."""

from godwitlanding.base.kernel import Service
from godwitlanding.base.wire import Pool, Server


class Peers(Service):
    """Dials peers and holds the table of handlers that services fill."""

    name = "peers"

    def __init__(self, context):
        self.on_channel = []
        self.handler_by_type = {}
        self.pool = Pool(context.make_hello(), self.handler_by_type, context.counters)

    def handle(self, message_type, handler):
        """Answer messages of a type by ``handler(channel, message)``."""
        self.handler_by_type[message_type] = handler

    async def stop(self):
        """Close every connection that was dialled."""
        await self.pool.stop()


class Listener(Service):
    """Accepts connections once every service has its handlers in place."""

    name = "listener"
    needs = ("peers", "members", "replication", "lending", "arbitration")

    def __init__(self, context):
        self._context = context
        self._server = None

    async def start(self, kernel):
        """Listen; raises ``OSError`` where the port cannot be had."""
        self._server = Server(
            self._context.make_hello(),
            kernel.get("peers").handler_by_type,
            self._context.counters,
        )
        settings = self._context.settings
        await self._server.start(settings["address"], settings["zone_port"])

    async def stop(self):
        """Close the listener and the connections it accepted."""
        await self._server.stop()

    def get_status(self):
        """Return how many connections are open, by the peer's role."""
        count_by_role = {}
        for channel in self._server.channels if self._server else ():
            role = channel.peer.role
            count_by_role[role] = count_by_role.get(role, 0) + 1
        return {"connections_by_role": count_by_role}
