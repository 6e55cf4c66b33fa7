"""Choice of the engine for a prompt by expected wait and prompt affinity."""

import attrs

from sycamorespoke import decisions

# Engines in the ranking of a prompt of which the cheaper is taken.
RANKED_CHOICES = 2
# A prompt goes further down its ranking, at most so far, where these are overrun by
# more than this multiple of the mean wait.
MAX_RANKED_CHOICES = 8
OVERRUN_RATIO = 1.5
# Share of an engine's memory that is filled before requests have to wait for it.
USABLE_MEMORY_RATIO = 0.85
# Time in which the requests that fill an engine's memory end.
MEMORY_TURNOVER_S = 2.0


@attrs.frozen
class EngineCandidate:
    """An engine that is eligible for a request.

    Parameters
    ----------
    name : str
        Unique name.
    wait_s : float
        Expected time until the engine begins to read the prompt, seconds, 0 or more.
    slowness : float, default=1.0
        Time that the engine takes for the same work, as a multiple of that of an
        ordinary engine, above 0.
    is_near : bool, default=True
        Whether the engine is in this host's data centre.
    """

    name: str
    wait_s: float
    slowness: float = 1.0
    is_near: bool = True


@attrs.frozen
class WaitLimits:
    """How long a request may wait at an engine.

    Parameters
    ----------
    first_s : float
        Wait at the first engine of the ranking up to which the others are not
        considered, seconds.
    any_s : float
        Wait up to which engines further down the ranking are not considered, whatever
        the others' wait, seconds.
    """

    first_s: float
    any_s: float


def choose_engine(key, candidates, read_again_s, limits, far_s=0.0):
    """Choose the engine for a prompt.

    Each prompt has a ranking of the engines of its own, the same on all hosts, so that
    hosts with the same figures do not choose the same engine for different prompts.
    The first engine of the ranking probably has the prompt's shared blocks. It is left
    for the second where its wait is long and the wait that this saves is longer than
    reading the blocks again. The next two are considered only where these are much
    more loaded than the others, as for a prompt that is in great demand: under a load
    that is too high everywhere, more choices would read more blocks again, and all
    hosts would choose the few engines that seemed free half a second ago.

    Load answered: many hosts with sums of the load that are up to half a second old,
    and demand that is uneven over the prompts.

    Parameters
    ----------
    key : str
        Requests with the same key share blocks.
    candidates : sequence of EngineCandidate
        At least one.
    read_again_s : float
        Time that an ordinary engine takes to read the shared blocks, seconds.
    limits : WaitLimits
        How long the request may wait.
    far_s : float, default=0.0
        Wait that is accepted to avoid an engine in another data centre, seconds.

    Returns
    -------
    EngineCandidate
        The first of the ranking within ``limits.first_s``; else the cheaper of the
        first two that are not overrun; the cheaper of the first two if all are.

    Examples
    --------
    >>> limits = WaitLimits(first_s=0.1, any_s=0.5)
    >>> busy = [EngineCandidate("a", 0.3), EngineCandidate("b", 0.0)]
    >>> {choose_engine(str(n), busy, 0.1, limits).name for n in range(20)}
    {'b'}
    >>> even = [EngineCandidate("a", 0.05), EngineCandidate("b", 0.0)]
    >>> sorted({choose_engine(str(n), even, 0.1, limits).name for n in range(20)})
    ['a', 'b']
    """
    by_name = {candidate.name: candidate for candidate in candidates}
    ranked = [by_name[name] for name in decisions.rank_by_key(key, by_name)]

    def compute_cost(candidate):
        read_s = 0.0 if candidate is ranked[0] else read_again_s * candidate.slowness
        return candidate.wait_s + read_s + (0.0 if candidate.is_near else far_s)

    first = ranked[0]
    if first.wait_s <= limits.first_s and (first.is_near or not far_s):
        return first
    mean_wait_s = sum(candidate.wait_s for candidate in ranked) / len(ranked)
    limit_s = max(limits.any_s, mean_wait_s * OVERRUN_RATIO)
    for start in range(0, MAX_RANKED_CHOICES, RANKED_CHOICES):
        choices = ranked[start : start + RANKED_CHOICES]
        chosen = min(choices, key=compute_cost, default=first)
        if chosen.wait_s <= limit_s:
            return chosen
    return min(ranked[:RANKED_CHOICES], key=compute_cost)


def estimate_memory_wait_s(held_tokens, cache_tokens):
    """Estimate how long a request waits until an engine has memory for it.

    Parameters
    ----------
    held_tokens : float
        Tokens that the requests at the engine hold, this one included.
    cache_tokens : int
        Memory of the engine, tokens.

    Returns
    -------
    float
        Seconds, 0 while memory is free.

    Examples
    --------
    >>> estimate_memory_wait_s(50000.0, 100000), estimate_memory_wait_s(135000, 100000)
    (0.0, 1.0)
    """
    over_tokens = held_tokens - cache_tokens * USABLE_MEMORY_RATIO
    return max(over_tokens, 0.0) / cache_tokens * MEMORY_TURNOVER_S
