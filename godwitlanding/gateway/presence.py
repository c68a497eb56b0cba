"""This VM's own object in the store, by which its peers find it."""

import asyncio
import random

import orjson
from eliot import log_message

from godwitlanding.codes import Code
from godwitlanding.kernel import Service

_FIRST_PAUSE_S = 0.2
_MAX_PAUSE_S = 2.0


class Presence(Service):
    """Writes where this VM is found, and again if somebody removed it.

    The object says nothing about whether the VM lives: peers learn that
    from each other, so that the store need not be written to all the time.
    """

    name = "presence"
    needs = ("peers",)

    def __init__(self, store, kind, identity):
        self._store = store
        self._kind = kind
        self._identity = identity
        self._task = None

    async def start(self, kernel):
        """Begin to write."""
        self._task = asyncio.create_task(self._write_until_done())

    async def stop(self):
        """Write no longer; the object stays for the VM's next start."""
        self._task.cancel()

    def note_removed(self):
        """Somebody took this VM for gone: say again that it is here."""
        if self._task and self._task.done():
            self._task = asyncio.create_task(self._write_until_done())

    async def _write_until_done(self):
        value = orjson.dumps(
            {
                "host": self._identity.ip,
                "zone": self._identity.availability_zone,
            }
        )
        pause_s = _FIRST_PAUSE_S
        while not await self._write(value):
            await asyncio.sleep(pause_s * random.uniform(0.5, 1.5))
            pause_s = min(_MAX_PAUSE_S, pause_s * 2)

    async def _write(self, value):
        vm = self._identity.vm
        held = await self._store.get(self._kind, vm)
        version = 0
        if held.is_ok():
            if held.unwrap().value == value:
                return True
            version = held.unwrap().version
        elif held.unwrap_err().code is not Code.NOT_FOUND:
            return False
        answer = await self._store.put(self._kind, vm, value, version)
        if answer.is_err():
            refusal = answer.unwrap_err()
            log_message("presence:not_written", code=refusal.code.name)
            return False
        log_message("presence:written", version=answer.unwrap())
        return True
