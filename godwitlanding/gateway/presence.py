"""This VM's own object in the store, by which its peers find it."""

import asyncio
import random

import orjson
from eliot import log_message

from godwitlanding.base.codes import Code
from godwitlanding.base.kernel import Service
from godwitlanding.base.tasks import start_task

_FIRST_BACKOFF_S = 0.2
_MAX_BACKOFF_S = 2.0


class Presence(Service):
    """Writes where this VM is found, unless that stands there already.

    The object says nothing about whether the VM lives: peers learn that
    from each other, so that the store need not be written to all the time.
    """

    name = "presence"
    needs = ("peers",)

    def __init__(self, store, kind, identity):
        self._store = store
        self._kind = kind
        self._vm = identity.vm
        self._endpoint = {"host": identity.ip, "zone": identity.availability_zone}
        self._task = None
        self._is_written = False

    async def stop(self):
        """Write no longer; the object stays for the VM's next start."""
        if self._task:
            self._task.cancel()

    def note_stored_object(self, stored):
        """The store holds this object of the VM (``None``: none)."""
        if stored and orjson.loads(stored.value) == self._endpoint:
            self._is_written = True
            return
        self._is_written = False
        if self._task is None or self._task.done():
            version = stored.version if stored else 0
            self._task = start_task(self._write_until_done(version))

    async def _write_until_done(self, version):
        pause_s = _FIRST_BACKOFF_S
        while not self._is_written:
            answer = await self._store.put(
                self._kind, self._vm, orjson.dumps(self._endpoint), version
            )
            if answer.is_ok():
                log_message("presence:written", version=answer.unwrap())
                self._is_written = True
                return
            refusal = answer.unwrap_err()
            log_message("presence:not_written", code=refusal.code.name)
            if refusal.code is Code.VERSION_CONFLICT:
                version = await self._read_version(version)
            await asyncio.sleep(pause_s * random.uniform(0.5, 1.5))
            pause_s = min(_MAX_BACKOFF_S, pause_s * 2)

    async def _read_version(self, version):
        # A write whose answer was lost has taken effect, or the list that
        # this VM was told of is an old one.
        held = await self._store.get(self._kind, self._vm)
        if held.is_ok():
            stored = held.unwrap()
            self._is_written = orjson.loads(stored.value) == self._endpoint
            return stored.version
        return 0 if held.unwrap_err().code is Code.NOT_FOUND else version
