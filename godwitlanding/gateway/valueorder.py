"""Keeps an object from going back to an earlier value.

A write that got no answer may be executed seconds later, when a newer one has
been made: the store then has the earlier value, under a newer revision. The
value of the highest order stays, with the revision of the later write.

There are two kinds of orders. The operator numbers the versions of the
configuration, which never goes back (``ValueOrder``). An upstream numbers the
writes of its entry, and begins again when it starts again (``EntryOrder``).
"""

import asyncio
import math
from collections import OrderedDict

from eliot import log_message

from godwitlanding.base.storetypes import get_era

# Delayed writes are executed within 6 s. A value of a lower order that is in
# the store for longer is no delayed one: its writer counts anew.
ACCEPT_AFTER_S = 10.0
MAX_REMOVED = 4096


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

    @property
    def is_total(self):
        """Return whether ``highest`` tells how many versions are known."""
        return self.get_order is not None

    def forget(self, name, held):
        """Forget an object that was removed; ``held`` is its last value."""
        self._order_by_name.pop(name, None)

    def is_late_return(self, stored):
        """Return whether an object was created again by a delayed write."""
        return False

    def begins_anew(self, stored, held):
        """Return whether ``stored`` is of another object than ``held``."""
        return False

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
        _log_older(stored, order, held_order)
        return held._replace(version=stored.version)

    def choose_event(self, stored, former):
        """Return the object to keep of two successive events of a watch."""
        if not self.get_order or not former:
            return stored
        if self.get_order(stored.value) >= self.get_order(former.value):
            return stored
        return stored._replace(value=former.value)

    def has_refused(self):
        """Return whether refused objects may be accepted later."""
        return False

    def take_due(self, now, is_current):
        """Return the refused objects that are to be accepted after all."""
        return []


class EntryOrder:
    """The order of entries that their writers renew.

    ``get_order(value)`` returns a pair that grows with each write within one
    creation of an entry: the writer's start, and a number that it counts from
    1; ``None`` without an order. An entry that was removed and created again,
    or comes from a restored copy of the store, begins anew.
    """

    highest = 0
    is_total = False

    def __init__(self, get_order):
        self._get_order = get_order
        # Refused objects, and since when they are in the store.
        self._refused_by_name = {}
        # The last objects of removed entries, and when they were removed.
        self._removed_by_name = OrderedDict()

    def forget(self, name, held):
        """Forget an entry that was removed; ``held`` is its last object."""
        self._refused_by_name.pop(name, None)
        self._removed_by_name.pop(name, None)
        if held is not None:
            self._removed_by_name[name] = (held, _now())
        if len(self._removed_by_name) > MAX_REMOVED:
            self._removed_by_name.popitem(last=False)

    def is_late_return(self, stored):
        """Return whether an entry was created again by a delayed write.

        Such a write goes on counting below the last one before the removal.
        An entry that has expired is created again with a higher number, and
        another start of its writer counts from 1.
        """
        last, removed_at = self._removed_by_name.get(stored.name, (None, -math.inf))
        if _now() - removed_at > ACCEPT_AFTER_S:
            return False
        if get_era(stored.created) > get_era(last.version):
            return False
        order, last_order = self._get_order(stored.value), self._get_order(last.value)
        if None in (order, last_order) or order[0] != last_order[0]:
            return False
        return 1 < order[1] <= last_order[1]

    def begins_anew(self, stored, held):
        """Return whether ``stored`` is of another start than ``held``.

        That is so if the entry was created again and counts from 1 again. An
        entry that has only expired meanwhile goes on counting.
        """
        if held is None or stored.created <= held.created:
            return False
        if get_era(stored.created) > get_era(held.created):
            return False
        return self._is_older(stored, held)

    def is_ahead(self, stored, held):
        """Return whether ``stored`` has a later value of the same version."""
        if held is None or stored.version != held.version:
            return False
        return stored.created > held.created or self._is_older(held, stored)

    def choose(self, stored, held):
        """Return the object to hold; its value may be that of ``held``."""
        if held is None or stored.created > held.created:
            self._refused_by_name.pop(stored.name, None)
            return stored
        if not self._is_older(stored, held):
            self._refused_by_name.pop(stored.name, None)
            return stored._replace(created=held.created)
        _log_older(stored, self._get_order(stored.value), self._get_order(held.value))
        _, since = self._refused_by_name.get(stored.name, (None, _now()))
        self._refused_by_name[stored.name] = (stored, since)
        return held._replace(version=stored.version)

    def choose_event(self, stored, former):
        """Return the object to keep of two successive events of a watch."""
        if not former or stored.created > former.created:
            return stored
        if not self._is_older(stored, former):
            return stored
        _log_older(stored, self._get_order(stored.value), self._get_order(former.value))
        return former._replace(version=stored.version)

    def has_refused(self):
        """Return whether refused objects may be accepted later."""
        return bool(self._refused_by_name)

    def take_due(self, now, is_current):
        """Return the refused objects that are to be accepted after all.

        ``is_current`` tells whether later writes would have arrived; the time
        begins again while they would not.
        """
        if not is_current:
            self._refused_by_name = {
                name: (stored, now)
                for name, (stored, _) in self._refused_by_name.items()
            }
        due = [
            stored
            for stored, since in self._refused_by_name.values()
            if now - since >= ACCEPT_AFTER_S
        ]
        for stored in due:
            del self._refused_by_name[stored.name]
        # To other VMs, too, it is the entry of another start.
        return [stored._replace(created=stored.version) for stored in due]

    def _is_older(self, stored, other):
        order = self._get_order(stored.value)
        other_order = self._get_order(other.value)
        return None not in (order, other_order) and order < other_order


def _log_older(stored, order, held_order):
    log_message(
        "mirror:older_value",
        level="warning",
        kind=stored.kind,
        name=stored.name,
        version=stored.version,
        order=order,
        held=held_order,
    )


def _now():
    return asyncio.get_running_loop().time()
