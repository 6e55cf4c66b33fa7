"""Client for the object service of the platform."""

import json
import time
import typing
import urllib.parse

import attrs
import msgspec
import urllib3

from sycamorespoke import domain
from sycamorespoke.clients import (
    _checked_http,
    _header_values,
    _host_lists,
    _json_documents,
    _store_history,
)

CONNECT_TIMEOUT_S = 0.5
STORE_ERA = "Store-Era"
LISTING_UNSUPPORTED = "the platform does not support listing objects"


@attrs.frozen
class StoredObject:
    """An object in the platform's store.

    Parameters
    ----------
    value : object
        Any JSON value; ``None`` in the result of a write.
    version : int
        Version assigned by the platform, above 0, with the era of the store; 0 in the
        result of a deletion.
    """

    value: typing.Any
    version: int


@attrs.frozen
class Missing:
    """Sentinel: the object does not exist.

    Parameters
    ----------
    reason : str
        Why it was not read.
    version : int, default=0
        Version that stands for its absence; 0 without eras.
    """

    reason: str = "no such object"
    version: int = 0


@attrs.frozen
class Unchanged:
    """Sentinel: the watch timed out without a change."""

    reason: str = "the watch timed out without a change"


@attrs.frozen
class Conflict:
    """Sentinel: the precondition of a write failed; nothing was written."""

    reason: str = "the object was changed by another writer"


@attrs.frozen
class Unavailable:
    """Sentinel: the request was not processed; a write had no effect."""

    reason: str


@attrs.frozen
class Uncertain:
    """Sentinel: the outcome of a write is unknown; it may have taken effect."""

    reason: str


@attrs.frozen
class _Reply:
    """A response, and the era that it states or, without one, the newest known."""

    response: typing.Any
    era: int


class PlatformClient:
    """Client for the object service of the platform; thread-safe.

    Parameters
    ----------
    base_url : str
        Base URL, such as ``"http://127.0.0.1:7000"``.
    timeout_s : float, default=2.0
        Read timeout, in seconds, above 0. A watch adds its ``wait_s``.
    connections : int, default=8
        Maximum number of idle connections, 1 to 1000.
    clock : callable, default=time.monotonic
        Returns the current monotonic time, in seconds.

    Attributes
    ----------
    history : StoreHistory
        What the responses show of the history of the store.

    Notes
    -----
    Methods return sentinel values with a reason instead of raising. All versions
    include the era of the store, see `domain.make_revision`.
    """

    def __init__(self, base_url, timeout_s=2.0, connections=8, clock=time.monotonic):
        self.base_url = base_url
        self.timeout_s = timeout_s
        self.connections = connections
        self.clock = clock
        self.history = _store_history.StoreHistory()
        self._pool = _checked_http.CheckedPoolManager(
            maxsize=connections, retries=False
        )

    def get(self, name):
        """Read an object.

        Parameters
        ----------
        name : str
            Name of the object; may contain ``/``.

        Returns
        -------
        StoredObject or Missing or Unavailable
            The object, or the reason why it was not read.
        """
        return self._read(self._object_url(name), self.timeout_s)

    def watch(self, name, after, wait_s):
        """Wait until the version of an object differs from a known version.

        Parameters
        ----------
        name : str
            Name of the object.
        after : int
            Known version; 0 if none is known. One of another era is never waited on.
        wait_s : float
            Maximum time to wait, in seconds, 0 to 60.

        Returns
        -------
        StoredObject or Unchanged or Missing or Unavailable
            The current object, or the reason why it was not read.
        """
        return self._watch(self._object_url(name), after, wait_s)

    def put(self, name, value, version):
        """Write an object if it still has the expected version.

        Parameters
        ----------
        name : str
            Name of the object.
        value : object
            Any JSON value of at most 1,048,576 bytes.
        version : int
            Version that the object must have; 0 if it must not exist.

        Returns
        -------
        StoredObject or Conflict or Unavailable or Uncertain
            ``StoredObject`` has the new version and no value.
        """
        body = json.dumps(value).encode()
        return self._write("PUT", name, body, version)

    def delete(self, name, version):
        """Delete an object if it still has the expected version.

        Parameters
        ----------
        name : str
            Name of the object.
        version : int
            Version that the object must have, above 0.

        Returns
        -------
        StoredObject or Missing or Conflict or Unavailable or Uncertain
            ``StoredObject`` with version 0 if the object was deleted.
        """
        return self._write("DELETE", name, None, version)

    def list(self, prefix):
        """List the objects whose names start with a prefix.

        Parameters
        ----------
        prefix : str
            Prefix of the names.

        Returns
        -------
        dict of str to int or Unavailable
            Versions by object name.
        """
        query = urllib.parse.urlencode({"prefix": prefix})
        result = self._read(f"{self.base_url}/v1/objects?{query}", self.timeout_s)
        if not isinstance(result, StoredObject):
            return (
                result
                if isinstance(result, Unavailable)
                else Unavailable(LISTING_UNSUPPORTED)
            )
        try:
            numbers_by_name = msgspec.convert(
                result.value, _ObjectList
            ).versions_by_name
            era = domain.get_era(result.version)
            return {
                name: domain.make_revision(era, number)
                for name, number in numbers_by_name.items()
            }
        except (msgspec.ValidationError, ValueError) as error:
            return Unavailable(f"malformed response from the platform: {error}")

    def watch_hosts(self, after, wait_s):
        """Wait until the revision of the host list differs from a known revision.

        Parameters
        ----------
        after : int
            Known revision; 0 if none is known.
        wait_s : float
            Maximum time to wait, in seconds, 0 to 60.

        Returns
        -------
        domain.HostList or Unchanged or Unavailable
            The current list of the platform, which may lag behind the actual hosts.
        """
        result = self._watch(f"{self.base_url}/v1/hosts", after, wait_s)
        if not isinstance(result, StoredObject):
            return result
        try:
            hosts = _host_lists.parse_host_list(result.value)
            era = domain.get_era(result.version)
            revision = domain.make_revision(era, hosts.revision)
            return attrs.evolve(hosts, revision=revision)
        except (msgspec.ValidationError, ValueError) as error:
            return Unavailable(f"malformed response from the platform: {error}")

    def _object_url(self, name):
        return f"{self.base_url}/v1/objects/{urllib.parse.quote(name)}"

    def _watch(self, url, after, wait_s):
        era = domain.get_era(after)
        if after and era != self.history.era:
            return self._read(url, self.timeout_s)
        query = urllib.parse.urlencode(
            {"after": domain.get_number(after), "wait": wait_s}
        )
        result = self._read(f"{url}?{query}", self.timeout_s + wait_s)
        if isinstance(result, Unchanged) and after and era != self.history.era:
            # The number stands for another change now.
            return self._read(url, self.timeout_s)
        return result

    def _read(self, url, timeout_s):
        reply = self._send("GET", url, None, {}, timeout_s)
        if isinstance(reply, Unavailable | Uncertain):
            return Unavailable(reply.reason)
        response = reply.response
        if response.status == 304:
            return Unchanged()
        if response.status == 404:
            return Missing(version=domain.make_revision(reply.era, 0))
        if response.status != 200:
            return Unavailable(f"the platform returned {response.status}")
        try:
            return StoredObject(
                _json_documents.decode_document(response.data), _parse_version(reply)
            )
        except ValueError as error:
            return Unavailable(f"malformed response from the platform: {error}")

    def _write(self, method, name, body, version):
        # Version 0 states that the object is missing now, in whichever era.
        if version and domain.get_era(version) != self.history.era:
            return Conflict("the store has another era than the version")
        number = domain.get_number(version)
        headers = {"Content-Type": "application/json"}
        if number:
            headers["If-Match"] = f'"{number}"'
        else:
            headers["If-None-Match"] = "*"
        url = self._object_url(name)
        reply = self._send(method, url, body, headers, self.timeout_s)
        if isinstance(reply, Unavailable | Uncertain):
            return reply
        is_other_era = number and reply.era != domain.get_era(version)
        if is_other_era and reply.response.status < 300:
            return Uncertain("the store came back from an older copy")
        return _parse_write(reply)

    def _send(self, method, url, body, headers, timeout_s):
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=timeout_s)
        try:
            response = self._pool.request(
                method, url, body=body, headers=headers, timeout=timeout
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            return Unavailable(f"cannot connect to the platform: {error}")
        except urllib3.exceptions.HTTPError as error:
            return Uncertain(f"no response from the platform: {error}")
        return self._qualify(response)

    def _qualify(self, response):
        text = response.headers.get(STORE_ERA)
        if text is None:
            return _Reply(response, self.history.era)
        era = _header_values.parse_integer(text)
        if era is None or era > domain.MAX_ERA:
            return Uncertain("the era of the store cannot be read")
        self.history.record_era(era, self.clock())
        if era < self.history.era:
            return Uncertain("the response is of an earlier era")
        return _Reply(response, era)


class _ObjectList(msgspec.Struct):
    versions_by_name: dict[str, int]


def _parse_write(reply):
    status = reply.response.status
    if status == 412:
        return Conflict()
    if status == 404:
        return Missing(version=domain.make_revision(reply.era, 0))
    if status in (200, 201):
        try:
            return StoredObject(None, _parse_version(reply))
        except ValueError as error:
            return Uncertain(f"malformed response from the platform: {error}")
    if status == 204:
        return StoredObject(None, 0)
    if status in (500, 502, 504):
        return Uncertain(f"the platform returned {status}")
    return Unavailable(f"the platform returned {status}")


def _parse_version(reply):
    number = int(reply.response.headers.get("ETag", '"0"').strip('"'))
    return domain.make_revision(reply.era, number)
