"""Fake of the platform's object store, an HTTP server on a free port."""

import http.server
import json
import threading
import time
import urllib.parse

import attrs

OBJECTS_PATH = "/sycamorespoke/objects/"
# Stands for a value in the JSON of a response, before its own bytes take its place.
ENCODED_MARK = "encoded value "


@attrs.frozen
class StoreCopy:
    """Objects of a store at one revision, and the changes until then."""

    revision: int
    objects: dict
    events: list


class FakeObjectStore:
    """Stores objects by kind and name.

    Attributes
    ----------
    is_unavailable : bool
        Whether every request gets status 503.
    drops_responses : bool
        Whether the connection is closed, instead of a response, after a request is
        handled.
    era : int or None
        Era that all responses state; ``None`` for none.
    """

    def __init__(self, era=None):
        self.era = era
        self.revision = 1
        self.objects = {}
        self.events = []
        self._encoded_values = []
        self._restores = 0
        self.oldest_revision = 0
        self.is_unavailable = False
        self.drops_responses = False
        self.requests = []
        self.changed = threading.Condition()
        fake_store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def _serve(self):
                length = int(self.headers.get("Content-Length") or 0)
                body = json.loads(self.rfile.read(length)) if length else None
                # A watch that waits gives the lock up meanwhile.
                with fake_store.changed:
                    status, content = fake_store.handle(self.command, self.path, body)
                    era = fake_store.era
                if fake_store.drops_responses:
                    self.close_connection = True
                    return
                data = fake_store.encode(content)
                self.send_response(status)
                if era is not None:
                    self.send_header("Store-Era", str(era))
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            def log_message(self, *arguments):
                pass

        for method in ("GET", "POST", "PUT", "DELETE"):
            setattr(Handler, f"do_{method}", Handler._serve)

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True

            def handle_error(self, request, client_address):
                # A killed process closes the connections of its watches.
                pass

        self._server = Server(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self._server.server_address[1]}"
        self._thread = threading.Thread(
            target=self._server.serve_forever, kwargs={"poll_interval": 0.02}
        )
        self._thread.start()

    def close(self):
        self._server.shutdown()
        self._server.server_close()
        self._thread.join()

    def put(self, kind, name, spec):
        """Create or replace an object, as another writer would."""
        with self.changed:
            return self._store(kind, name, spec)

    def put_encoded(self, kind, name, data):
        """Create or replace an object whose value has the given bytes."""
        self._encoded_values.append(data)
        return self.put(kind, name, f"{ENCODED_MARK}{len(self._encoded_values)}.")

    def encode(self, content):
        """Return the bytes of a response."""
        data = json.dumps(content).encode()
        for number, value in enumerate(self._encoded_values, start=1):
            data = data.replace(f'"{ENCODED_MARK}{number}."'.encode(), value)
        return data

    def delete(self, kind, name):
        """Delete an object, as another writer would."""
        with self.changed:
            return self._remove(kind, name)

    def discard_history(self):
        """Discard all changes up to now; watches of older revisions get 410."""
        with self.changed:
            self.oldest_revision = self.revision
            self.changed.notify_all()

    def copy(self):
        """Return a copy of all objects and their revisions, to be restored."""
        with self.changed:
            return StoreCopy(self.revision, dict(self.objects), list(self.events))

    def restore(self, store_copy):
        """Come back from an older copy: what was written since is gone.

        Watches that wait end, and the next change gets a revision that had been given
        out before.
        """
        with self.changed:
            self.revision = store_copy.revision
            self.objects = dict(store_copy.objects)
            self.events = list(store_copy.events)
            self.oldest_revision = min(self.oldest_revision, self.revision)
            if self.era is not None:
                self.era += 1
            self._restores += 1
            self.changed.notify_all()

    def advance(self, revision):
        """Give out the revisions up to one, for changes that nobody reads."""
        with self.changed:
            self.revision = max(self.revision, revision)

    def handle(self, method, path, body):
        """Handle a request; return the status and the JSON value of the response."""
        self.requests.append((method, path))
        if self.is_unavailable:
            return 503, {}
        url = urllib.parse.urlsplit(path)
        query = dict(urllib.parse.parse_qsl(url.query))
        kind, _, name = url.path.removeprefix(OBJECTS_PATH).partition("/")
        with self.changed:
            if method == "GET" and "Watch" in query:
                return self._watch(kind, int(query["Watch"]), int(query["WaitMs"]))
            if method == "GET" and not name:
                return self._list(kind, query.get("after", ""))
            if method == "GET":
                stored = self.objects.get((kind, name))
                return (200, stored) if stored else (404, {})
            if method == "DELETE":
                return self._remove(kind, name)
            return self._write(method, kind, name, body)

    def _list(self, kind, after):
        names = sorted(
            name for stored_kind, name in self.objects if stored_kind == kind
        )
        names = [name for name in names if name > after]
        page = [self.objects[kind, name] for name in names[:2]]
        has_more = len(names) > 2
        return 200, {"items": page, "HasMore": has_more, "StoreRevision": self.revision}

    def _watch(self, kind, revision, wait_ms):
        deadline_s = time.monotonic() + wait_ms / 1000
        restores = self._restores
        while True:
            if self.is_unavailable or restores != self._restores:
                return 503, {}
            if not self.oldest_revision <= revision <= self.revision:
                return 410, {}
            events = [e for r, k, e in self.events if r > revision and k == kind]
            time_left_s = deadline_s - time.monotonic()
            if events or time_left_s <= 0:
                return 200, {"Events": events, "StoreRevision": self.revision}
            self.changed.wait(time_left_s)

    def _write(self, method, kind, name, body):
        name, _, part = (name or body["Metadata"]["Name"]).partition("/")
        stored = self.objects.get((kind, name))
        if method == "POST":
            if stored:
                return 409, stored
            return 200, self._store(kind, name, body["Spec"])
        if not stored:
            return 404, {}
        expected = body["Metadata"].get("Revision")
        if expected is not None and expected != stored["Metadata"]["Revision"]:
            return 409, stored
        if part == "status":
            return 200, self._store(kind, name, stored["Spec"], body["Status"])
        if stored["Spec"] == body["Spec"]:
            # Replacing a value by an equal one does not change the revision.
            return 200, stored
        return 200, self._store(kind, name, body["Spec"])

    def _store(self, kind, name, spec, status=None):
        self.revision += 1
        previous = self.objects.get((kind, name))
        created = previous["Metadata"]["CreatedRev"] if previous else self.revision
        metadata = {"Name": name, "Revision": self.revision, "CreatedRev": created}
        stored = {"Metadata": metadata, "Spec": spec, "Status": status}
        self.objects[kind, name] = stored
        self._publish(kind, stored, False)
        return stored

    def _remove(self, kind, name):
        stored = self.objects.pop((kind, name), None)
        if stored is None:
            return 404, {}
        self.revision += 1
        self._publish(kind, stored, True)
        return 200, stored

    def _publish(self, kind, stored, is_deleted):
        event = {"Object": stored, "Deleted": is_deleted}
        self.events.append((self.revision, kind, event))
        self.changed.notify_all()
