"""A stand-in for the platform's metadata store, as PROTOCOL.md describes it."""

import asyncio
import json
from urllib.parse import parse_qs, unquote, urlsplit

PAGE_ITEMS = 500


class Store:
    """The objects by kind and name, behind the HTTP calls of the store.

    Endpoints write with ``put``; a write that is ``late`` gets no answer and
    is done that many seconds later (``platform_lost``, ``late``).
    """

    def __init__(self, record=None):
        self.revision = 100
        self.objects = {}
        self.events = []
        self.record = record or (lambda **fields: None)
        self._changed = asyncio.Condition()

    async def start(self, host):
        """Listen on a free port of ``host``; return the address."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        return "%s:%d" % self._server.sockets[0].getsockname()[:2]

    async def put(self, kind, name, spec, late=0.0):
        """Write an object as the operator or an endpoint does; then it is acked.

        With ``late`` the writer gets no answer in time (``TimeoutError``).
        """
        if late:
            asyncio.get_running_loop().call_later(
                late, lambda: asyncio.ensure_future(self._write(kind, name, spec))
            )
            await asyncio.sleep(1.0)
            raise TimeoutError("no answer of the store")
        return await self._write(kind, name, spec)

    async def remove(self, kind, name):
        """Remove an object."""
        item = self.objects.get(kind, {}).pop(name, None)
        if item:
            self.revision += 1
            gone = {**item, "metadata": {**item["metadata"], "rev": self.revision}}
            await self._publish(kind, gone, True)

    async def _write(self, kind, name, spec):
        held = self.objects.setdefault(kind, {}).get(name)
        if held and held["spec"] == spec:
            return held
        self.revision += 1
        metadata = {
            "name": name,
            "rev": self.revision,
            "create_rev": held["metadata"]["create_rev"] if held else self.revision,
            "finalizers": [],
            "deleting": False,
        }
        item = {"metadata": metadata, "spec": spec, "status": None}
        self.objects[kind][name] = item
        if kind == "servers":
            self.record(
                "stored", endpoint=name, state=spec["state"], seq=spec["seq"]
            )
        await self._publish(kind, item, False)
        return item

    async def _publish(self, kind, item, removed):
        self.events.append((self.revision, kind, {"object": item, "removed": removed}))
        async with self._changed:
            self._changed.notify_all()

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                length = int(headers.get("content-length", 0))
                body = await reader.readexactly(length) if length else b""
                status, value = await self._call(method, target, body)
                self._answer(writer, status, value)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            # Also when the script ends while a watch waits.
            pass
        finally:
            writer.close()

    def _answer(self, writer, status, value):
        data = json.dumps(value).encode()
        writer.write(
            b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
            b"Content-Length: %d\r\n\r\n%b" % (status, len(data), data)
        )

    async def _call(self, method, target, body):
        parts = urlsplit(target)
        query = {key: value[0] for key, value in parse_qs(parts.query).items()}
        path = [unquote(part) for part in parts.path.split("/")[2:]]
        kind, name = path[0], path[1] if len(path) > 1 else None
        held = self.objects.setdefault(kind, {})
        value = json.loads(body) if body else {}
        if method == "GET" and name is None and "watch" in query:
            return await self._watch(kind, query)
        if method == "GET" and name is None:
            names = sorted(n for n in held if n > query.get("after", ""))
            page = names[:PAGE_ITEMS]
            return 200, {
                "items": [held[n] for n in page],
                "more": len(names) > len(page),
                "store_revision": self.revision,
            }
        if method == "POST":
            name = value["metadata"]["name"]
            if name in held:
                return 409, held[name]
            return 200, await self._write(kind, name, value.get("spec"))
        if name not in held:
            return 404, {}
        if method == "GET":
            return 200, held[name]
        rev = query.get("rev") or value.get("metadata", {}).get("rev")
        if rev and int(rev) != held[name]["metadata"]["rev"]:
            return 409, held[name]
        if method == "DELETE":
            item = held[name]
            await self.remove(kind, name)
            return 200, item
        return 200, await self._write(kind, name, value.get("spec"))

    async def _watch(self, kind, query):
        after = int(query["watch"])
        wait_s = min(30.0, int(query.get("wait_ms", 0)) / 1000)

        def find():
            return [e for rev, k, e in self.events if rev > after and k == kind]

        async with self._changed:
            try:
                async with asyncio.timeout(wait_s):
                    await self._changed.wait_for(find)
            except TimeoutError:
                pass
        return 200, {"events": find(), "store_revision": self.revision}
