"""The caller blocks of a process: from the replica's objects to a table."""

from eliot import log_message

from godwitlanding.base.kernel import Service
from godwitlanding.daemons.blocks import parse_address
from godwitlanding.daemons.blockstore import BLOCKS_KIND, BlockLoader


class CallerLocator(Service):
    """Tells the zone of a caller by the block of its address.

    Without any blocks in the platform it knows no caller, and each is
    taken by the hash of its name.
    """

    name = "callers"
    needs = ("feed",)

    def __init__(self, context):
        self._context = context
        self._loader = BlockLoader()

    async def start(self, kernel):
        """Read the blocks held and follow their changes."""
        for state in self._context.replica.get_kind(BLOCKS_KIND):
            self._apply_state(state)
        self._context.replica.listen(self._apply_state)

    def get_status(self):
        """Return the size of the table and the last delta in it."""
        table = self._loader.table
        return {
            "blocks": 0 if table is None else len(table),
            "sites": len(self._loader.sites),
            "applied": self._loader.applied,
            "loading": self._loader.is_loading,
        }

    def is_ready(self):
        """Tell whether no first table is still being loaded.

        With part of a table callers would be taken for unlisted ones and
        sent to zones that they leave again a second later.
        """
        return not self._loader.is_loading

    def find_zone(self, caller):
        """Return the zone of a listed caller, ``""`` for any other."""
        table = self._loader.table
        # No truth value of the table: that would count all its blocks.
        address = None if table is None else parse_address(caller)
        if address is None:
            return ""
        group = table.find(address)
        sites = self._loader.sites
        # A delta may name a site before the marker that lists it is here.
        if not 0 < group <= len(sites):
            return ""
        return sites[group - 1].availability_zone

    def _apply_state(self, state):
        if state.kind != BLOCKS_KIND:
            return
        try:
            if self._loader.offer(state.name, state.body):
                self._context.counters.add("blocks_changed")
        except ValueError as error:
            self._context.counters.add("steer_unreadable", kind=state.kind)
            log_message(
                "callers:unreadable",
                level="error",
                name=state.name,
                version=state.version,
                error=str(error),
            )
        # The decoded table stays; a second copy of 26 million bytes of text
        # beside it would take the process over its memory.
        self._context.replica.drop_body(state)
