"""The queue of blocks that are to be exported."""

import heapq
import itertools
import threading

import attrs

from sycamorespoke import world


@attrs.frozen
class Export:
    """The blocks of a prompt that an engine caches and no store holds.

    Parameters
    ----------
    keys : tuple of str
        Keys of all full blocks of the prompt, first to last.
    version : str
        Weight version that computed them.
    upstream : world.Host
        The engine.
    is_repeated : bool
        The prompt has come back before.
    queued_s : float
        When it was queued, seconds of the monotonic clock.
    """

    keys: tuple[str, ...]
    version: str
    upstream: world.Host
    is_repeated: bool
    queued_s: float


class ExportQueue:
    """Exports that wait, prompts that have come back first.

    Parameters
    ----------
    capacity : int
        Most exports that wait, above 0; beyond it the least urgent is dropped.
    """

    def __init__(self, capacity):
        self.capacity = capacity
        self._arrivals = itertools.count()
        self._heap = []
        self._changed = threading.Condition()
        self._closed = False
        self.dropped = 0

    def __len__(self):
        return len(self._heap)

    def put(self, export):
        """Queue an export, or drop the least urgent one."""
        with self._changed:
            rank = (not export.is_repeated, next(self._arrivals))
            heapq.heappush(self._heap, (rank, export))
            if len(self._heap) > self.capacity:
                self.dropped += 1
                self._heap.remove(max(self._heap, key=lambda pair: pair[0]))
                heapq.heapify(self._heap)
            self._changed.notify()

    def get(self):
        """Wait for the next export; None once the queue is closed."""
        with self._changed:
            while not self._heap and not self._closed:
                self._changed.wait()
            return self._pop()

    def take(self):
        """Return the next export, or None when nothing waits."""
        with self._changed:
            return self._pop()

    def _pop(self):
        return heapq.heappop(self._heap)[1] if self._heap else None

    def close(self):
        """Drop what waits and end each wait."""
        with self._changed:
            self._closed = True
            self._heap.clear()
            self._changed.notify_all()

    @property
    def is_closed(self):
        """Whether the queue is closed."""
        return self._closed
