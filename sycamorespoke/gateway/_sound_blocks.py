"""Blocks of prompts on which this host has recently seen a complete response."""

import collections
import threading

MAX_BLOCKS = 10_000
# A success says nothing about an upstream that ends later than this after it.
MAX_AGE_S = 30.0


class SoundBlocks:
    """Times of the last complete responses by block; thread-safe."""

    def __init__(self):
        self._lock = threading.Lock()
        self._seen_s_by_block = collections.OrderedDict()

    def record(self, block_ids, now):
        """Record a complete response at ``now``, seconds of the boot clock.

        Parameters
        ----------
        block_ids : iterable of str
            Shared blocks of the prompt.
        now : float
            Current time, seconds of the boot clock.
        """
        with self._lock:
            for block_id in block_ids:
                self._seen_s_by_block[block_id] = now
                self._seen_s_by_block.move_to_end(block_id)
            while len(self._seen_s_by_block) > MAX_BLOCKS:
                self._seen_s_by_block.popitem(last=False)

    def select(self, block_ids, now):
        """Return those blocks that are sound at ``now``, as a set."""
        with self._lock:
            return {
                block_id
                for block_id in block_ids
                if now - self._seen_s_by_block.get(block_id, float("-inf")) <= MAX_AGE_S
            }
