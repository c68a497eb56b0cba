"""A small stand-in of the users' metadata store, with faults to turn on.

It keeps objects in memory and speaks the store's protocol as its page has
it. ``faults`` say how it misbehaves: ``status`` answers every call with that
status, ``lose_answers`` does what is asked and then resets the connection,
``silent`` never answers, ``delay_s`` does what is asked late and
``delay_answer_s`` answers late, ``deaf`` lets watches hear nothing. It may
come back from an older copy (``take_copy``, ``come_back``); its revisions
then go back and are given out again. Lists that may be old are answered from
``old_copy`` where there is one.
"""

import asyncio
from types import SimpleNamespace
from typing import NamedTuple

from starlette.applications import Starlette
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from godwitlanding.tests.standins.listener import Listener, reset

PAGE_ITEMS = 3


class StoreCopy(NamedTuple):
    """What the store held at a revision."""

    revision: int
    object_by_name_by_kind: dict


class StandinStore:
    """The store's objects by kind and name, and who watches them."""

    def __init__(self, host, port):
        self.address = (host, port)
        self.revision = 1
        self.era = 0
        self.faults = SimpleNamespace(
            status=0,
            lose_answers=0,
            silent=False,
            delay_s=0.0,
            delay_answer_s=0.0,
            deaf=False,
        )
        self.old_copy = None
        # What the operator and the upstreams wrote last, ``None`` for removed.
        self._spec_by_key = {}
        self.calls = []
        # Bytes of the objects, or of the whole body, that each list and
        # watch is answered with in place of what is held.
        self.raw_items = []
        self.raw_body = b""
        self._object_by_name_by_kind = {}
        self._events = []
        self._oldest = 0
        self._changed = asyncio.Condition()
        self._cut = 0
        self._listener = Listener(self._make_app(), host, port)

    async def start(self):
        """Listen."""
        await self._listener.start()
        return self

    def crash(self):
        """Refuse connections and reset those that are open."""
        self._listener.crash()

    async def put(self, kind, name, spec):
        """Write as the operator or an upstream does."""
        self._spec_by_key[kind, name] = spec
        held = self._get_kind(kind).get(name)
        created = held["metadata"]["create_rev"] if held else self.revision + 1
        await self._write(kind, name, spec, created)

    async def remove(self, kind, name):
        """Remove an object as the platform does."""
        self._spec_by_key[kind, name] = None
        await self._remove(kind, name)

    async def forget_history(self):
        """Drop the history and cut every watch."""
        self._oldest = self.revision
        self._cut += 1
        async with self._changed:
            self._changed.notify_all()

    def take_copy(self):
        """Return a copy from which the store may come back."""
        kinds = self._object_by_name_by_kind.items()
        return StoreCopy(self.revision, {kind: dict(held) for kind, held in kinds})

    async def restore_copy(self, copy):
        """Lose all that was written since ``copy`` was taken; cut watches."""
        self.era += 1
        self.revision = copy.revision
        self._object_by_name_by_kind = copy.object_by_name_by_kind
        self._events = [event for event in self._events if event[0] <= copy.revision]
        self._cut += 1
        async with self._changed:
            self._changed.notify_all()

    async def rewrite_changed(self):
        """Write what the operator and the upstreams wrote and find changed."""
        for (kind, name), spec in list(self._spec_by_key.items()):
            if spec == self.get_spec(kind, name):
                continue
            if spec is None:
                await self._remove(kind, name)
            else:
                await self.put(kind, name, spec)

    def get_spec(self, kind, name):
        """Return what an object holds, ``None`` where there is none."""
        item = self._get_kind(kind).get(name)
        return item and item["spec"]

    def _get_kind(self, kind):
        return self._object_by_name_by_kind.setdefault(kind, {})

    async def _remove(self, kind, name):
        item = self._get_kind(kind).pop(name, None)
        if item:
            await self._tell(kind, item, True)

    async def _write(self, kind, name, spec, created):
        metadata = {
            "name": name,
            "rev": self.revision + 1,
            "create_rev": created,
            "finalizers": [],
            "deleting": False,
        }
        item = {"metadata": metadata, "spec": spec, "status": None}
        self._get_kind(kind)[name] = item
        await self._tell(kind, item, False)
        return item

    async def _tell(self, kind, item, removed):
        self.revision += 1
        if removed:
            # The removal is the object's last change.
            metadata = {**item["metadata"], "rev": self.revision}
            item = {**item, "metadata": metadata}
        self._events.append((self.revision, kind, {"object": item, "removed": removed}))
        async with self._changed:
            self._changed.notify_all()

    def _make_app(self):
        return Starlette(
            routes=[
                Route("/objects/{kind}", self._serve, methods=["GET", "POST"]),
                Route(
                    "/objects/{kind}/{name}",
                    self._serve,
                    methods=["GET", "PUT", "DELETE"],
                ),
            ]
        )

    async def _serve(self, request):
        answer = await self._find_answer(request)
        answer.headers["Store-Era"] = str(self.era)
        await asyncio.sleep(self.faults.delay_answer_s)
        return answer

    async def _find_answer(self, request):
        faults = self.faults
        kind = request.path_params["kind"]
        self.calls.append(
            (request.method, request.url.path, dict(request.query_params))
        )
        if faults.silent:
            await asyncio.Event().wait()
        if faults.status:
            return JSONResponse({}, status_code=faults.status)
        await asyncio.sleep(faults.delay_s)
        answer = await self._answer(request, kind)
        if faults.lose_answers:
            faults.lose_answers -= 1
            reset(request.scope["state"]["transport"])
        return answer

    async def _answer(self, request, kind):
        name = request.path_params.get("name")
        if self.raw_items or self.raw_body:
            return Response(self.raw_body or self._make_raw(request))
        if request.method == "POST":
            return await self._create(kind, await request.json())
        if name is None and "watch" in request.query_params:
            return await self._watch(kind, request)
        if name is None:
            return self._list(kind, request.query_params)
        held = self._get_kind(kind).get(name)
        if held is None:
            return JSONResponse({}, status_code=404)
        if request.method == "GET":
            return JSONResponse(held)
        return await self._change(request, kind, name, held)

    def _make_raw(self, request):
        if "watch" not in request.query_params:
            return b'{"items":[%b],"more":false,"store_revision":9}' % b",".join(
                self.raw_items
            )
        events = [b'{"removed":false,"object":%b}' % item for item in self.raw_items]
        return b'{"events":[%b],"store_revision":9}' % b",".join(events)

    async def _create(self, kind, body):
        name = body["metadata"]["name"]
        held = self._get_kind(kind).get(name)
        if held:
            return JSONResponse(held, status_code=409)
        return JSONResponse(
            await self._write(kind, name, body["spec"], self.revision + 1)
        )

    async def _change(self, request, kind, name, held):
        if request.method == "DELETE":
            wanted = request.query_params.get("rev")
            if wanted and int(wanted) != held["metadata"]["rev"]:
                return JSONResponse(held, status_code=409)
            await self._remove(kind, name)
            return JSONResponse(held)
        body = await request.json()
        wanted = body["metadata"].get("rev")
        if wanted and wanted != held["metadata"]["rev"]:
            return JSONResponse(held, status_code=409)
        if body["spec"] == held["spec"]:
            return JSONResponse(held)
        created = held["metadata"]["create_rev"]
        return JSONResponse(await self._write(kind, name, body["spec"], created))

    def _list(self, kind, query):
        held = self._get_kind(kind)
        if self.old_copy and "stale_ok" in query:
            held = self.old_copy.object_by_name_by_kind.get(kind, {})
        after = query.get("after", "")
        names = sorted(name for name in held if name > after)
        page = names[:PAGE_ITEMS]
        return JSONResponse(
            {
                "items": [held[name] for name in page],
                "more": len(names) > len(page),
                "store_revision": self.revision,
            }
        )

    async def _watch(self, kind, request):
        after = int(request.query_params["watch"])
        wait_s = int(request.query_params.get("wait_ms", 0)) / 1000
        cut = self._cut
        is_known = self._oldest <= after <= self.revision
        if not is_known and not self.faults.deaf:
            return JSONResponse({}, status_code=410)

        def find():
            if self.faults.deaf:
                return []
            return [e for rev, k, e in self._events if rev > after and k == kind]

        async with self._changed:
            try:
                async with asyncio.timeout(wait_s):
                    await self._changed.wait_for(lambda: find() or self._cut != cut)
            except TimeoutError:
                pass
        if self._cut != cut:
            reset(request.scope["state"]["transport"])
        return JSONResponse({"events": find(), "store_revision": self.revision})
