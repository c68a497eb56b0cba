"""Opens and accepts a zone daemon's connections to other daemons."""

from godwitlanding.base.kernel import Service
from godwitlanding.base.wire import Pool, Server


class Peers(Service):
    """Connects to peers and holds the handlers that services register."""

    name = "peers"

    def __init__(self, context):
        self.on_channel = []
        self.handler_by_type = {}
        self.pool = Pool(context.make_hello(), self.handler_by_type, context.counters)

    def handle(self, message_type, handler):
        """Call ``handler(channel, message)`` for messages of a type."""
        self.handler_by_type[message_type] = handler

    async def stop(self):
        """Close every connection that this process opened."""
        await self.pool.stop()


class Listener(Service):
    """Accepts connections once the services have registered their handlers."""

    name = "listener"
    needs = ("peers", "members", "replication", "lending", "arbitration")

    def __init__(self, context):
        self._context = context
        self._server = None

    async def start(self, kernel):
        """Listen; raises ``OSError`` if the port cannot be bound."""
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
        """Return the number of open accepted connections by peer role."""
        count_by_role = {}
        for channel in self._server.channels if self._server else ():
            role = channel.peer.role
            count_by_role[role] = count_by_role.get(role, 0) + 1
        return {"connections_by_role": count_by_role}
