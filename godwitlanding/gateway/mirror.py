"""Keeps a kind of the store's objects in step: list, then watch.

Load pattern: the store is away, slow, or turns this VM away, all VMs at
once; then all of them come back. Each waits a random time that doubles up
to ``MAX_PAUSE_S``, so that they do not come back together.

A watch that was cut is not taken up from where it was: a store that has
dropped its history accepts the old revision, says nothing of the changes in
between, and tells that they are gone only with the next change. A VM would
go on sending to an evacuated zone for as long as nothing else happens there.
So after every failure the list is read again.
"""

import asyncio
import contextlib
import random

from eliot import log_message

from godwitlanding.codes import Code
from godwitlanding.kernel import Service

# The store holds a waiting watch for up to 30 s; each call is paid for.
WATCH_S = 20.0
FIRST_PAUSE_S = 0.1
MAX_PAUSE_S = 1.0
# Changes that come within this time are fetched by one call: a watch that
# returned is not repeated sooner. A quarter of the 2.5 s in which a change
# has to be in force.
GATHER_S = 0.6
# While the store is away one mirror asks for all. Should its answers alone
# be held up, the others ask again after this time.
OTHERS_PAUSE_S = 4.0


class Outage:
    """What the mirrors of a process share about a store that is away.

    Load pattern: every VM has several mirrors, and while the store is busy
    all of them ask again and again. One call in each pause tells as much as
    four, and a store that is short of calls recovers sooner.
    """

    def __init__(self):
        self._prober = None
        self._over = asyncio.Event()

    async def pause(self, mirror, pause_s):
        """Wait before ``mirror`` asks again."""
        if self._prober is None:
            self._prober = mirror
            self._over.clear()
        if self._prober is mirror:
            await asyncio.sleep(pause_s)
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(OTHERS_PAUSE_S):
                await self._over.wait()

    def end(self):
        """The store has answered a call."""
        self._prober = None
        self._over.set()


class Mirror(Service):
    """Follows one kind; ``apply(name, version, value)`` takes each object.

    A ``value`` of ``None`` says that the object is gone. ``guard`` may hold
    removals back (see ``decisions.lapse``).
    """

    needs = ("registry",)

    def __init__(self, store, kind, apply, guard=None, on_listed=None, outage=None):
        self.name = f"mirror-{kind}"
        self.kind = kind
        self._store = store
        self._apply = apply
        self._guard = guard
        self._on_listed = on_listed
        self._outage = outage or Outage()
        self._object_by_name = {}
        self._is_known = False
        self._task = None
        self._is_lost = False
        self._pause_s = FIRST_PAUSE_S
        self.answered_at = 0.0

    async def start(self, kernel):
        """Begin to follow."""
        self._task = asyncio.create_task(self._follow())

    async def stop(self):
        """Follow no longer."""
        self._task.cancel()

    def get_status(self):
        """Return whether the store answers and what is held."""
        return {"lost": self._is_lost, "objects": len(self._object_by_name)}

    def is_empty(self):
        """Tell whether nothing was learnt yet, from the store or a peer."""
        return not self._is_known

    def get_objects(self):
        """Return the objects that are held."""
        return list(self._object_by_name.values())

    def take_over(self, objects):
        """Take what a peer holds, unless the store has answered meanwhile."""
        if self._is_known:
            return
        for stored in objects:
            self._take(stored)
        self._note_known()

    def get_age_s(self):
        """Return the seconds since the store last answered or held a watch."""
        return _now() - self.answered_at if self._is_lost else 0.0

    async def _follow(self):
        revision = None
        while True:
            self._drop_due()
            if revision is None:
                revision = await self._list()
            else:
                revision = await self._watch(revision)

    async def _list(self):
        answer = await self._store.snapshot(self.kind)
        if answer.is_err():
            await self._fail(answer.unwrap_err())
            return None
        self._succeed()
        snapshot = answer.unwrap()
        names = set()
        for stored in snapshot.objects:
            names.add(stored.name)
            self._take(stored)
        for name in self._object_by_name.keys() - names:
            self._remove(name)
        self._note_known()
        return snapshot.version

    def _note_known(self):
        self._is_known = True
        if self._on_listed:
            self._on_listed()

    async def _watch(self, revision):
        wait_s = WATCH_S
        due = self._guard.get_next_time() if self._guard else None
        if due is not None:
            wait_s = max(0.1, min(wait_s, due - _now()))
        begun = _now()
        answer = await self._store.watch(self.kind, revision, wait_s)
        if answer.is_err():
            refusal = answer.unwrap_err()
            if refusal.code is Code.WATCH_EXPIRED:
                log_message("mirror:history_gone", kind=self.kind, revision=revision)
                self._succeed()
                return None
            await self._fail(refusal)
            return None
        self._succeed()
        batch = answer.unwrap()
        for event in batch.events:
            if event.deleted:
                self._remove(event.stored.name)
            else:
                self._take(event.stored)
        left_s = GATHER_S - (_now() - begun)
        if left_s > 0:
            await asyncio.sleep(left_s)
        return max(revision, batch.version)

    def _take(self, stored):
        if self._guard:
            self._guard.keep(stored.name)
        # A list may be answered from before what a watch already told.
        held = self._object_by_name.get(stored.name)
        if held and stored.version <= held.version:
            return
        self._object_by_name[stored.name] = stored
        self._apply(stored.name, stored.version, stored.value)

    def _remove(self, name):
        if self._guard and not self._guard.remove(name, _now()):
            log_message("mirror:removal_held", kind=self.kind, name=name)
            return
        self._drop(name)

    def _drop(self, name):
        if self._object_by_name.pop(name, None) is not None:
            self._apply(name, 0, None)

    def _drop_due(self):
        if self._guard:
            for name in self._guard.take_due(_now()):
                self._drop(name)

    def _succeed(self):
        now = _now()
        self._outage.end()
        if self._guard:
            self._guard.note_answer(now)
        if self._is_lost:
            log_message(
                "mirror:regained", kind=self.kind, after_s=now - self.answered_at
            )
        self._is_lost = False
        self._pause_s = FIRST_PAUSE_S
        self.answered_at = now

    async def _fail(self, refusal):
        if self._guard:
            self._guard.note_lost(_now())
        if not self._is_lost:
            self._is_lost = True
            log_message(
                "mirror:lost",
                level="warning",
                kind=self.kind,
                code=refusal.code.name,
                detail=refusal.detail,
            )
        pause_s = self._pause_s * random.uniform(0.5, 1.5)
        await self._outage.pause(self, pause_s)
        self._pause_s = min(MAX_PAUSE_S, self._pause_s * 2)


def _now():
    return asyncio.get_running_loop().time()
