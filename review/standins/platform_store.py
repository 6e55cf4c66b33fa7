"""A stand-in of the platform's metadata store, as PROTOCOL.md describes it."""

import asyncio
import collections
import json
import time
import urllib.parse

import http_server

OBJECTS = "/sycamorespoke/objects/"
ANSWER_S = 0.004
PAGE = 500
HISTORY_S = 20.0


class Platform:
    """Stores objects by kind and name; all calls are linearizable."""

    def __init__(self):
        self.server = http_server.Server(self._handle)
        self.revision = 1
        self._objects = {}
        # Time, revision, kind and event of each change that is not forgotten.
        self._events = collections.deque()
        self._dropped_revision = 0
        self._changed = asyncio.Condition()

    async def start(self):
        """Listen."""
        await self.server.start()

    async def put(self, kind, name, spec):
        """Write an object, as the operator or a server does."""
        async with self._changed:
            return self._store(kind, name, spec)

    async def delete(self, kind, name):
        """Remove an object, as the operator or a server does."""
        async with self._changed:
            return self._remove(kind, name)

    def list_names(self, kind):
        """Return the names of the objects of a kind."""
        return sorted(name for each, name in self._objects if each == kind)

    async def _handle(self, request, channel):
        await asyncio.sleep(ANSWER_S)
        url = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(url.query))
        kind, _, name = url.path.removeprefix(OBJECTS).partition("/")
        body = json.loads(request.body) if request.body else None
        status, value = await self._answer(request.method, kind, name, query, body)
        headers = [("Content-Type", "application/json")]
        await channel.respond(status, headers, json.dumps(value).encode())

    async def _answer(self, method, kind, name, query, body):
        if method == "GET" and "Watch" in query:
            wait_s = int(query.get("WaitMs", 0)) / 1000
            return await self._watch(kind, int(query["Watch"]), wait_s)
        async with self._changed:
            if method == "GET" and not name:
                return 200, self._list(kind, query.get("after", ""))
            stored = self._objects.get((kind, name))
            if method == "GET":
                return (200, stored) if stored else (404, {})
            if method == "DELETE":
                return self._remove(kind, name)
            return self._write(method, kind, name, body)

    def _list(self, kind, after):
        names = [name for name in self.list_names(kind) if name > after]
        return {
            "items": [self._objects[kind, name] for name in names[:PAGE]],
            "HasMore": len(names) > PAGE,
            "StoreRevision": self.revision,
        }

    async def _watch(self, kind, revision, wait_s):
        def list_events():
            return [
                event
                for _, number, each, event in self._events
                if each == kind and number > revision
            ]

        async with self._changed:
            try:
                async with asyncio.timeout(wait_s):
                    await self._changed.wait_for(list_events)
            except TimeoutError:
                pass
            if revision < self._dropped_revision:
                return 410, {}
            return 200, {"Events": list_events(), "StoreRevision": self.revision}

    def _write(self, method, kind, name, body):
        metadata = body["Metadata"]
        stored = self._objects.get((kind, name or metadata["Name"]))
        if method == "POST":
            if stored:
                return 409, stored
            return 200, self._store(kind, metadata["Name"], body["Spec"])
        if not stored:
            return 404, {}
        wanted = metadata.get("Revision")
        if wanted is not None and wanted != stored["Metadata"]["Revision"]:
            return 409, stored
        return 200, self._store(kind, name, body["Spec"])

    def _store(self, kind, name, spec):
        stored = self._objects.get((kind, name))
        if stored and stored["Spec"] == spec:
            return stored
        self.revision += 1
        created = stored["Metadata"]["CreatedRev"] if stored else self.revision
        metadata = {
            "Name": name,
            "Revision": self.revision,
            "CreatedRev": created,
            "Finalizers": [],
            "Deleting": False,
        }
        stored = {"Metadata": metadata, "Spec": spec, "Status": None}
        self._objects[kind, name] = stored
        self._publish(kind, stored, False)
        return stored

    def _remove(self, kind, name):
        stored = self._objects.pop((kind, name), None)
        if stored is None:
            return 404, {}
        self.revision += 1
        self._publish(kind, stored, True)
        return 200, stored

    def _publish(self, kind, stored, is_deleted):
        event = {"Deleted": is_deleted, "Object": stored}
        now = time.monotonic()
        self._events.append((now, self.revision, kind, event))
        while now - self._events[0][0] > HISTORY_S:
            self._dropped_revision = self._events.popleft()[1]
        self._changed.notify_all()
