"""Client of the platform's object store."""

import contextlib
import urllib.parse

import attrs
import msgspec
import urllib3

from sycamorespoke import clients, domain, gateway, objects, serving
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


@attrs.frozen
class _Reply:
    """JSON value of a response and the era that it states."""

    content: object
    era: int


@attrs.frozen
class _Failure(objects.Unavailable):
    """A response with an error status, and the era that it states."""

    era: int = 0


class ObjectStoreClient:
    """Lists, watches and changes objects; safe to share among threads.

    Parameters
    ----------
    address : str
        IP address and port of the store.

    Attributes
    ----------
    history : clients.StoreHistory
        What the responses show of the history of the store.
    """

    def __init__(self, address):
        self.history = clients.StoreHistory()
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
            reply = self._send("GET", kind, query=after and {"after": after})
            if isinstance(reply, objects.Unavailable):
                return reply
            page = reply.content
            try:
                # Objects may change between pages. A watch from the revision of the
                # first page sees all these changes.
                if revision is None:
                    revision = _read_revision(reply)
                    self.history.record_revision(revision, revision_before)
                if domain.get_era(revision) != reply.era:
                    return objects.Unavailable("the pages of a list are of two eras")
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
        era = domain.get_era(revision)
        if era != self.history.era:
            return self._find_gone(kind, revision)
        number = domain.get_number(revision)
        query = {"Watch": str(number), "WaitMs": str(int(wait_s * 1000))}
        revision_before = self.history.revision
        reply = self._send("GET", kind, query=query, timeout_s=wait_s + WATCH_SLACK_S)
        if isinstance(reply, objects.Unavailable):
            return self._find_gone(kind, revision) if reply.status == 410 else reply
        if reply.era != era:
            # These are changes since another revision with the same number.
            return self._find_gone(kind, revision)
        try:
            changes = tuple(
                objects.Change(event["Object"], bool(event.get("Deleted")))
                for event in clients.read_field(reply.content, "Events", list)
                # Of a change that cannot be read, nothing is known.
                if isinstance(event, dict) and event.get("Object") is not None
            )
            store_revision = _read_revision(reply)
            if self.history.record_revision(store_revision, revision_before):
                return self._find_gone(kind, revision)
            return objects.Changes(changes, store_revision)
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
        StoredObject, objects.Missing or objects.Unavailable
            The object, with revisions that include the era.
        """
        reply = self._send("GET", kind, name)
        if isinstance(reply, _Failure) and reply.status == 404:
            return objects.Missing(domain.make_revision(reply.era, 0))
        if isinstance(reply, objects.Unavailable):
            return reply
        return self._parse_object(reply.content)

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
            If the store has another era than the revision by the time of the write,
            it may have replaced another object; ``stored`` shows that.
        """
        meta = {"Name": name, "Finalizers": []}
        value = {"Metadata": meta, "Spec": spec}
        return self._write("PUT", kind, name, value, revision)

    def replace_status(self, kind, name, status, revision):
        """Replace the status of an object of a given revision, as `replace` does."""
        value = {"Metadata": {"Name": name}, "Status": status}
        return self._write("PUT", kind, f"{name}/status", value, revision)

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

    def _find_gone(self, kind, revision):
        self.history.record_gone(kind, revision)
        return objects.HistoryGone()

    def _write(self, method, kind, name, value, revision=None):
        if revision is not None:
            if domain.get_era(revision) != self.history.era:
                return clients.WriteResult(
                    clients.WriteOutcome.CONFLICT, reason="the store has another era"
                )
            value["Metadata"]["Revision"] = domain.get_number(revision)
        body = None if value is None else msgspec.json.encode(value)
        response = self._send(method, kind, name, body=body)
        if not isinstance(response, objects.Unavailable):
            return clients.WriteResult(
                clients.WriteOutcome.APPLIED,
                self._parse_object_or_none(response.content),
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
        try:
            era = self._record_era(response)
        except ValueError as error:
            return objects.Unavailable(str(error))
        if era < self.history.era:
            return objects.Unavailable("the response is of an earlier era")
        return _decode_response(response, era)

    def _record_era(self, response):
        """Return the era of a response; one that states none has the newest era."""
        text = response.headers.get(_names.STORE_ERA)
        if text is None:
            return self.history.era
        era = clients.parse_integer(text)
        if era is None or era > domain.MAX_ERA:
            raise ValueError("the era of the store cannot be read")
        self.history.record_era(era, serving.read_clock())
        return era


def _decode_response(response, era):
    content = None
    with contextlib.suppress(clients.MalformedDocumentError):
        if response.data:
            content = clients.salvage_document(response.data, DIVISIBLE_KEYS)
    _qualify_revisions(content, era)
    if response.status >= 300:
        reason = f"status {response.status}"
        return _Failure(reason, status=response.status, content=content, era=era)
    if content is None and response.status != 204:
        return objects.Unavailable("the response is not JSON")
    return _Reply(content, era)


def _read_revision(reply):
    """Return the revision of the store, which a response states.

    Raises
    ------
    clients.MalformedFieldError
        If it states none, or one out of range.
    """
    number = clients.read_field(reply.content, "StoreRevision", int)
    try:
        return domain.make_revision(reply.era, number)
    except ValueError as error:
        raise clients.MalformedFieldError(str(error)) from error


def _qualify_revisions(content, era):
    """Put the era into the revisions of all objects that a response contains."""
    if not isinstance(content, dict):
        return
    items, events = content.get("items"), content.get("Events")
    listed = items if isinstance(items, list) else []
    changed = events if isinstance(events, list) else []
    changed = [each.get("Object") for each in changed if isinstance(each, dict)]
    for value in (content, *listed, *changed):
        objects.qualify_revisions(value, era)
