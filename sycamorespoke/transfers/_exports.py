"""The queue of exports."""

import heapq
import itertools
import threading

import attrs

from sycamorespoke import domain


@attrs.frozen
class Export:
    """An export of the blocks of a prompt from an engine.

    Parameters
    ----------
    keys : tuple of str
        Keys of all full blocks of the prompt, in order.
    version : str
        Weight version that computed the blocks.
    upstream : domain.Host
        Engine that caches the blocks.
    is_repeated : bool
        Whether the prompt or a prefix of it has been seen before.
    queued_s : float
        Time of queueing, in seconds of the monotonic clock.
    """

    keys: tuple[str, ...]
    version: str
    upstream: domain.Host
    is_repeated: bool
    queued_s: float


class ExportQueue:
    """Queue of exports: repeated prompts first, then in order of arrival.

    Parameters
    ----------
    capacity : int
        Maximum number of queued exports, above 0. Beyond it, the newest export of
        the lowest priority is dropped.
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
        """Queue an export; drop the last in order if the queue is full."""
        with self._changed:
            rank = (not export.is_repeated, next(self._arrivals))
            heapq.heappush(self._heap, (rank, export))
            if len(self._heap) > self.capacity:
                self.dropped += 1
                self._heap.remove(max(self._heap, key=lambda pair: pair[0]))
                heapq.heapify(self._heap)
            self._changed.notify()

    def get(self):
        """Wait for the next export; return ``None`` once the queue is closed."""
        with self._changed:
            while not self._heap and not self._closed:
                self._changed.wait()
            return self._pop()

    def get_nowait(self):
        """Return the next export, or ``None`` if the queue is empty."""
        with self._changed:
            return self._pop()

    def _pop(self):
        return heapq.heappop(self._heap)[1] if self._heap else None

    def close(self):
        """Drop all queued exports and wake the threads that wait in `get`."""
        with self._changed:
            self._closed = True
            self._heap.clear()
            self._changed.notify_all()

    @property
    def is_closed(self):
        """Whether the queue is closed."""
        return self._closed
