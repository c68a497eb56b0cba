"""What a VM knows of the store, handed to a peer that cannot read it.

A VM that starts while the store is away knows no configuration and no
upstream, and would answer 503 until the store is back, however long that
takes; after a power cut that is every VM of a zone. So it asks a peer that
it hears and that serves, takes what that holds, and goes on as if it had
listed it. The store's own list replaces it as soon as there is one, and an
older version never replaces a newer one.
"""

import asyncio
import random
from pathlib import Path

import capnp
from eliot import log_message

from godwitlanding.kernel import Service
from godwitlanding.store import StoredObject

_schema = capnp.load(str(Path(__file__).with_name("peer.capnp")))
# Between looks whether the store has answered meanwhile; a first list takes
# some 20 ms when it does.
LOOK_S = 0.4
# A peer of another region answers within 0.2 s.
FETCH_TIMEOUT_S = 1.5
# The largest object of the store is 1 MB; a configuration of 350 routes and
# 165 upstreams are less than a tenth of that.
MAX_BYTES = 16 << 20


def encode_handover(objects):
    """Return objects of the store as bytes."""
    message = _schema.Handover.new_message(
        objects=[stored._asdict() for stored in objects]
    )
    return message.to_bytes_packed()


def decode_handover(data):
    """Return the objects in ``data``; raises ``ValueError`` if none are."""
    try:
        message = _schema.Handover.from_bytes_packed(data)
        return [
            StoredObject(row.kind, row.name, row.version, bytes(row.value))
            for row in message.objects
        ]
    except (capnp.KjException, UnicodeDecodeError) as error:
        raise ValueError(f"not a handover: {error}") from None


class Handover(Service):
    """Serves what the mirrors hold; asks a peer where they hold nothing."""

    name = "handover"
    needs = ("peers", "registry")

    def __init__(self, identity, fleet, mirrors):
        self._identity = identity
        self._fleet = fleet
        self._mirror_by_kind = {mirror.kind: mirror for mirror in mirrors}
        self._server = None
        self._task = None

    async def start(self, kernel):
        """Listen, and ask until something is known."""
        self._server = await asyncio.start_server(
            self._serve, self._identity.ip, self._identity.peer_port
        )
        self._task = asyncio.create_task(self._ask_until_known())

    async def stop(self):
        """Serve no longer."""
        self._task.cancel()
        self._server.close()

    async def _serve(self, reader, writer):
        objects = [
            stored
            for mirror in self._mirror_by_kind.values()
            for stored in mirror.get_objects()
        ]
        writer.write(encode_handover(objects))
        try:
            await writer.drain()
        except ConnectionError as error:
            log_message("handover:not_taken", detail=repr(error))
        writer.close()

    async def _ask_until_known(self):
        while True:
            await asyncio.sleep(LOOK_S)
            if not any(mirror.is_empty() for mirror in self._mirror_by_kind.values()):
                return
            peers = self._fleet.get_usable("")
            if peers:
                await self._ask(random.choice(peers))

    async def _ask(self, peer):
        host = peer.address.partition(":")[0]
        try:
            async with asyncio.timeout(FETCH_TIMEOUT_S):
                data = await self._fetch(host)
            objects = decode_handover(data)
        except (OSError, TimeoutError, ValueError) as error:
            log_message(
                "handover:failed", level="warning", peer=peer.vm, detail=repr(error)
            )
            return
        taken = {}
        for kind, mirror in self._mirror_by_kind.items():
            if mirror.is_empty():
                own = [stored for stored in objects if stored.kind == kind]
                mirror.take_over(own)
                taken[kind] = len(own)
        log_message("handover:taken", peer=peer.vm, objects_by_kind=taken)

    async def _fetch(self, host):
        reader, writer = await asyncio.open_connection(host, self._identity.peer_port)
        try:
            data = await reader.read(MAX_BYTES)
            while more := await reader.read(MAX_BYTES - len(data)):
                data += more
            return data
        finally:
            writer.close()
