"""Limit on the bytes that a process holds for others, all requests together."""

import collections
import enum
import threading

import loguru

from sycamorespoke.serving import _clock

# A response up to this size is always held, so that short ones are served while long
# ones are refused. The number of threads bounds their sum.
FREE_BYTES = 65_536
# Share of the budget that one owner may hold, so that none takes the room of all; what
# is up to ``FREE_BYTES`` long may take the rest.
OWNER_SHARE = 0.75
# At most one line on refusals in this time, seconds.
LOG_INTERVAL_S = 1.0


class ByteKind(enum.Enum):
    """What bytes are held for."""

    CONNECTIONS = "connections"
    REQUEST_HEADS = "request_heads"
    REQUEST_BODIES = "request_bodies"
    RESPONSE_BODIES = "response_bodies"
    CALLER_BUFFERS = "caller_buffers"


class ByteHold:
    """Bytes that are held for one request; released once they are not needed.

    Parameters
    ----------
    budget : ByteBudget
        Budget of the process.
    kind : ByteKind
        What they are held for.
    owner : str
        Who sends them: an upstream, or all callers of a port together.
    free_bytes : int, default=65536
        Size up to which it is always granted.
    """

    __slots__ = (
        "budget",
        "free_bytes",
        "is_owner_over",
        "is_released",
        "kind",
        "owner",
        "size_bytes",
    )

    def __init__(self, budget, kind, owner, free_bytes=FREE_BYTES):
        self.budget = budget
        self.kind = kind
        self.owner = owner
        self.free_bytes = free_bytes
        self.size_bytes = 0
        self.is_released = False
        # Whether it was refused because its owner holds too much already.
        self.is_owner_over = False

    def resize(self, size_bytes):
        """Hold this many bytes in all; return whether the budget allows it."""
        return self.budget.resize(self, size_bytes)

    def count_missing(self, size_bytes):
        """Return how many bytes others have to release before it can be resized."""
        return self.budget.count_missing(self, size_bytes)

    def release(self):
        """Hold nothing any more; may be called more than once."""
        self.budget.release(self)


class ByteBudget:
    """Limit on the sum of what is held for others; thread-safe.

    Parameters
    ----------
    limit_bytes : float, default=inf
        Maximum number of bytes that are held.
    """

    def __init__(self, limit_bytes=float("inf")):
        self.limit_bytes = limit_bytes
        self._lock = threading.Lock()
        self._held_by_owner = collections.Counter()
        self._held_bytes = 0
        self._refused_by_kind = collections.Counter()
        self._buffer_counters = []
        self._logged_s = float("-inf")
        self._unlogged_count = 0

    def open(self, kind, owner, free_bytes=FREE_BYTES):
        """Return a `ByteHold` of no bytes; parameters as there."""
        return ByteHold(self, kind, owner, free_bytes)

    def count_room(self):
        """Return how many bytes may still be held; below 0 if it is exceeded."""
        with self._lock:
            return self.limit_bytes - self._count_all()

    def count_missing(self, hold, size_bytes):
        """Count the bytes that lack for a hold, see `ByteHold.count_missing`."""
        with self._lock:
            return max(self._list_lacking(hold, size_bytes).values(), default=0)

    def add_buffers(self, count_bytes):
        """Count buffers towards callers, whose bytes a function returns."""
        self._buffer_counters.append(count_bytes)

    def resize(self, hold, size_bytes):
        """Change the size of a hold if the budget allows it, see `ByteHold.resize`."""
        with self._lock:
            lacking_by_bound = self._list_lacking(hold, size_bytes)
            hold.is_owner_over = "owner" in lacking_by_bound
            if lacking_by_bound:
                self._refuse(hold, size_bytes, lacking_by_bound)
                return False
            if not hold.is_released:
                self._set_size(hold, size_bytes)
            return True

    def release(self, hold):
        """Release a hold, see `ByteHold.release`."""
        with self._lock:
            hold.is_released = True
            self._set_size(hold, 0)

    def count_held(self):
        """Return the bytes that are held, by `ByteKind`."""
        with self._lock:
            held_by_kind = dict.fromkeys(ByteKind, 0)
            for (kind, _), held in self._held_by_owner.items():
                held_by_kind[kind] += held
        held_by_kind[ByteKind.CALLER_BUFFERS] = self._count_buffers()
        return held_by_kind

    def count_refused(self):
        """Return how often the budget refused to hold more, by `ByteKind`."""
        with self._lock:
            return {kind: self._refused_by_kind[kind] for kind in ByteKind}

    def _count_all(self):
        return self._held_bytes + self._count_buffers()

    def _list_lacking(self, hold, size_bytes):
        """Return the bytes that lack for a hold, by the bound that it exceeds."""
        extra_bytes = size_bytes - hold.size_bytes
        if extra_bytes <= 0 or size_bytes <= hold.free_bytes:
            return {}
        excess_by_bound = {
            "process": self._count_all() + extra_bytes - self.limit_bytes
        }
        if size_bytes > FREE_BYTES:
            held = self._held_by_owner[hold.kind, hold.owner] + extra_bytes
            excess_by_bound["owner"] = held - self.limit_bytes * OWNER_SHARE
        return {
            bound: excess for bound, excess in excess_by_bound.items() if excess > 0
        }

    def _count_buffers(self):
        return sum(count_bytes() for count_bytes in self._buffer_counters)

    def _set_size(self, hold, size_bytes):
        key = (hold.kind, hold.owner)
        extra_bytes = size_bytes - hold.size_bytes
        self._held_by_owner[key] += extra_bytes
        self._held_bytes += extra_bytes
        hold.size_bytes = size_bytes
        if not self._held_by_owner[key]:
            del self._held_by_owner[key]

    def _refuse(self, hold, size_bytes, lacking_by_bound):
        self._refused_by_kind[hold.kind] += 1
        self._unlogged_count += 1
        now = _clock.read_clock()
        if now < self._logged_s + LOG_INTERVAL_S:
            return
        loguru.logger.bind(
            kind=hold.kind.value,
            owner=hold.owner,
            size_bytes=size_bytes,
            held_bytes=int(self._count_all()),
            limit_bytes=self.limit_bytes,
            bound="owner" if "owner" in lacking_by_bound else "process",
            count=self._unlogged_count,
        ).info("bytes refused")
        self._logged_s = now
        self._unlogged_count = 0


def compute_held_bytes(memory_mb):
    """Compute how many bytes a process may hold for others.

    Parameters
    ----------
    memory_mb : float
        Memory limit of the process, megabytes.

    Returns
    -------
    int
        Bytes, of which each may be in memory twice.

    Examples
    --------
    >>> compute_held_bytes(150), compute_held_bytes(64)
    (27000000, 8000000)
    """
    return int(max((memory_mb - _PROCESS_MB) * _HELD_SHARE, _MIN_HELD_MB) * _MB)


# Code, threads, connections and the configuration, old and new at the same time.
_PROCESS_MB = 96.0
# A body is in memory twice while it is passed on.
_HELD_SHARE = 0.5
_MIN_HELD_MB = 8.0
_MB = 1_000_000
