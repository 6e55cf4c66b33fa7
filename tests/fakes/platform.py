"""A platform in memory that can be told to fail, with `PlatformClient`'s calls."""

import json
import threading

from sycamorespoke import clients
from sycamorespoke.claims import _layout


class FakePlatform:
    """Objects with versions; safe to share among threads.

    Parameters
    ----------
    faults : iterable of str, default=()
        What befalls the next calls for shards, one word each: ``"ok"``, ``"down"``,
        ``"lost"`` (takes effect, the answer is lost), ``"dropped"`` (no effect,
        the answer is lost), ``"late"`` (the answer is lost, and the write
        arrives with `land_late`), ``"stale"`` (a read sees the version before),
        ``"rival"`` (`concurrent_writer` is called before a write takes effect).
    """

    def __init__(self, faults=()):
        self.faults = list(faults)
        self.is_down = False
        self.writes = 0
        self._values_by_name = {}
        self._versions_by_name = {}
        self._version = 0
        self.concurrent_writer = None
        self._late = []
        self._previous_by_name = {}
        self._lock = threading.Lock()

    def get(self, name):
        with self._lock:
            fault = self._next_fault(name)
            if fault == "stale":
                return self._previous_by_name.get(name, clients.Missing())
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
                self._late.append((name, text, version))
            if fault in ("dropped", "late"):
                return clients.Uncertain(fault)
            result = self._put(name, text, version)
            return clients.Uncertain(fault) if fault == "lost" else result

    def land_late(self):
        with self._lock:
            late, self._late = self._late, []
            for name, text, version in late:
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
            return clients.Missing()
        value = json.loads(self._values_by_name[name])
        return clients.StoredObject(value, self._versions_by_name[name])

    def _put(self, name, text, version):
        if self._versions_by_name.get(name, 0) != version:
            return clients.Conflict()
        self._previous_by_name[name] = self._get(name)
        self._version += 1
        self.writes += 1
        self._values_by_name[name] = text
        self._versions_by_name[name] = self._version
        return clients.StoredObject(None, self._version)
