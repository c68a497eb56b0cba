"""Keeps an object from going back to an earlier value.

A write that got no answer may be executed seconds later, when a newer one has
been made: the store then has the earlier version of the configuration, under a
newer revision. The value of the highest order stays, here the operator's own
version, with the revision of the later write.
"""

from eliot import log_message


class ValueOrder:
    """The order of each object's value, by the object's name.

    ``get_order(value)`` returns a number that grows with each version; without
    it the last value counts.
    """

    def __init__(self, get_order=None):
        self.get_order = get_order
        self._order_by_name = {}

    @property
    def highest(self):
        """Return the highest order of a value, 0 if there is none."""
        return max(self._order_by_name.values(), default=0)

    def forget(self, name):
        """Forget an object that was removed."""
        self._order_by_name.pop(name, None)

    def is_ahead(self, stored, held):
        """Return whether ``stored`` has a later value of the same version.

        That is so if it comes from a VM that kept the value, while this one
        has read the earlier one from the store.
        """
        if not self.get_order or held is None or stored.version != held.version:
            return False
        return self.get_order(stored.value) > self._order_by_name[stored.name]

    def choose(self, stored, held):
        """Return the object to hold; its value may be that of ``held``."""
        if not self.get_order:
            return stored
        order = self.get_order(stored.value)
        held_order = self._order_by_name.get(stored.name, 0)
        if held is None or order >= held_order:
            self._order_by_name[stored.name] = order
            return stored
        log_message(
            "mirror:older_value",
            level="warning",
            kind=stored.kind,
            name=stored.name,
            version=stored.version,
            order=order,
            held=held_order,
        )
        return held._replace(version=stored.version)
