"""Prefix cache of an engine and its events."""

import collections
import random
import time

import attrs
import xxhash

from sycamorespoke import domain

MAX_EVENTS = 20000
MAX_WAIT_S = 60.0
POLL_S = 0.05


@attrs.frozen
class CachedBlock:
    """Block in the cache.

    Parameters
    ----------
    version : str
        Weight version that the block was computed with.
    data : bytes or None, default=None
        Bytes of an imported block; None for a computed block, whose bytes are made
        when it is exported.
    """

    version: str
    data: bytes | None = None


@attrs.frozen
class CacheEvent:
    """Change of the set of cached blocks.

    Parameters
    ----------
    number : int
        Sequence number since the start of the engine, from 1.
    kind : str
        ``"stored"`` or ``"evicted"``.
    key : str
        Block key.
    at : float
        Monotonic time of the event, in seconds.
    """

    number: int
    kind: str
    key: str
    at: float


class PrefixCache:
    """Cache of blocks with least-recently-used eviction and an event log.

    Parameters
    ----------
    capacity : int
        Maximum number of blocks, 0 or more.

    Notes
    -----
    Not thread-safe; the caller holds a lock.
    """

    def __init__(self, capacity):
        self.capacity = capacity
        self.clear()

    def clear(self):
        """Discard all blocks and events, as a restart does."""
        self._blocks_by_key = collections.OrderedDict()
        self._events = collections.deque(maxlen=MAX_EVENTS)
        self._last_number = 0

    def get(self, key):
        """Return a block, or None; doesn't affect the eviction order."""
        return self._blocks_by_key.get(key)

    def find_prefix(self, keys):
        """Return the cached blocks of the longest cached prefix of ``keys``.

        The blocks become the most recently used ones.
        """
        blocks = []
        for key in keys:
            block = self._blocks_by_key.get(key)
            if block is None:
                break
            self._blocks_by_key.move_to_end(key)
            blocks.append(block)
        return blocks

    def add(self, key, block, now):
        """Add a block; evict the least recently used ones beyond the capacity."""
        is_new = key not in self._blocks_by_key
        self._blocks_by_key[key] = block
        self._blocks_by_key.move_to_end(key)
        if is_new:
            self._record("stored", key, now)
        while len(self._blocks_by_key) > self.capacity:
            evicted, _ = self._blocks_by_key.popitem(last=False)
            self._record("evicted", evicted, now)

    def list_events(self, after, before):
        """Return the events numbered above ``after`` that occurred by ``before``."""
        return [
            event
            for event in self._events
            if event.number > after and event.at <= before
        ]

    @property
    def last_number(self):
        """Number of the last event, or 0 without events."""
        return self._last_number

    def _record(self, kind, key, now):
        self._last_number += 1
        self._events.append(CacheEvent(self._last_number, kind, key, now))


def make_block_bytes(key, version, size):
    """Make the bytes of a block, which begin with its key and weight version.

    Parameters
    ----------
    key : str
        Block key.
    version : str
        Weight version that the block was computed with.
    size : int
        Number of bytes, at least 128.

    Returns
    -------
    bytes
        Bytes that only depend on the arguments.
    """
    header = f"{key} {version} ".encode()
    seed = xxhash.xxh3_64_intdigest(header)
    body = random.Random(seed).randbytes(max(0, size - len(header)))
    return header + body


def matches_key(block, key, size):
    """Return whether a block has the bytes that belong to its key and version."""
    if block.data is None:
        return True
    return block.data == make_block_bytes(key, block.version, size)


def encode_events(events, drop_every_n, reorder):
    """Encode events for the response, with the faults of the event log applied.

    Parameters
    ----------
    events : list of CacheEvent
        Events by number.
    drop_every_n : int
        Drop the events whose number is a multiple of this; 0 drops none.
    reorder : bool
        Whether to reverse the order.

    Returns
    -------
    list of dict
        As in docs/PROTOCOLS.md.
    """
    if drop_every_n:
        events = [event for event in events if event.number % drop_every_n]
    if reorder:
        events = events[::-1]
    return [
        {
            "number": event.number,
            "kind": event.kind,
            "key": event.key,
            "tokens": domain.BLOCK_TOKENS,
        }
        for event in events
    ]


def wait_for_events(cache, request, changed, faults):
    """Wait until there are events with a number above the request's ``after``.

    Parameters
    ----------
    cache : PrefixCache
        The cache.
    request : Request
        Request with the query parameters ``after`` and ``wait``.
    changed : threading.Condition
        Lock of the cache, which the caller holds.
    faults : dict
        Active faults.

    Returns
    -------
    list of dict
        Encoded events; empty after ``wait`` seconds without events.
    """
    after = int(request.get_number("after"))
    deadline_s = time.monotonic() + min(request.get_number("wait"), MAX_WAIT_S)
    while True:
        before = time.monotonic() - faults["late_s"]
        events = cache.list_events(after, before)
        is_timed_out = time.monotonic() >= deadline_s
        if events or is_timed_out or after > cache.last_number:
            return encode_events(events, faults["drop_every_n"], faults["reorder"])
        changed.wait(POLL_S)
