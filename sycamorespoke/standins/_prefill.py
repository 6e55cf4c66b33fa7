"""Computation of prompts by an engine."""

from sycamorespoke import world
from sycamorespoke.standins import _cache, _runs


class Prefill:
    """Computes prompts one after another, less what the cache holds.

    Parameters
    ----------
    options : EngineOptions
        Options of the engine.
    cache : PrefixCache
        Its cache.
    counts : collections.Counter
        Counts of the engine.

    Notes
    -----
    Not synchronised: the caller holds its own lock.
    """

    def __init__(self, options, cache, counts):
        self.options = options
        self.cache = cache
        self.counts = counts
        self.reset()

    def reset(self):
        """Drop what is being computed, as a restart does."""
        self._idle_at = 0.0

    def begin(self, run, now):
        """Queue the computation of a prompt.

        Parameters
        ----------
        run : Run
            The request.
        now : float
            Present time, seconds of the monotonic clock.

        Returns
        -------
        tuple of (int, float)
            Cached tokens, and seconds until the rest is computed.
        """
        keys = run.value.get("block_keys", [])
        blocks = self.cache.find_prefix(keys)
        self._count_wrong_blocks(keys, blocks, run.version)
        prompt_tokens = _runs.count_prompt_tokens(run.value["prompt"])
        cached_tokens = min(len(blocks) * world.BLOCK_TOKENS, prompt_tokens)
        tokens = prompt_tokens - cached_tokens
        self.counts["prompt_tokens"] += prompt_tokens
        self.counts["computed_tokens"] += tokens
        start = max(now, self._idle_at)
        self._idle_at = start + tokens / self.options.prefill_tokens_per_s
        return cached_tokens, self._idle_at - now

    def store(self, run, now):
        """Cache the blocks of a prompt that has been computed."""
        for key in run.value.get("block_keys", []):
            block = self.cache.get(key) or _cache.CachedBlock(run.version)
            self.cache.add(key, block, now)

    def _count_wrong_blocks(self, keys, blocks, version):
        size = self.options.block_bytes
        pairs = zip(keys, blocks, strict=False)
        if not all(_cache.matches_key(block, key, size) for key, block in pairs):
            self.counts["runs_with_wrong_blocks"] += 1
        if any(block.version != version for block in blocks):
            self.counts["runs_with_other_version"] += 1
