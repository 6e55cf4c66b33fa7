"""Client of the platform's object store."""

import contextlib
import urllib.parse

import msgspec
import urllib3

from sycamorespoke import clients, gateway, objects
from sycamorespoke.platform import _names, _objects

CONNECT_TIMEOUT_S = 0.5
READ_TIMEOUT_S = 1.5
# Margin of the read timeout of a watch: without changes, the store responds only after
# the whole wait time.
WATCH_SLACK_S = 1.0
MAX_CONNECTIONS = 12
JSON_HEADERS = {"Content-Type": "application/json"}
# Lists of objects, and the objects in them: what is wrong with one costs that one.
DIVISIBLE_KEYS = frozenset({"items", "Events", "Object"})


class ObjectStoreClient:
    """Lists, watches and changes objects; safe to share among threads.

    Parameters
    ----------
    address : str
        IP address and port of the store.

    Attributes
    ----------
    history : objects.StoreHistory
        What the responses show of the history of the store.
    """

    def __init__(self, address):
        self.history = objects.StoreHistory()
        host, _, port = address.rpartition(":")
        self._pool = clients.ReplyPool(
            host,
            int(port),
            maxsize=MAX_CONNECTIONS,
            retries=False,
            socket_options=gateway.SOCKET_OPTIONS,
        )

    def list(self, kind):
        """List all objects of a kind.

        Parameters
        ----------
        kind : str
            Kind of objects.

        Returns
        -------
        objects.Listing or objects.Unavailable
            Objects as JSON values, and the revision from which to watch for changes.
        """
        values = []
        after = revision = None
        revision_before = self.history.revision
        while True:
            page = self._send("GET", kind, query=after and {"after": after})
            if isinstance(page, objects.Unavailable):
                return page
            try:
                # Objects may change between pages. A watch from the revision of the
                # first page sees all these changes.
                if revision is None:
                    revision = clients.read_field(page, "StoreRevision", int)
                    self.history.record_revision(revision, revision_before)
                values.extend(clients.read_field(page, "items", list))
            except clients.MalformedFieldError as error:
                return objects.Unavailable(f"malformed list: {error}")
            if not page.get("HasMore"):
                return objects.Listing(tuple(values), revision)
            names = [name for name in map(objects.get_name, page["items"]) if name]
            if not names or names[-1] == after:
                return objects.Unavailable("malformed list: a page without names")
            after = names[-1]

    def watch(self, kind, revision, wait_s):
        """Wait for changes to objects of a kind after a revision.

        Parameters
        ----------
        kind : str
            Kind of objects.
        revision : int
            Revision that the last list or watch returned.
        wait_s : float
            Longest time that the store waits for a change, seconds, 0 to 30.

        Returns
        -------
        objects.Changes, objects.HistoryGone or objects.Unavailable
            `objects.Changes` is empty if nothing changed within ``wait_s``.
            `objects.HistoryGone` if the store has discarded changes after
            ``revision``; the caller must list again.
        """
        query = {"Watch": str(revision), "WaitMs": str(int(wait_s * 1000))}
        revision_before = self.history.revision
        response = self._send(
            "GET", kind, query=query, timeout_s=wait_s + WATCH_SLACK_S
        )
        if isinstance(response, objects.Unavailable):
            if response.status != 410:
                return response
            self.history.record_gone(kind, revision)
            return objects.HistoryGone()
        try:
            changes = tuple(
                objects.Change(event["Object"], bool(event.get("Deleted")))
                for event in clients.read_field(response, "Events", list)
                # Of a change that cannot be read, nothing is known.
                if isinstance(event, dict) and event.get("Object") is not None
            )
            revision = clients.read_field(response, "StoreRevision", int)
            self.history.record_revision(revision, revision_before)
            return objects.Changes(changes, revision)
        except clients.MalformedFieldError as error:
            return objects.Unavailable(f"malformed changes: {error}")

    def read(self, kind, name):
        """Read one object.

        Parameters
        ----------
        kind, name : str
            Identify the object.

        Returns
        -------
        StoredObject, None or objects.Unavailable
            ``None`` if there is no such object.
        """
        response = self._send("GET", kind, name)
        if isinstance(response, objects.Unavailable):
            return None if response.status == 404 else response
        return self._parse_object(response)

    def create(self, kind, name, spec):
        """Create an object.

        Parameters
        ----------
        kind, name : str
            Identify the object.
        spec : object
            JSON value to store.

        Returns
        -------
        WriteResult
            A conflict if the object exists.
        """
        return self._write("POST", kind, "", {"Metadata": {"Name": name}, "Spec": spec})

    def replace(self, kind, name, spec, revision=None):
        """Replace the value of an existing object.

        Parameters
        ----------
        kind, name : str
            Identify the object.
        spec : object
            JSON value to store.
        revision : int or None, default=None
            Revision that the object must have; ``None`` for any.

        Returns
        -------
        WriteResult
            A conflict if the object has another revision; rejected if there is none.
        """
        meta = {"Name": name, "Finalizers": []}
        if revision is not None:
            meta["Revision"] = revision
        return self._write("PUT", kind, name, {"Metadata": meta, "Spec": spec})

    def replace_status(self, kind, name, status, revision):
        """Replace the status of an object of a given revision, as `replace` does."""
        value = {"Metadata": {"Name": name, "Revision": revision}, "Status": status}
        return self._write("PUT", kind, f"{name}/status", value)

    def delete(self, kind, name):
        """Delete an object.

        Parameters
        ----------
        kind, name : str
            Identify the object.

        Returns
        -------
        WriteResult
            Applied also if there was no such object.
        """
        return self._write("DELETE", kind, name, None)

    def _write(self, method, kind, name, value):
        body = None if value is None else msgspec.json.encode(value)
        response = self._send(method, kind, name, body=body)
        if not isinstance(response, objects.Unavailable):
            return clients.WriteResult(
                clients.WriteOutcome.APPLIED, self._parse_object_or_none(response)
            )
        if response.status == 409:
            return clients.WriteResult(
                clients.WriteOutcome.CONFLICT,
                self._parse_object_or_none(response.content),
            )
        if response.status == 404 and method == "DELETE":
            return clients.WriteResult(clients.WriteOutcome.APPLIED)
        outcome = (
            clients.WriteOutcome.UNKNOWN
            if response.status is None
            else clients.WriteOutcome.REJECTED
        )
        return clients.WriteResult(outcome, reason=response.reason)

    def _parse_object_or_none(self, value):
        stored = self._parse_object(value)
        return None if isinstance(stored, objects.Unavailable) else stored

    def _parse_object(self, value):
        try:
            return _objects.parse_object(value)
        except _objects.MalformedObjectError as error:
            return objects.Unavailable(f"malformed object: {error}")

    def _send(self, method, kind, name="", body=None, query=None, timeout_s=None):
        path = _names.OBJECTS_PATH + kind + (f"/{name}" if name else "")
        if query:
            path += "?" + urllib.parse.urlencode(query)
        timeout = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_S, read=timeout_s or READ_TIMEOUT_S
        )
        try:
            response = self._pool.request(
                method, path, body=body, headers=JSON_HEADERS, timeout=timeout
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return objects.Unavailable(f"no response: {type(error).__name__}")
        self.history.record_era(_parse_era(response))
        return _decode_response(response)


def _parse_era(response):
    return clients.parse_integer(response.headers.get(_names.STORE_ERA)) or 0


def _decode_response(response):
    content = None
    with contextlib.suppress(clients.MalformedDocumentError):
        if response.data:
            content = clients.salvage_document(response.data, DIVISIBLE_KEYS)
    if response.status >= 300:
        reason = f"status {response.status}"
        return objects.Unavailable(reason, status=response.status, content=content)
    if content is None and response.status != 204:
        return objects.Unavailable("the response is not JSON")
    return content
