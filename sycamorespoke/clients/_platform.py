"""Client of the platform's object service."""

import json
import typing
import urllib.parse

import attrs
import msgspec
import urllib3

from sycamorespoke import world

CONNECT_TIMEOUT_S = 0.5
NO_LIST = "the platform does not list objects"


@attrs.frozen
class StoredObject:
    """An object as the platform holds it.

    Parameters
    ----------
    value : object
        Any JSON value; ``None`` in the answer to a write.
    version : int
        Version of the platform, above 0.
    """

    value: typing.Any
    version: int


@attrs.frozen
class Missing:
    """Sentinel: there is no object of that name."""

    reason: str = "no such object"


@attrs.frozen
class Unchanged:
    """Sentinel: a watch ended without a change."""

    reason: str = "the watch ended without a change"


@attrs.frozen
class Conflict:
    """Sentinel: the condition of a write failed and nothing was written."""

    reason: str = "another writer was first"


@attrs.frozen
class Unavailable:
    """Sentinel: the platform did not take the call; a write had no effect."""

    reason: str


@attrs.frozen
class Uncertain:
    """Sentinel: the answer to a write was lost; it may have taken effect."""

    reason: str


class PlatformClient:
    """Client of the platform's object service; safe to share among threads.

    Parameters
    ----------
    base_url : str
        ``"http://127.0.0.1:7000"``.
    timeout_s : float, default=2.0
        Longest wait for an answer in seconds, above 0; a watch waits longer by
        its own ``wait_s``.
    connections : int, default=8
        Connections kept open, 1 to 1000.

    Notes
    -----
    Methods return sentinel values with a reason in place of raising.
    """

    def __init__(self, base_url, timeout_s=2.0, connections=8):
        self.base_url = base_url
        self.timeout_s = timeout_s
        self.connections = connections
        self._pool = urllib3.PoolManager(maxsize=connections, retries=False)

    def get(self, name):
        """Read an object.

        Parameters
        ----------
        name : str
            Name of the object, may hold ``/``.

        Returns
        -------
        StoredObject or Missing or Unavailable
            The object or why there is none.
        """
        return self._read(self._object_url(name), self.timeout_s)

    def watch(self, name, after, wait_s):
        """Wait until the version of an object differs from the one known.

        Parameters
        ----------
        name : str
            Name of the object.
        after : int
            Version known, 0 for none.
        wait_s : float
            Longest wait, seconds, 0 to 60.

        Returns
        -------
        StoredObject or Unchanged or Missing or Unavailable
            The object as it is now, or why there is none.
        """
        query = urllib.parse.urlencode({"after": after, "wait": wait_s})
        url = f"{self._object_url(name)}?{query}"
        return self._read(url, self.timeout_s + wait_s)

    def put(self, name, value, version):
        """Write an object if its version is still the one known.

        Parameters
        ----------
        name : str
            Name of the object.
        value : object
            Any JSON value of at most 1,048,576 bytes.
        version : int
            Version that it must have; 0 if it must not exist yet.

        Returns
        -------
        StoredObject or Conflict or Unavailable or Uncertain
            ``StoredObject`` carries the new version and no value.
        """
        body = json.dumps(value).encode()
        return self._write("PUT", name, body, version)

    def delete(self, name, version):
        """Delete an object if its version is still the one known.

        Parameters
        ----------
        name : str
            Name of the object.
        version : int
            Version that it must have, above 0.

        Returns
        -------
        StoredObject or Missing or Conflict or Unavailable or Uncertain
            ``StoredObject`` with version 0 once it is deleted.
        """
        return self._write("DELETE", name, None, version)

    def list(self, prefix):
        """List the objects whose name starts with a prefix.

        Parameters
        ----------
        prefix : str
            Start of the names.

        Returns
        -------
        dict of str to int or Unavailable
            Versions by name.
        """
        query = urllib.parse.urlencode({"prefix": prefix})
        result = self._read(f"{self.base_url}/v1/objects?{query}", self.timeout_s)
        if not isinstance(result, StoredObject):
            return result if isinstance(result, Unavailable) else Unavailable(NO_LIST)
        try:
            return msgspec.convert(result.value, _ObjectList).versions_by_name
        except msgspec.ValidationError as error:
            return Unavailable(f"the platform's answer is malformed: {error}")

    def watch_hosts(self, after, wait_s):
        """Wait until the list of hosts has another revision than the one known.

        Parameters
        ----------
        after : int
            Revision known, 0 for none.
        wait_s : float
            Longest wait, seconds, 0 to 60.

        Returns
        -------
        world.HostList or Unchanged or Unavailable
            The list as the platform has it, which lags.
        """
        query = urllib.parse.urlencode({"after": after, "wait": wait_s})
        url = f"{self.base_url}/v1/hosts?{query}"
        result = self._read(url, self.timeout_s + wait_s)
        if not isinstance(result, StoredObject):
            return result
        try:
            return parse_host_list(result.value)
        except msgspec.ValidationError as error:
            return Unavailable(f"the platform's answer is malformed: {error}")

    def _object_url(self, name):
        return f"{self.base_url}/v1/objects/{urllib.parse.quote(name)}"

    def _read(self, url, timeout_s):
        response = self._send("GET", url, None, {}, timeout_s)
        if isinstance(response, Unavailable | Uncertain):
            return Unavailable(response.reason)
        if response.status == 304:
            return Unchanged()
        if response.status == 404:
            return Missing()
        if response.status != 200:
            return Unavailable(f"the platform answered {response.status}")
        try:
            return StoredObject(json.loads(response.data), _parse_version(response))
        except ValueError as error:
            return Unavailable(f"the platform's answer is malformed: {error}")

    def _write(self, method, name, body, version):
        headers = {"Content-Type": "application/json"}
        if version:
            headers["If-Match"] = f'"{version}"'
        else:
            headers["If-None-Match"] = "*"
        url = self._object_url(name)
        response = self._send(method, url, body, headers, self.timeout_s)
        if isinstance(response, Unavailable | Uncertain):
            return response
        if response.status == 412:
            return Conflict()
        if response.status == 404:
            return Missing()
        if response.status in (200, 201):
            return StoredObject(None, _parse_version(response))
        if response.status == 204:
            return StoredObject(None, 0)
        if response.status in (500, 502, 504):
            return Uncertain(f"the platform answered {response.status}")
        return Unavailable(f"the platform answered {response.status}")

    def _send(self, method, url, body, headers, timeout_s):
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=timeout_s)
        try:
            return self._pool.request(
                method, url, body=body, headers=headers, timeout=timeout
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            return Unavailable(f"cannot connect to the platform: {error}")
        except urllib3.exceptions.HTTPError as error:
            return Uncertain(f"the platform's answer was lost: {error}")


def parse_host_list(value):
    """Parse the platform's list of hosts.

    Parameters
    ----------
    value : dict
        The JSON value, as in docs/PROTOCOLS.md.

    Returns
    -------
    world.HostList
        The hosts by name, without those that are not described as expected: a
        role that this release does not know must not hide the other hosts.

    Raises
    ------
    msgspec.ValidationError
        For a value that is not a list of hosts.
    """
    listed = msgspec.convert(value, _HostList)
    hosts = [_parse_host(item) for item in listed.hosts]
    return world.HostList(
        listed.revision, {host.name: host for host in hosts if host is not None}
    )


class _ObjectList(msgspec.Struct):
    versions_by_name: dict[str, int]


class _HostList(msgspec.Struct):
    revision: int
    hosts: list[typing.Any]


def _parse_host(item):
    if not isinstance(item, dict):
        return None
    described = {key: value for key, value in item.items() if value is not None}
    try:
        return msgspec.convert(described, world.Host)
    except msgspec.ValidationError:
        return None


def _parse_version(response):
    return int(response.headers.get("ETag", '"0"').strip('"'))
