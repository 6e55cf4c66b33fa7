"""Stand-in of the platform's metadata store, as the users' page describes it."""

import http.server
import json
import threading
import time
import urllib.parse

PREFIX = "/sycamorespoke/objects/"
LARGEST_WAIT_MS = 30_000


class Store:
    """Objects by kind and name, with one revision counter; thread-safe."""

    def __init__(self):
        self.revision = 1
        self.changed = threading.Condition()
        self.objects_by_kind = {}
        self.events = []

    def put(self, kind, name, spec):
        """Write an object as the operator or a server does."""
        with self.changed:
            known = self.objects_by_kind.get(kind, {}).get(name)
            if known is not None and known["Spec"] == spec:
                return
            self._set(kind, name, known, {"Spec": spec})

    def remove(self, kind, name):
        """Remove an object, if there is one."""
        with self.changed:
            known = self.objects_by_kind.get(kind, {}).pop(name, None)
            if known is None:
                return False
            self.revision += 1
            meta = {**known["Metadata"], "Revision": self.revision}
            self.events.append((self.revision, kind, {**known, "Metadata": meta}, True))
            self.changed.notify_all()
            return True

    def get_names(self, kind):
        """Return the names of the objects of a kind, as a list."""
        with self.changed:
            return list(self.objects_by_kind.get(kind, {}))

    def get_spec(self, kind, name):
        """Return the value of an object, ``None`` if there is none."""
        with self.changed:
            known = self.objects_by_kind.get(kind, {}).get(name)
            return None if known is None else known["Spec"]

    def handle(self, method, kind, name, query, body):
        """Return status and JSON value of the response to one call."""
        if method == "GET" and "Watch" in query:
            return self._watch(kind, query)
        with self.changed:
            known = self.objects_by_kind.get(kind, {}).get(name)
            if method == "GET":
                return self._read(kind, name, known)
            if method == "POST":
                return self._create(kind, body)
            is_status = name.endswith("/status")
            name = name.removesuffix("/status")
            known = self.objects_by_kind.get(kind, {}).get(name)
            return self._change(method, kind, name, known, body, is_status)

    def _read(self, kind, name, known):
        if name:
            return (404, {}) if known is None else (200, known)
        items = list(self.objects_by_kind.get(kind, {}).values())
        value = {"items": items, "HasMore": False, "StoreRevision": self.revision}
        return 200, value

    def _create(self, kind, body):
        name = body["Metadata"]["Name"]
        known = self.objects_by_kind.get(kind, {}).get(name)
        if known is not None:
            return 409, known
        return 200, self._set(kind, name, None, {"Spec": body.get("Spec")})

    def _change(self, method, kind, name, known, body, is_status):
        if known is None:
            return 404, {}
        wanted = (body or {}).get("Metadata", {}).get("Revision")
        if wanted is not None and wanted != known["Metadata"]["Revision"]:
            return 409, known
        if method == "DELETE":
            self.remove(kind, name)
            return 200, known
        key = "Status" if is_status else "Spec"
        if known[key] == body.get(key):
            return 200, known
        return 200, self._set(kind, name, known, {key: body.get(key)})

    def _set(self, kind, name, known, fields):
        self.revision += 1
        created = known["Metadata"]["CreatedRev"] if known else self.revision
        meta = {
            "Name": name,
            "Revision": self.revision,
            "CreatedRev": created,
            "Finalizers": [],
            "Deleting": False,
        }
        stored = {**(known or {"Spec": None, "Status": None}), **fields}
        stored["Metadata"] = meta
        self.objects_by_kind.setdefault(kind, {})[name] = stored
        self.events.append((self.revision, kind, stored, False))
        self.changed.notify_all()
        return stored

    def _watch(self, kind, query):
        since = int(query["Watch"])
        wait_s = min(int(query.get("WaitMs", 0)), LARGEST_WAIT_MS) / 1000
        until_s = time.monotonic() + wait_s
        with self.changed:
            while True:
                found = [
                    {"Object": value, "Deleted": is_deleted}
                    for revision, of_kind, value, is_deleted in self.events
                    if revision > since and of_kind == kind
                ]
                left_s = until_s - time.monotonic()
                if found or left_s <= 0:
                    value = {"Events": found, "StoreRevision": self.revision}
                    return 200, value
                self.changed.wait(left_s)


class StoreServer:
    """HTTP server of a `Store` on a loopback address."""

    def __init__(self, ip):
        self.store = Store()
        store = self.store

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def _serve(self):
                path, _, query = self.path.partition("?")
                query = dict(urllib.parse.parse_qsl(query))
                kind, _, name = path.removeprefix(PREFIX).partition("/")
                length = int(self.headers.get("Content-Length") or 0)
                body = json.loads(self.rfile.read(length)) if length else None
                status, value = store.handle(self.command, kind, name, query, body)
                content = json.dumps(value).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(content)))
                self.end_headers()
                self.wfile.write(content)

            do_GET = do_POST = do_PUT = do_DELETE = _serve  # noqa: N815

            def log_message(self, *args):
                pass

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, request, client_address):
                pass

        self._server = Server((ip, 0), Handler)
        self.address = f"{ip}:{self._server.server_address[1]}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()
