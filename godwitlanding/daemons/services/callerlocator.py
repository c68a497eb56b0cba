"""Maps the address of a caller to its availability zone.

The address blocks come from the replica and are decoded into one table.
"""

from eliot import log_message

from godwitlanding.base.kernel import Service
from godwitlanding.daemons.blocks import parse_address
from godwitlanding.daemons.blockstore import BLOCKS_KIND, BlockLoader


class CallerLocator(Service):
    """Finds the zone of a caller by the address block that contains it.

    Without blocks in the platform every caller is unlisted, and its zone is
    chosen by a hash of its name.
    """

    name = "callers"
    needs = ("feed",)

    def __init__(self, context):
        self._context = context
        self._loader = BlockLoader()

    async def start(self, kernel):
        """Load the blocks of the replica and listen for changes."""
        for state in self._context.replica.get_kind(BLOCKS_KIND):
            self._apply_state(state)
        self._context.replica.listen(self._apply_state)

    def get_status(self):
        """Return the size of the table and the last delta applied."""
        table = self._loader.table
        return {
            "blocks": 0 if table is None else len(table),
            "sites": len(self._loader.sites),
            "applied": self._loader.applied,
            "loading": self._loader.is_loading,
        }

    def is_ready(self):
        """Return ``False`` while the first table is being loaded.

        With a partial table, listed callers would count as unlisted and be
        sent to zones that they leave again a second later.
        """
        return not self._loader.is_loading

    def find_zone(self, caller):
        """Return the zone of a listed caller, or ``""`` for any other."""
        table = self._loader.table
        # Compared with None, since the truth value would count all blocks.
        address = None if table is None else parse_address(caller)
        if address is None:
            return ""
        group = table.find(address)
        sites = self._loader.sites
        # A delta may refer to a site before the marker that lists it arrives.
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
        # Only the decoded table is kept: the 26 million bytes of text beside
        # it would exceed the memory limit of the process.
        self._context.replica.drop_body(state)
