"""The engine's prefix cache and its events."""

import collections
import random
import time

import attrs
import xxhash

from sycamorespoke import world

MAX_EVENTS = 20000
MAX_WAIT_S = 60.0
POLL_S = 0.05


@attrs.frozen
class CachedBlock:
    """A block in the cache.

    Parameters
    ----------
    version : str
        Weight version that computed it.
    data : bytes or None, default=None
        Its bytes if it was imported; a computed one is made when read.
    """

    version: str
    data: bytes | None = None


@attrs.frozen
class CacheEvent:
    """A cache event.

    Parameters
    ----------
    number : int
        Increases by 1 with each event of a boot.
    kind : str
        ``"stored"`` or ``"evicted"``.
    key : str
        Block key.
    at : float
        When it happened, seconds of the monotonic clock.
    """

    number: int
    kind: str
    key: str
    at: float


class PrefixCache:
    """Least recently used blocks up to a capacity, with events.

    Parameters
    ----------
    capacity : int
        Blocks, 0 or more.

    Notes
    -----
    Not synchronised: the caller holds its own lock.
    """

    def __init__(self, capacity):
        self.capacity = capacity
        self.clear()

    def clear(self):
        """Lose everything, as a restart does."""
        self._blocks_by_key = collections.OrderedDict()
        self._events = collections.deque(maxlen=MAX_EVENTS)
        self._last_number = 0

    def get(self, key):
        """Return a block or None, without marking it as used."""
        return self._blocks_by_key.get(key)

    def find_prefix(self, keys):
        """Return the blocks held at the start of a list of keys, as used now."""
        blocks = []
        for key in keys:
            block = self._blocks_by_key.get(key)
            if block is None:
                break
            self._blocks_by_key.move_to_end(key)
            blocks.append(block)
        return blocks

    def add(self, key, block, now):
        """Add a block and evict the least recently used ones beyond capacity."""
        is_new = key not in self._blocks_by_key
        self._blocks_by_key[key] = block
        self._blocks_by_key.move_to_end(key)
        if is_new:
            self._record("stored", key, now)
        while len(self._blocks_by_key) > self.capacity:
            evicted, _ = self._blocks_by_key.popitem(last=False)
            self._record("evicted", evicted, now)

    def list_events(self, after, before):
        """List events by number above ``after`` that happened by ``before``."""
        return [
            event
            for event in self._events
            if event.number > after and event.at <= before
        ]

    @property
    def last_number(self):
        """Number of the last event, 0 for none."""
        return self._last_number

    def _record(self, kind, key, now):
        self._last_number += 1
        self._events.append(CacheEvent(self._last_number, kind, key, now))


def make_block_bytes(key, version, size):
    """Make the bytes of a block, which tell its key and weight version.

    Parameters
    ----------
    key : str
        Block key.
    version : str
        Weight version that computed it.
    size : int
        Bytes, at least 128.

    Returns
    -------
    bytes
        The same for the same arguments.
    """
    head = f"{key} {version} ".encode()
    seed = xxhash.xxh3_64_intdigest(head)
    body = random.Random(seed).randbytes(max(0, size - len(head)))
    return head + body


def matches_key(block, key, size):
    """Return whether a cached block holds what its key names."""
    if block.data is None:
        return True
    return block.data == make_block_bytes(key, block.version, size)


def encode_events(events, drop_every_n, reorder):
    """Shape events as a faulty engine publishes them.

    Parameters
    ----------
    events : list of CacheEvent
        The events in order.
    drop_every_n : int
        Leaves out each event whose number this divides, 0 for none.
    reorder : bool
        Reverses their order.

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
            "tokens": world.BLOCK_TOKENS,
        }
        for event in events
    ]


def wait_for_events(cache, request, changed, faults):
    """Wait until there are events after the number that a request names.

    Parameters
    ----------
    cache : PrefixCache
        The cache.
    request : Request
        With the query parameters ``after`` and ``wait``.
    changed : threading.Condition
        Lock of the cache, held.
    faults : dict
        Faults in force.

    Returns
    -------
    list of dict
        Events as published; empty when the wait has passed.
    """
    after = int(request.number("after"))
    deadline = time.monotonic() + min(request.number("wait"), MAX_WAIT_S)
    while True:
        before = time.monotonic() - faults["late_s"]
        events = cache.list_events(after, before)
        is_over = time.monotonic() >= deadline
        if events or is_over or after > cache.last_number:
            return encode_events(events, faults["drop_every_n"], faults["reorder"])
        changed.wait(POLL_S)
