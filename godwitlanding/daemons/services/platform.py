"""Provides the client of the platform's object store as a service."""

from godwitlanding.base.kernel import Service


class Platform(Service):
    """Holds the platform client and closes it on stop."""

    name = "platform"

    def __init__(self, store):
        self.store = store

    async def stop(self):
        """Close the client's connections."""
        await self.store.close()
