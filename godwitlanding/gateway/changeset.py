"""What a mirror has learnt of the store, as it is handed on."""

from typing import NamedTuple

from godwitlanding.base.storetypes import StoredObject


class ChangeSet(NamedTuple):
    """What a mirror has learnt at once.

    ``revision`` is the store's, up to which the mirror knows every change,
    and ``changed_at`` that of the last one; ``removed`` are names. A
    ``whole`` change holds every object there is.
    """

    revision: int
    changed_at: int
    objects: tuple[StoredObject, ...]
    removed: tuple[str, ...]
    whole: bool = False


def make_change_set(batch):
    """Return a watch's events as a change; the last one of a name counts."""
    stored_by_name = {}
    removed = {}
    for event in batch.events:
        name = event.stored.name
        stored_by_name.pop(name, None)
        removed.pop(name, None)
        if event.deleted:
            removed[name] = True
        else:
            stored_by_name[name] = event.stored
    # The version of an object that is gone is that of its removal.
    changed_at = max((event.stored.version for event in batch.events), default=0)
    return ChangeSet(
        batch.version, changed_at, tuple(stored_by_name.values()), tuple(removed)
    )
