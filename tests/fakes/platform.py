"""In-memory fake of `clients.PlatformClient` with fault injection."""

import json
import threading

from sycamorespoke import clients, domain
from sycamorespoke.claims import _layout


class FakePlatform:
    """Versioned objects in memory; thread-safe.

    Parameters
    ----------
    faults : iterable of str, default=()
        Outcomes of the next requests, except those for the layout of the claims.
        Once they are used up, requests succeed. ``"ok"``: success. ``"down"``: the
        platform is unavailable. ``"lost"``: a write takes effect, but its response
        is lost. ``"dropped"``: a write has no effect and its response is lost.
        ``"late"``: the response of a write is lost, and `land_late` applies the
        write. ``"stale"``: a read returns the previous version. ``"rival"``:
        `concurrent_writer` is called before a write takes effect. A read fails for
        ``"lost"``, ``"dropped"`` and ``"late"``.

    Attributes
    ----------
    is_down : bool
        Whether all requests fail.
    writes : int
        Number of writes that took effect.
    concurrent_writer : callable or None
        Called for the fault ``"rival"``.
    history : clients.StoreHistory
        Era of the store, as all its clients know it.
    """

    def __init__(self, faults=()):
        self.faults = list(faults)
        self.is_down = False
        self.writes = 0
        self.history = clients.StoreHistory()
        self._values_by_name = {}
        self._versions_by_name = {}
        self._version = 0
        self.concurrent_writer = None
        self._late_writes = []
        self._previous_by_name = {}
        self._lock = threading.Lock()

    def copy(self):
        """Return a copy of all objects, for `restore`."""
        with self._lock:
            return (
                self._version,
                self._values_by_name.copy(),
                dict(self._versions_by_name),
            )

    def restore(self, older, now=0.0):
        """Come back from an older copy, which gives versions out again."""
        with self._lock:
            self._version, values_by_name, numbers_by_name = older
            self._values_by_name = values_by_name.copy()
            self._versions_by_name = dict(numbers_by_name)
            self._previous_by_name = {}
            self.history.record_era(self.history.era + 1, now)

    def get(self, name):
        with self._lock:
            fault = self._next_fault(name)
            if fault == "stale":
                return self._previous_by_name.get(name, self._make_missing())
            if fault in ("ok", "rival"):
                return self._get(name)
            return clients.Unavailable(fault)

    def put(self, name, value, version):
        text = json.dumps(value)
        with self._lock:
            fault = self._next_fault(name)
        if fault == "rival":
            self.concurrent_writer()
        with self._lock:
            if fault == "down":
                return clients.Unavailable("down")
            if fault == "late":
                self._late_writes.append((name, text, version))
            if fault in ("dropped", "late"):
                return clients.Uncertain(fault)
            result = self._put(name, text, version)
            return clients.Uncertain(fault) if fault == "lost" else result

    def delete(self, name, version):
        with self._lock:
            fault = self._next_fault(name)
            if fault not in ("ok", "rival"):
                return clients.Unavailable(fault)
            if name not in self._values_by_name:
                return self._make_missing()
            if self._get_version(name) != version:
                return clients.Conflict()
            del self._values_by_name[name], self._versions_by_name[name]
            return clients.StoredObject(None, 0)

    def list(self, prefix):
        with self._lock:
            if self._next_fault() not in ("ok", "stale", "rival"):
                return clients.Unavailable("down")
            return {
                name: self._get_version(name)
                for name in self._versions_by_name
                if name.startswith(prefix)
            }

    def watch(self, name, after, wait_s):
        """Return the object if its version differs, without a wait."""
        if self.is_down:
            return clients.Unavailable("down")
        with self._lock:
            current = self._get(name)
        is_missing = isinstance(current, clients.Missing)
        version = 0 if is_missing and not after else current.version
        return current if version != after else clients.Unchanged()

    def land_late(self):
        """Apply the delayed writes whose preconditions still hold."""
        with self._lock:
            late_writes, self._late_writes = self._late_writes, []
            for name, text, version in late_writes:
                self._put(name, text, version)

    def get_value(self, name):
        with self._lock:
            return json.loads(self._values_by_name[name])

    def _next_fault(self, name=""):
        if self.is_down:
            return "down"
        if name == _layout.LAYOUT_NAME:
            return "ok"
        return self.faults.pop(0) if self.faults else "ok"

    def _get(self, name):
        if name not in self._values_by_name:
            return self._make_missing()
        value = json.loads(self._values_by_name[name])
        return clients.StoredObject(value, self._get_version(name))

    def _get_version(self, name):
        return domain.make_revision(self.history.era, self._versions_by_name[name])

    def _make_missing(self):
        return clients.Missing(version=domain.make_revision(self.history.era, 0))

    def _put(self, name, text, version):
        if version and domain.get_era(version) != self.history.era:
            return clients.Conflict()
        if self._versions_by_name.get(name, 0) != domain.get_number(version):
            return clients.Conflict()
        self._previous_by_name[name] = self._get(name)
        self._version += 1
        self.writes += 1
        self._values_by_name[name] = text
        self._versions_by_name[name] = self._version
        return clients.StoredObject(None, self._get_version(name))
