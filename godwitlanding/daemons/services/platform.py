"""The platform's object API as a service of a daemon."""

from godwitlanding.base.kernel import Service


class Platform(Service):
    """Opens and closes the client of the platform."""

    name = "platform"

    def __init__(self, store):
        self.store = store

    async def stop(self):
        """Close the client's connections."""
        await self.store.close()
