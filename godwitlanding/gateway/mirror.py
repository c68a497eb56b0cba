"""Keeps a local copy of all store objects of one kind, by list and watch.

A mirror is updated in one of two ways: it follows the store itself, or it
applies change sets of another VM's mirror (``gateway.feed``). Its objects and
the revision up to which it holds every change are kept when it switches from
one way to the other.

Load pattern: the store is unreachable, slow, or rejects calls, for all VMs at
once; then all of them retry. Each waits a random time that doubles up to
``MAX_BACKOFF_S``, so that the retries are spread out.

An interrupted watch is not resumed from its revision. A store that has dropped
its history accepts the old revision, sends none of the changes in between, and
reports the loss only with the next change. Until then a VM would go on sending
requests to an evacuated zone. So the list is read again after every failure.
"""

import asyncio
import random

from eliot import log_message

from godwitlanding.base.codes import Code
from godwitlanding.base.kernel import Service
from godwitlanding.base.storetypes import get_era, make_version
from godwitlanding.base.tasks import Tasks
from godwitlanding.decisions.removalguard import STALE_ENTRY_TTL_S
from godwitlanding.decisions.storereaders import STALLED_S
from godwitlanding.gateway.changeset import ChangeSet, make_change_set
from godwitlanding.gateway.valueorder import (
    ACCEPT_AFTER_S,
    EntryOrder,
    ValueOrder,
)

# A call that the store accepted during an outage may never be answered
# although its connection stays open; a watch that hangs like this is detected
# when it times out. A change has to reach callers soon after an outage. The
# store would hold a watch far longer, but each shorter one is one more call.
WATCH_TIMEOUT_S = 4.0
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
# Watches are sent at least this far apart, so that one call fetches all
# changes within this time. It is a small part of the time within which a
# change has to be in force.
MIN_WATCH_INTERVAL_S = 0.25
# A VM reads every list at its start and begins to watch soon after; a list
# that is older than this is read again.
FRESH_LIST_S = 1.0
CHECK_REFUSED_S = 1.0


class Mirror(Service):
    """Mirrors one kind; calls ``apply(name, version, value)`` per change.

    A ``value`` of ``None`` means that the object was removed. ``guard`` may
    delay removals and reappearances (see ``decisions.removalguard``). The
    functions in ``on_change`` are called with this mirror and each
    ``ChangeSet``. Those in ``on_restored`` are called when the store is found
    to be restored from an older copy, before its objects are applied. With
    ``begins_old`` the list that is read at the start may be some seconds
    stale. With ``get_order(value)``, an object never goes back to a value of a
    lower order, and with ``get_entry_order(value)`` an entry does not (see
    ``gateway.valueorder``). The functions in ``on_refused`` are called with
    the name of each object whose value in the store is older than the one
    held.
    """

    needs = ("registry",)

    def __init__(
        self,
        store,
        kind,
        apply,
        guard=None,
        on_known=None,
        begins_old=False,
        get_order=None,
        get_entry_order=None,
    ):
        self.name = f"mirror-{kind}"
        self.kind = kind
        self._store = store
        self._apply = apply
        self._guard = guard
        self._on_known = on_known
        self.begins_old = begins_old
        self._value_order = ValueOrder(get_order)
        if get_entry_order:
            self._value_order = EntryOrder(get_entry_order)
        self._object_by_name = {}
        # Objects that reappeared when the store was restored, not applied yet,
        # and the store's revision when the restoration was detected: objects
        # of later versions were written since.
        self._reappeared = {}
        self._restored_revision = 0
        self._reappeared_timer = None
        self._updated = []
        self._removed = []
        self.tasks = Tasks()
        self._task = None
        self._backoff_s = FIRST_BACKOFF_S
        self._answered_at = 0.0
        # Revision of the last list read, ``None`` after a failed call.
        self._listed_revision = None
        self.on_change = []
        self.on_restored = []
        self.on_refused = []
        # Whether changes in the store reach this VM without delay.
        self.is_current = lambda: True
        self._refused_timer = None
        self.is_known = False
        self.is_lost = False
        # Whether the store has answered since this mirror began to follow it.
        self.has_answered = False
        # Revision up to which every change is known, and the revision of the
        # last change of this kind.
        self.revision = 0
        self.changed_at = 0
        self._full_change_set = None

    async def stop(self):
        """Stop following the store and cancel the pending timer."""
        self.stop_following()
        for timer in (self._reappeared_timer, self._refused_timer):
            if timer:
                timer.cancel()

    def get_status(self):
        """Return the state of the mirror and its number of objects."""
        return {
            "follows": self.is_following(),
            "lost": self.is_lost,
            "revision": self.revision,
            "objects": len(self._object_by_name),
        }

    def is_following(self):
        """Return whether this mirror follows the store itself."""
        return self._task is not None

    def follow(self, lost_at=None):
        """Begin to follow the store.

        ``lost_at`` is when the store was last known to answer any VM, if it
        has not answered since.
        """
        if self._task:
            return
        if self._guard and lost_at is not None:
            self._guard.note_store_lost(lost_at)
        self._task = self.tasks.keep_running(self._follow)

    def stop_following(self):
        """Stop following the store; the objects are kept."""
        if self._task:
            self._task.cancel()
        self._task = None
        self.is_lost = False
        self.has_answered = False

    @property
    def is_ordered(self):
        """Return whether values have an order that VMs compare."""
        return self._value_order.is_total

    @property
    def order(self):
        """Return the highest order of a value, 0 if there is none."""
        return self._value_order.highest

    def get_objects(self):
        """Return the mirrored objects."""
        return list(self._object_by_name.values())

    def get_confirmed(self, name):
        """Return an object, ``None`` if the store may lack it.

        The store may lack it if it was restored from an older copy since.
        """
        held = self._object_by_name.get(name)
        if held and get_era(held.version) < get_era(self.revision):
            return None
        return held

    def make_full_change_set(self):
        """Return all objects as a ``ChangeSet``, cached until a change."""
        full = self._full_change_set
        if full is None or full.revision != self.revision:
            objects = tuple(self._object_by_name.values())
            full = ChangeSet(self.revision, self.changed_at, objects, (), True)
            self._full_change_set = full
        return full

    def apply_change_set(self, change_set):
        """Apply a change set of another mirror of this kind."""
        self._merge(change_set, self._drop)
        self._note_known()

    async def _follow(self):
        revision = self._get_fresh_revision()
        while True:
            self._drop_due()
            self._notify()
            if revision is None:
                revision = await self._list()
            else:
                revision = await self._watch(revision)

    def is_receiving(self):
        """Return whether a part of the store's response has just arrived."""
        return _now() - self._store.get_received_at(self.kind) < STALLED_S

    def was_just_listed(self):
        """Return whether the list was read within ``FRESH_LIST_S``."""
        return (
            self._listed_revision is not None
            and _now() - self._answered_at < FRESH_LIST_S
        )

    def _get_fresh_revision(self):
        # The store still has its history since a list that was just read.
        return self._listed_revision if self.was_just_listed() else None

    async def list_once(self, reached=None):
        """Read the list once; return whether the store answered.

        ``reached`` is a future of a version that the store has reached since
        the call was sent, or of ``None`` if that is not known.
        """
        if await self._list(self.begins_old, reached) is not None:
            return True
        # The list is read again once this VM follows the store.
        self.stop_following()
        return False

    async def read_list(self):
        """Read the list while another VM is followed."""
        await self._list()
        if not self.is_following():
            self.stop_following()

    async def _list(self, allow_stale=False, reached=None):
        answer = await self._store.snapshot(self.kind, allow_stale)
        if answer.is_err():
            await self._note_failure(answer.unwrap_err())
            return None
        self._note_success()
        snapshot = answer.unwrap()
        versions = [stored.version for stored in snapshot.objects]
        changed_at = max(versions, default=0)
        if allow_stale and reached and changed_at > (await reached or changed_at):
            # The list is from before the store was restored from an old copy.
            log_message("mirror:lost_history", kind=self.kind, version=changed_at)
            return await self._list()
        if allow_stale:
            # An empty list still shows the era.
            known_revision = max(changed_at, make_version(get_era(snapshot.version), 0))
            return self._take_stale_list(known_revision, snapshot.objects)
        if self._object_by_name.keys() - {o.name for o in snapshot.objects}:
            # The time of the removals is not known, only that it is past.
            changed_at = snapshot.version
        refused = self._merge(
            ChangeSet(snapshot.version, changed_at, snapshot.objects, (), True),
            self._remove,
        )
        log_message(
            "mirror:listed",
            kind=self.kind,
            revision=snapshot.version,
            objects=len(snapshot.objects),
            refused=len(refused),
        )
        self._listed_revision = snapshot.version
        self._note_known()
        return snapshot.version

    def _take_stale_list(self, changed_at, objects):
        """Apply a list that may be stale; return the revision it is good for.

        That is the revision of the last change in it, whatever revision the
        store returns with it. Later changes come from other VMs, and a VM that
        follows the store reads the list again.
        """
        if not self.is_known:
            self._merge(
                ChangeSet(changed_at, changed_at, objects, (), True), self._remove
            )
            self._note_known()
        return changed_at

    async def _watch(self, revision):
        wait_s = WATCH_TIMEOUT_S
        due = self._guard.get_next_time() if self._guard else None
        if due is not None:
            wait_s = max(0.1, min(wait_s, due - _now()))
        begun = _now()
        answer = await self._store.watch(self.kind, revision, wait_s)
        if answer.is_err():
            refusal = answer.unwrap_err()
            if refusal.code is Code.WATCH_EXPIRED:
                log_message("mirror:history_gone", kind=self.kind, revision=revision)
                self._note_success()
                return None
            await self._note_failure(refusal)
            return None
        self._note_success()
        batch = answer.unwrap()
        change_set = make_change_set(batch, self._value_order.choose_event)
        for stored in self._merge(change_set, self._remove):
            self._log_refused(stored)
        left_s = MIN_WATCH_INTERVAL_S - (_now() - begun)
        if left_s > 0:
            await asyncio.sleep(left_s)
        return max(revision, batch.version)

    def _log_refused(self, stored):
        held = self._object_by_name.get(stored.name)
        log_message(
            "mirror:refused",
            level="warning",
            kind=self.kind,
            name=stored.name,
            version=stored.version,
            held=held.version if held else 0,
            revision=self.revision,
        )

    def _merge(self, change_set, remove):
        """Apply what is new; return the objects older than the known ones."""
        if self.is_known and get_era(change_set.revision) > get_era(self.revision):
            self._note_restored(change_set.revision)
        # The sender may be behind: of its objects, those with versions up to
        # ``revision`` are known here already, or known to be removed.
        refused = []
        for stored in change_set.objects:
            if self._guard:
                self._guard.cancel_removal(stored.name)
            held = self._object_by_name.get(stored.name)
            known_revision = held.version if held else self.revision
            is_newer = stored.version > known_revision or not self.is_known
            if is_newer or self._value_order.is_ahead(stored, held):
                self._put(stored)
            elif stored.version < known_revision:
                refused.append(stored)
        gone = set(change_set.removed)
        if change_set.whole:
            gone = self._object_by_name.keys() - {o.name for o in change_set.objects}
        for name in gone:
            held = self._object_by_name.get(name)
            if held and held.version <= change_set.revision:
                remove(name)
        self.revision = max(self.revision, change_set.revision)
        self.changed_at = max(self.changed_at, change_set.changed_at)
        self._notify()
        return refused

    def _note_restored(self, revision):
        log_message(
            "mirror:restored", kind=self.kind, revision=revision, known=self.revision
        )
        if self._guard:
            self._hold_reappeared(revision)
        for notify in self.on_restored:
            notify()

    def _hold_reappeared(self, revision):
        self._guard.note_restored(_now())
        self._restored_revision = revision
        if self._reappeared_timer:
            self._reappeared_timer.cancel()
        loop = asyncio.get_running_loop()
        self._reappeared_timer = loop.call_later(
            STALE_ENTRY_TTL_S, self._apply_reappeared
        )

    def _apply_reappeared(self):
        for stored in self._reappeared.values():
            self._apply(stored.name, stored.version, stored.value)
        self._reappeared = {}

    def _note_known(self):
        self.is_known = True
        if self._on_known:
            self._on_known()

    def _put(self, stored, is_trusted=False):
        held = self._object_by_name.get(stored.name)
        if self._value_order.begins_anew(stored, held):
            self._value_order.forget(stored.name, held)
            log_message(
                "mirror:created_anew",
                kind=self.kind,
                name=stored.name,
                version=stored.version,
            )
            self._apply(stored.name, 0, None)
            held = None
        chosen = self._value_order.choose(stored, held)
        is_refused = chosen.value is not stored.value
        stored = chosen
        self._object_by_name[stored.name] = stored
        self._full_change_set = None
        self._updated.append(stored)
        if is_refused:
            self._note_refused(stored.name)
            return
        was_reappeared = self._reappeared.pop(stored.name, None) is not None
        if self._may_be_gone(stored):
            log_message("mirror:return_held", kind=self.kind, name=stored.name)
            self._reappeared[stored.name] = stored
            return
        is_new = held is None or was_reappeared
        if is_new and not is_trusted and self._value_order.is_late_return(stored):
            self._hold_late_return(stored)
            return
        self._apply(stored.name, stored.version, stored.value)

    def _hold_late_return(self, stored):
        log_message("mirror:late_return_held", kind=self.kind, name=stored.name)
        self._reappeared[stored.name] = stored
        loop = asyncio.get_running_loop()
        loop.call_later(ACCEPT_AFTER_S, self._apply_late_return, stored)

    def _apply_late_return(self, stored):
        if self._reappeared.get(stored.name) is stored:
            del self._reappeared[stored.name]
            self._apply(stored.name, stored.version, stored.value)

    def _note_refused(self, name):
        for notify in self.on_refused:
            notify(name)
        if self._refused_timer is None:
            self._check_refused_later()

    def _check_refused_later(self):
        loop = asyncio.get_running_loop()
        self._refused_timer = loop.call_later(CHECK_REFUSED_S, self._check_refused)

    def _check_refused(self):
        """Accept values that have stayed in the store although refused."""
        self._refused_timer = None
        for stored in self._value_order.take_due(_now(), self.is_current()):
            self._put(stored, is_trusted=True)
        self._notify()
        if self._value_order.has_refused():
            self._check_refused_later()

    def _may_be_gone(self, stored):
        if self._guard is None or stored.version > self._restored_revision:
            return False
        return self._guard.is_reappearance_suspect(stored.name, _now())

    def _remove(self, name):
        if self._guard and not self._guard.remove(name, _now()):
            log_message("mirror:removal_held", kind=self.kind, name=name)
            return
        self._drop(name)

    def _drop(self, name):
        held = self._object_by_name.pop(name, None)
        self._value_order.forget(name, held)
        if held is not None:
            self._full_change_set = None
            self._removed.append(name)
            self._reappeared.pop(name, None)
            if self._guard:
                self._guard.note_removed(name, _now())
            self._apply(name, 0, None)

    def _drop_due(self):
        if self._guard:
            for name in self._guard.take_due_removals(_now()):
                self._drop(name)

    def _notify(self):
        """Pass the changes since the last call to ``on_change``, if any."""
        if not self._updated and not self._removed:
            return
        change_set = ChangeSet(
            self.revision, self.changed_at, tuple(self._updated), tuple(self._removed)
        )
        self._updated = []
        self._removed = []
        for notify in self.on_change:
            notify(self, change_set)

    def _note_success(self):
        now = _now()
        if self._guard:
            self._guard.note_store_response(now)
        if self.is_lost:
            log_message(
                "mirror:regained", kind=self.kind, after_s=now - self._answered_at
            )
        self.is_lost = False
        self.has_answered = True
        self._backoff_s = FIRST_BACKOFF_S
        self._answered_at = now

    async def _note_failure(self, refusal):
        self._listed_revision = None
        if self._guard:
            self._guard.note_store_lost(_now())
        if not self.is_lost:
            self.is_lost = True
            log_message(
                "mirror:lost",
                level="warning",
                kind=self.kind,
                code=refusal.code.name,
                detail=refusal.detail,
            )
        backoff_s = self._backoff_s * random.uniform(0.5, 1.5)
        await asyncio.sleep(backoff_s)
        self._backoff_s = min(MAX_BACKOFF_S, self._backoff_s * 2)


def _now():
    return asyncio.get_running_loop().time()
