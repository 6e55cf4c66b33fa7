"""Stand-in for the platform's object service and host list."""

import collections
import json
import time
import urllib.parse

import attrs

from sycamorespoke.standins import _base, _wsgi

OBJECTS_PATH = "/v1/objects"
HOSTS_PATH = "/v1/hosts"
VALUE_LIMIT_BYTES = 1_048_576
MAX_WAIT_S = 60.0
DOWN_POLL_S = 0.25


@attrs.frozen
class PlatformOptions:
    """Options of the platform.

    Parameters
    ----------
    hosts : str, default=""
        Path of a JSON file with the initial host list; empty for no hosts.
    host_list_lag_s : float, default=0.0
        Seconds until a new host list becomes visible, 0 or more.
    """

    hosts: str = ""
    host_list_lag_s: float = 0.0


@attrs.frozen
class _Value:
    version: int
    body: bytes


@attrs.frozen
class _Copy:
    values_by_name: dict[str, _Value]
    version: int
    host_revisions: list


@attrs.frozen
class _HostRevision:
    visible_at: float
    revision: int
    hosts: list


class PlatformStandin(_base.Standin):
    """Object service of the platform, with conditional updates, and host list.

    Parameters
    ----------
    options : PlatformOptions, optional
        Options; the defaults if not given.

    Attributes
    ----------
    era : int
        How often it has come back from an older copy, stated in all responses.

    Notes
    -----
    Faults: with ``stale_reads``, a plain ``GET`` returns the previous version of an
    object; with ``silent_watches``, each watch ends with 304 even after a change.
    """

    FAULTS = {"stale_reads": False, "silent_watches": False}

    def __init__(self, options=None):
        super().__init__()
        self.options = options or PlatformOptions()
        self._values_by_name = {}
        self._previous_by_name = {}
        self._version = 0
        self.era = 0
        self._host_revisions = [_HostRevision(0.0, 0, [])]
        self._requests_by_kind = collections.Counter()
        self._writes_by_name = collections.Counter()
        if self.options.hosts:
            with open(self.options.hosts, encoding="utf-8") as file:
                self.set_hosts(json.load(file), lag_s=0.0)

    def set_hosts(self, hosts, lag_s=None):
        """Replace the host list.

        Parameters
        ----------
        hosts : list of dict or dict
            Hosts as in docs/PROTOCOLS.md, or a dict with that list as ``hosts``.
        lag_s : float, optional
            Seconds until the list becomes visible; by default, the option's value.
        """
        if isinstance(hosts, dict):
            hosts = hosts["hosts"]
        lag_s = self.options.host_list_lag_s if lag_s is None else lag_s
        with self._changed:
            self._version += 1
            visible_at = time.monotonic() + lag_s
            revision = _HostRevision(visible_at, self._version, hosts)
            self._host_revisions.append(revision)
            self._changed.notify_all()

    def copy(self):
        """Return a copy of all objects and the host list, for `restore`."""
        with self._changed:
            return _Copy(
                dict(self._values_by_name), self._version, list(self._host_revisions)
            )

    def restore(self, older):
        """Come back from an older copy: what was written since is gone.

        The next changes get versions that were given out before.

        Parameters
        ----------
        older : object
            A result of `copy`.
        """
        with self._changed:
            self._values_by_name = dict(older.values_by_name)
            self._previous_by_name = {}
            self._version = older.version
            self._host_revisions = list(older.host_revisions)
            self.era += 1
            self._changed.notify_all()

    def count(self):
        """Return the requests by kind and the writes by object name."""
        with self._changed:
            return {
                "writes": self._requests_by_kind["writes"],
                "reads": self._requests_by_kind["reads"],
                "watches": self._requests_by_kind["watches"],
                "conflicts": self._requests_by_kind["conflicts"],
                "writes_by_name": dict(self._writes_by_name),
            }

    def handle_down(self):
        """Return a 503, as the platform does while it is down."""
        return self._state_era(_wsgi.make_json_response(503, {"error": "down"}))

    def handle(self, request):
        """Handle a request."""
        return self._state_era(self._handle(request))

    def _state_era(self, response):
        headers = {**response.headers, "Store-Era": str(self.era)}
        return attrs.evolve(response, headers=headers)

    def _handle(self, request):
        if request.path == HOSTS_PATH:
            return self._handle_hosts(request)
        if request.path == OBJECTS_PATH:
            return self._list(request.query.get("prefix", ""))
        if request.path.startswith(OBJECTS_PATH + "/"):
            name = urllib.parse.unquote(request.path[len(OBJECTS_PATH) + 1 :])
            return self._handle_object(request, name)
        return _wsgi.make_json_response(404, {"error": "no such path"})

    def _handle_object(self, request, name):
        if request.method == "GET" and "after" in request.query:
            return self._watch(request, name)
        if request.method == "GET":
            return self._read(name)
        if request.method in ("PUT", "DELETE"):
            return self._write(request, name)
        return _wsgi.make_json_response(405, {"error": "no such method"})

    def _read(self, name):
        with self._changed:
            self._requests_by_kind["reads"] += 1
            value = self._values_by_name.get(name)
            if self.faults["stale_reads"]:
                value = self._previous_by_name.get(name, value)
            return _make_value_response(value)

    def _watch(self, request, name):
        after = int(request.get_number("after"))
        deadline_s = _compute_deadline_s(request)
        with self._changed:
            self._requests_by_kind["watches"] += 1
            while True:
                if self.faults["down"]:
                    return self.handle_down()
                value = self._values_by_name.get(name)
                version = value.version if value else 0
                is_silent = self.faults["silent_watches"]
                if version != after and not is_silent:
                    return _make_value_response(value)
                if not self._wait(deadline_s, request):
                    return _wsgi.Response(304)

    def _wait(self, deadline_s, request, wake_at=None):
        """Wait for a change, at most until ``wake_at``.

        Returns False after the deadline or when the caller has disconnected. May
        return True without a change.
        """
        now = time.monotonic()
        if now >= deadline_s or request.is_disconnected():
            return False
        wait_s = min(deadline_s - now, DOWN_POLL_S)
        if wake_at is not None:
            wait_s = min(wait_s, max(wake_at - now, 0.0))
        self._changed.wait(wait_s)
        return True

    def _write(self, request, name):
        if_match = request.get_header("If-Match")
        if not if_match and request.get_header("If-None-Match") != "*":
            return _wsgi.make_json_response(428, {"error": "a condition is required"})
        expected = _parse_etag(if_match) if if_match else 0
        if len(request.body) > VALUE_LIMIT_BYTES:
            return _wsgi.make_json_response(413, {"error": "the value is too large"})
        if request.method == "PUT":
            _check_json(request.body)
        with self._changed:
            self._requests_by_kind["writes"] += 1
            self._writes_by_name[name] += 1
            value = self._values_by_name.get(name)
            if request.method == "DELETE" and value is None:
                return _wsgi.make_json_response(404, {"error": "no such object"})
            if (value.version if value else 0) != expected:
                self._requests_by_kind["conflicts"] += 1
                return _wsgi.make_json_response(412, {"error": "the condition failed"})
            return self._store(request, name, value)

    def _store(self, request, name, value):
        self._version += 1
        if value is not None:
            self._previous_by_name[name] = value
        self._changed.notify_all()
        if request.method == "DELETE":
            del self._values_by_name[name]
            return _wsgi.Response(204)
        self._values_by_name[name] = _Value(self._version, request.body)
        headers = {"ETag": f'"{self._version}"'}
        return _wsgi.make_json_response(200, {"version": self._version}, headers)

    def _list(self, prefix):
        with self._changed:
            self._requests_by_kind["reads"] += 1
            versions_by_name = {
                name: value.version
                for name, value in sorted(self._values_by_name.items())
                if name.startswith(prefix)
            }
        return _wsgi.make_json_response(200, {"versions_by_name": versions_by_name})

    def _handle_hosts(self, request):
        if request.method == "PUT":
            value = json.loads(request.body or b"[]")
            self.set_hosts(value)
            return _wsgi.Response(204)
        after = int(request.get_number("after", -1))
        deadline_s = _compute_deadline_s(request)
        with self._changed:
            kind = "watches" if request.get_number("wait") else "reads"
            self._requests_by_kind[kind] += 1
            while True:
                if self.faults["down"]:
                    return self.handle_down()
                visible, wake_at = self._find_host_revision()
                is_silent = self.faults["silent_watches"] and kind == "watches"
                if visible.revision != after and not is_silent:
                    return _make_hosts_response(visible)
                if not self._wait(deadline_s, request, wake_at):
                    return _wsgi.Response(304)

    def _find_host_revision(self):
        now = time.monotonic()
        visible = self._host_revisions[0]
        for revision in self._host_revisions[1:]:
            if revision.visible_at > now:
                return visible, revision.visible_at
            visible = revision
        return visible, None


def _make_value_response(value):
    if value is None:
        return _wsgi.make_json_response(404, {"error": "no such object"})
    headers = {"ETag": f'"{value.version}"', "Content-Type": "application/json"}
    return _wsgi.Response(200, value.body, headers)


def _make_hosts_response(visible):
    headers = {"ETag": f'"{visible.revision}"'}
    value = {"revision": visible.revision, "hosts": visible.hosts}
    return _wsgi.make_json_response(200, value, headers)


def _compute_deadline_s(request):
    wait_s = min(request.get_number("wait"), MAX_WAIT_S)
    return time.monotonic() + wait_s


def _parse_etag(etag):
    try:
        return int(etag.strip().strip('"'))
    except ValueError:
        raise _wsgi.BadRequestError("the version is not a number") from None


def _check_json(body):
    try:
        json.loads(body)
    except ValueError as error:
        raise _wsgi.BadRequestError(f"the value is not JSON: {error}") from None
