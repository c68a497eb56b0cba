"""Registers this VM's address in the store, so that its peers find it."""

import asyncio
import random

import orjson
from eliot import log_message

from godwitlanding.base.codes import Code
from godwitlanding.base.kernel import Service
from godwitlanding.base.tasks import Tasks

_FIRST_BACKOFF_S = 0.2
_MAX_BACKOFF_S = 2.0


class Presence(Service):
    """Writes this VM's address to the store unless it is there already.

    The object does not show whether the VM is alive. Peers detect that by
    gossip messages, which saves periodic writes to the store.
    """

    name = "presence"
    needs = ("peers",)

    def __init__(self, store, kind, identity):
        self._store = store
        self._kind = kind
        self._vm = identity.vm
        self._endpoint = {"host": identity.ip, "zone": identity.availability_zone}
        self.tasks = Tasks()
        self._task = None
        self._is_written = False

    async def stop(self):
        """Stop writing; the object is kept for the VM's next start."""
        await self.tasks.stop()

    def note_stored_object(self, stored):
        """Check the VM's object in the store (``None``: it has none)."""
        if stored and orjson.loads(stored.value) == self._endpoint:
            self._is_written = True
            return
        self._is_written = False
        if self._task is None or self._task.done():
            version = stored.version if stored else 0
            self._task = self.tasks.keep_running(self._write_until_done, version)

    async def _write_until_done(self, version):
        backoff_s = _FIRST_BACKOFF_S
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
            await asyncio.sleep(backoff_s * random.uniform(0.5, 1.5))
            backoff_s = min(_MAX_BACKOFF_S, backoff_s * 2)

    async def _read_version(self, version):
        # Either a write took effect although its response was lost, or the
        # list that held the version was stale.
        held = await self._store.get(self._kind, self._vm)
        if held.is_ok():
            stored = held.unwrap()
            self._is_written = orjson.loads(stored.value) == self._endpoint
            return stored.version
        return 0 if held.unwrap_err().code is Code.NOT_FOUND else version
