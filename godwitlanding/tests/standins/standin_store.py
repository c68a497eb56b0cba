"""In-memory stand-in for the users' metadata store, with injectable faults.

It implements the store's documented protocol. ``faults`` has these settings:

- ``status``: respond to every call with this status.
- ``lose_answers``: for so many calls, execute the call, then reset the
  connection.
- ``silent``: never respond.
- ``delay_s``: delay the execution of a call.
- ``delay_answer_s``: delay the response.
- ``drop_events``: watches return no events.

The store can be restored from an older copy (``take_copy``,
``restore_copy``). Its revision then goes back, and later changes reuse the
same revisions. If ``old_copy`` is set, lists that accept stale data are
served from it.
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
    """The objects of the store at a revision."""

    revision: int
    object_by_name_by_kind: dict


class StandinStore:
    """The store's HTTP server and its objects by kind and name.

    ``calls`` has the method, path and query of each call received.
    """

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
            drop_events=False,
        )
        self.old_copy = None
        # The last spec written by the operator or an upstream, ``None`` if
        # the object was removed.
        self._spec_by_key = {}
        self.calls = []
        # Raw bytes of the objects, or of the whole body, that replace the
        # stored objects in the response to each list and watch.
        self.raw_items = []
        self.raw_body = b""
        self._object_by_name_by_kind = {}
        self._events = []
        self._history_start = 0
        self._changed = asyncio.Condition()
        self._watch_generation = 0
        self._listener = Listener(self._make_app(), host, port)

    async def start(self):
        """Start listening."""
        await self._listener.start()
        return self

    def crash(self):
        """Stop listening and reset all connections."""
        self._listener.crash()

    async def put(self, kind, name, spec):
        """Write an object as the operator or an upstream does."""
        self._spec_by_key[kind, name] = spec
        stored = self._get_kind(kind).get(name)
        create_rev = stored["metadata"]["create_rev"] if stored else self.revision + 1
        await self._write(kind, name, spec, create_rev)

    async def remove(self, kind, name):
        """Remove an object as the platform does."""
        self._spec_by_key[kind, name] = None
        await self._remove(kind, name)

    async def forget_history(self):
        """Drop the history and reset every watch."""
        self._history_start = self.revision
        self._watch_generation += 1
        async with self._changed:
            self._changed.notify_all()

    def take_copy(self):
        """Return a copy for ``restore_copy``."""
        kinds = self._object_by_name_by_kind.items()
        return StoreCopy(self.revision, {kind: dict(stored) for kind, stored in kinds})

    async def restore_copy(self, copy):
        """Discard all changes made since ``copy`` was taken; reset watches."""
        self.era += 1
        self.revision = copy.revision
        self._object_by_name_by_kind = copy.object_by_name_by_kind
        self._events = [event for event in self._events if event[0] <= copy.revision]
        self._watch_generation += 1
        async with self._changed:
            self._changed.notify_all()

    async def rewrite_changed(self):
        """Write again the specs that a restore has changed.

        The operator and the upstreams do this after a restore.
        """
        for (kind, name), spec in list(self._spec_by_key.items()):
            if spec == self.get_spec(kind, name):
                continue
            if spec is None:
                await self._remove(kind, name)
            else:
                await self.put(kind, name, spec)

    def get_spec(self, kind, name):
        """Return the spec of an object, ``None`` if it does not exist."""
        item = self._get_kind(kind).get(name)
        return item and item["spec"]

    def _get_kind(self, kind):
        return self._object_by_name_by_kind.setdefault(kind, {})

    async def _remove(self, kind, name):
        item = self._get_kind(kind).pop(name, None)
        if item:
            await self._publish(kind, item, True)

    async def _write(self, kind, name, spec, create_rev):
        metadata = {
            "name": name,
            "rev": self.revision + 1,
            "create_rev": create_rev,
            "finalizers": [],
            "deleting": False,
        }
        item = {"metadata": metadata, "spec": spec, "status": None}
        self._get_kind(kind)[name] = item
        await self._publish(kind, item, False)
        return item

    async def _publish(self, kind, item, removed):
        self.revision += 1
        if removed:
            # The removal counts as the last change of the object.
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
        response = await self._respond_with_faults(request)
        response.headers["Store-Era"] = str(self.era)
        await asyncio.sleep(self.faults.delay_answer_s)
        return response

    async def _respond_with_faults(self, request):
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
        response = await self._dispatch(request, kind)
        if faults.lose_answers:
            faults.lose_answers -= 1
            reset(request.scope["state"]["transport"])
        return response

    async def _dispatch(self, request, kind):
        name = request.path_params.get("name")
        if self.raw_items or self.raw_body:
            return Response(self.raw_body or self._make_raw(request))
        if request.method == "POST":
            return await self._create(kind, await request.json())
        if name is None and "watch" in request.query_params:
            return await self._watch(kind, request)
        if name is None:
            return self._list(kind, request.query_params)
        stored = self._get_kind(kind).get(name)
        if stored is None:
            return JSONResponse({}, status_code=404)
        if request.method == "GET":
            return JSONResponse(stored)
        return await self._modify(request, kind, name, stored)

    def _make_raw(self, request):
        if "watch" not in request.query_params:
            return b'{"items":[%b],"more":false,"store_revision":9}' % b",".join(
                self.raw_items
            )
        events = [b'{"removed":false,"object":%b}' % item for item in self.raw_items]
        return b'{"events":[%b],"store_revision":9}' % b",".join(events)

    async def _create(self, kind, body):
        name = body["metadata"]["name"]
        stored = self._get_kind(kind).get(name)
        if stored:
            return JSONResponse(stored, status_code=409)
        return JSONResponse(
            await self._write(kind, name, body["spec"], self.revision + 1)
        )

    async def _modify(self, request, kind, name, stored):
        if request.method == "DELETE":
            expected_rev = request.query_params.get("rev")
            if expected_rev and int(expected_rev) != stored["metadata"]["rev"]:
                return JSONResponse(stored, status_code=409)
            await self._remove(kind, name)
            return JSONResponse(stored)
        body = await request.json()
        expected_rev = body["metadata"].get("rev")
        if expected_rev and expected_rev != stored["metadata"]["rev"]:
            return JSONResponse(stored, status_code=409)
        if body["spec"] == stored["spec"]:
            return JSONResponse(stored)
        create_rev = stored["metadata"]["create_rev"]
        return JSONResponse(await self._write(kind, name, body["spec"], create_rev))

    def _list(self, kind, query):
        stored = self._get_kind(kind)
        if self.old_copy and "stale_ok" in query:
            stored = self.old_copy.object_by_name_by_kind.get(kind, {})
        after = query.get("after", "")
        names = sorted(name for name in stored if name > after)
        page = names[:PAGE_ITEMS]
        return JSONResponse(
            {
                "items": [stored[name] for name in page],
                "more": len(names) > len(page),
                "store_revision": self.revision,
            }
        )

    async def _watch(self, kind, request):
        after = int(request.query_params["watch"])
        wait_s = int(request.query_params.get("wait_ms", 0)) / 1000
        watch_generation = self._watch_generation
        is_in_history = self._history_start <= after <= self.revision
        if not is_in_history and not self.faults.drop_events:
            return JSONResponse({}, status_code=410)

        def find_events():
            if self.faults.drop_events:
                return []
            return [e for rev, k, e in self._events if rev > after and k == kind]

        async with self._changed:
            try:
                async with asyncio.timeout(wait_s):
                    await self._changed.wait_for(
                        lambda: find_events()
                        or self._watch_generation != watch_generation
                    )
            except TimeoutError:
                pass
        if self._watch_generation != watch_generation:
            reset(request.scope["state"]["transport"])
        return JSONResponse({"events": find_events(), "store_revision": self.revision})
