"""Copies of the store at earlier times, and the hosts that it listed then."""

import collections
import enum
import threading
import time

import attrs

from sycamorespoke.platform import _names

INTERVAL_S = 0.1
# Longer than the greatest age of a copy.
KEPT_S = 6.0


class Away(enum.Enum):
    """What becomes of calls of a store that is away."""

    REFUSED = "refused"
    RESET = "reset"
    UNAVAILABLE = "503"


@attrs.frozen
class HostList:
    """Hosts that have an entry in the store at a time.

    Parameters
    ----------
    at_s : float
        Monotonic time, in seconds.
    names : frozenset of str
        Their names.
    """

    at_s: float
    names: frozenset[str]


class CopyKeeper(threading.Thread):
    """Thread that copies a store again and again until it is stopped.

    Parameters
    ----------
    store : object_store.FakeObjectStore
        The store.

    Attributes
    ----------
    host_lists : list of HostList
        Hosts in each of the copies, also those that are not kept.
    """

    def __init__(self, store):
        super().__init__(daemon=True)
        self.store = store
        self.host_lists = []
        self.stop_requested = threading.Event()
        self._copies = collections.deque(maxlen=int(KEPT_S / INTERVAL_S))
        self._add()

    def run(self):
        """Copy the store until `stop_requested` is set."""
        while not self.stop_requested.wait(INTERVAL_S):
            self._add()

    def find(self, age_s):
        """Return the newest copy of at least an age, or the oldest one."""
        copies = list(self._copies)
        bound_s = time.monotonic() - age_s
        old = [each for at_s, each in copies if at_s <= bound_s]
        return old[-1] if old else copies[0][1]

    def _add(self):
        store_copy = self.store.copy()
        now = time.monotonic()
        self._copies.append((now, store_copy))
        names = {name for kind, name in store_copy.objects if kind == _names.KIND_HOSTS}
        self.host_lists.append(HostList(now, frozenset(names)))
