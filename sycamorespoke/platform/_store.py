"""Client of the platform's store of objects."""

import contextlib
import enum

import attrs
import msgspec
import urllib3

from sycamorespoke import gateway
from sycamorespoke.platform import _names, _objects

CONNECT_TIMEOUT_S = 0.5
READ_TIMEOUT_S = 1.5
# The answer to a watch may be this late beyond the time it was asked to wait.
WATCH_SLACK_S = 1.0
MAX_CONNECTIONS = 12
JSON_HEADERS = {"Content-Type": "application/json"}


class WriteOutcome(enum.Enum):
    """What became of a write."""

    APPLIED = "done"
    CONFLICT = "conflict"
    REJECTED = "not done"
    UNKNOWN = "unknown"


@attrs.frozen
class WriteResult:
    """The result of a write.

    Parameters
    ----------
    outcome : WriteOutcome
        What became of it.
    stored : StoredObject or None, default=None
        The object after it, or the other one on a conflict, where it was sent.
    reason : str, default=""
        Why it was not done.
    """

    outcome: WriteOutcome
    stored: object = None
    reason: str = ""


class ObjectStoreClient:
    """Lists, watches and changes objects; safe to share among threads.

    Parameters
    ----------
    address : str
        IP number and port of the store.
    """

    def __init__(self, address):
        host, _, port = address.rpartition(":")
        self._pool = urllib3.HTTPConnectionPool(
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
        gateway.Listing or gateway.Unavailable
            The objects as JSON values and the revision to watch from.
        """
        values = []
        after = None
        revision = None
        while True:
            fields = {} if after is None else {"after": after}
            page = self._send("GET", kind, fields=fields)
            if isinstance(page, gateway.Unavailable):
                return page
            try:
                # A watch from the first page's revision misses nothing.
                revision = page["StoreRevision"] if revision is None else revision
                values.extend(page["items"])
                if not page.get("HasMore"):
                    return gateway.Listing(tuple(values), revision)
                after = page["items"][-1]["Metadata"]["Name"]
            except (KeyError, IndexError, TypeError) as error:
                return gateway.Unavailable(f"malformed list: {error!r}")

    def watch(self, kind, revision, wait_s):
        """Wait for changes of a kind after a revision.

        Parameters
        ----------
        kind : str
            Kind of objects.
        revision : int
            Revision of the last list or watch.
        wait_s : float
            Longest wait, seconds, 0 to 30.

        Returns
        -------
        gateway.Changes, gateway.HistoryGone or gateway.Unavailable
            Changes may be empty.
        """
        fields = {"Watch": str(revision), "WaitMs": str(int(wait_s * 1000))}
        page = self._send("GET", kind, fields=fields, timeout_s=wait_s + WATCH_SLACK_S)
        if isinstance(page, gateway.Unavailable):
            return gateway.HistoryGone() if page.status == 410 else page
        try:
            changes = tuple(
                gateway.Change(event["Object"], bool(event.get("Deleted")))
                for event in page["Events"]
            )
            return gateway.Changes(changes, page["StoreRevision"])
        except (KeyError, TypeError) as error:
            return gateway.Unavailable(f"malformed changes: {error!r}")

    def read(self, kind, name):
        """Read one object.

        Returns
        -------
        StoredObject, None or gateway.Unavailable
            ``None`` if there is no such object.
        """
        page = self._send("GET", kind, name)
        if isinstance(page, gateway.Unavailable):
            return None if page.status == 404 else page
        return self._parse_object(page)

    def create(self, kind, name, spec):
        """Create an object.

        Returns
        -------
        WriteResult
            A conflict if it exists.
        """
        return self._write("POST", kind, "", {"Metadata": {"Name": name}, "Spec": spec})

    def replace(self, kind, name, spec, revision=None):
        """Replace what an object holds.

        Parameters
        ----------
        kind, name : str
            The object.
        spec : object
            JSON value.
        revision : int or None, default=None
            Only if the object still has this revision.

        Returns
        -------
        WriteResult
            A conflict if it has another revision.
        """
        meta = {"Name": name, "Finalizers": []}
        if revision is not None:
            meta["Revision"] = revision
        return self._write("PUT", kind, name, {"Metadata": meta, "Spec": spec})

    def delete(self, kind, name):
        """Delete an object.

        Returns
        -------
        WriteResult
            Done also if there was none.
        """
        return self._write("DELETE", kind, name, None)

    def _write(self, method, kind, name, value):
        body = None if value is None else msgspec.json.encode(value)
        page = self._send(method, kind, name, body=body)
        if not isinstance(page, gateway.Unavailable):
            return WriteResult(WriteOutcome.APPLIED, self._parse_object_or_none(page))
        if page.status == 409:
            return WriteResult(
                WriteOutcome.CONFLICT, self._parse_object_or_none(page.page)
            )
        if page.status == 404 and method == "DELETE":
            return WriteResult(WriteOutcome.APPLIED)
        done = WriteOutcome.UNKNOWN if page.status is None else WriteOutcome.REJECTED
        return WriteResult(done, reason=page.reason)

    def _parse_object_or_none(self, value):
        stored = self._parse_object(value)
        return None if isinstance(stored, gateway.Unavailable) else stored

    def _parse_object(self, value):
        try:
            return _objects.parse_object(value)
        except _objects.MalformedObjectError as error:
            return gateway.Unavailable(f"malformed object: {error}")

    def _send(self, method, kind, name="", body=None, fields=None, timeout_s=None):
        path = _names.OBJECTS_PATH + kind + (f"/{name}" if name else "")
        if fields:
            path += "?" + "&".join(f"{key}={text}" for key, text in fields.items())
        timeout = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_S, read=timeout_s or READ_TIMEOUT_S
        )
        try:
            response = self._pool.request(
                method, path, body=body, headers=JSON_HEADERS, timeout=timeout
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return gateway.Unavailable(f"no answer: {type(error).__name__}")
        return _decode_response(response)


def _decode_response(response):
    page = None
    with contextlib.suppress(msgspec.DecodeError):
        page = msgspec.json.decode(response.data) if response.data else None
    if response.status >= 300:
        reason = f"status {response.status}"
        return gateway.Unavailable(reason, status=response.status, page=page)
    if page is None and response.status != 204:
        return gateway.Unavailable("the answer is not JSON")
    return page
