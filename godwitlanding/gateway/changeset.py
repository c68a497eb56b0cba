"""Sets of changes to the store's objects, as mirrors pass them on."""

from typing import NamedTuple

from godwitlanding.base.storetypes import StoredObject


class ChangeSet(NamedTuple):
    """Changes to objects of one kind.

    ``revision`` is the store's revision up to which the mirror holds every
    change, ``changed_at`` the revision of the last change. ``removed`` are
    names. A ``whole`` change set holds every object of the kind.
    """

    revision: int
    changed_at: int
    objects: tuple[StoredObject, ...]
    removed: tuple[str, ...]
    whole: bool = False


def make_change_set(batch, choose):
    """Return a watch's events as a change set, one object per name.

    ``choose(stored, former)`` returns the object to keep of two successive
    ones; ``former`` may be ``None``.
    """
    stored_by_name = {}
    removed = {}
    for event in batch.events:
        name = event.stored.name
        former = stored_by_name.pop(name, None)
        removed.pop(name, None)
        if event.deleted:
            removed[name] = True
        else:
            stored_by_name[name] = choose(event.stored, former)
    # The version in a deletion event is the revision of the deletion.
    changed_at = max((event.stored.version for event in batch.events), default=0)
    return ChangeSet(
        batch.version, changed_at, tuple(stored_by_name.values()), tuple(removed)
    )


def merge_change_sets(change_sets):
    """Return one change set with the effect of several, oldest first."""
    first, *others = change_sets
    if not others:
        return first
    stored_by_name = {stored.name: stored for stored in first.objects}
    removed = dict.fromkeys(first.removed)
    whole = first.whole
    for change_set in others:
        if change_set.whole:
            stored_by_name, removed, whole = {}, {}, True
        for stored in change_set.objects:
            removed.pop(stored.name, None)
            stored_by_name[stored.name] = stored
        for name in change_set.removed:
            stored_by_name.pop(name, None)
            removed[name] = None
    return ChangeSet(
        max(change_set.revision for change_set in change_sets),
        max(change_set.changed_at for change_set in change_sets),
        tuple(stored_by_name.values()),
        () if whole else tuple(removed),
        whole,
    )
