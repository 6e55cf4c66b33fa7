"""Prefill of prompts by an engine."""

from sycamorespoke import domain
from sycamorespoke.standins import _cache, _runs


class Prefill:
    """Simulates prefill: computes one prompt at a time, without its cached prefix.

    Parameters
    ----------
    options : EngineOptions
        Options of the engine.
    cache : PrefixCache
        Prefix cache of the engine.
    counts : collections.Counter
        Counts of the engine.

    Notes
    -----
    Not thread-safe; the caller holds a lock.
    """

    def __init__(self, options, cache, counts):
        self.options = options
        self.cache = cache
        self.counts = counts
        self.reset()

    def reset(self):
        """Discard the prompts being computed, as a restart does."""
        self._idle_at = 0.0

    def start(self, run, now):
        """Queue the prefill of a prompt and look up its cached prefix.

        Parameters
        ----------
        run : Run
            The request.
        now : float
            Current monotonic time, in seconds.

        Returns
        -------
        tuple of (int, float)
            Cached tokens, and seconds until the other tokens are computed.
        """
        keys = run.value.get("block_keys", [])
        blocks = self.cache.find_prefix(keys)
        self._count_wrong_blocks(keys, blocks, run.version)
        prompt_tokens = _runs.count_prompt_tokens(run.value["prompt"])
        cached_tokens = min(len(blocks) * domain.BLOCK_TOKENS, prompt_tokens)
        tokens = prompt_tokens - cached_tokens
        self.counts["prompt_tokens"] += prompt_tokens
        self.counts["computed_tokens"] += tokens
        start_at = max(now, self._idle_at)
        self._idle_at = start_at + tokens / self.options.prefill_tokens_per_s
        return cached_tokens, self._idle_at - now

    def cache_blocks(self, run, now):
        """Add the blocks of a computed prompt to the cache."""
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
