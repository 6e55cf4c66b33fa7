"""Finds the contents that end the upstreams which process them.

An upstream that ends takes all its requests with it. Among their contents, the one
that ended it is the only one on which no response is ever completed.
"""

import collections

import attrs

from sycamorespoke.decisions import _crash_evidence


@attrs.frozen
class BrokenRequest:
    """A request that was at an upstream when the upstream ended.

    Parameters
    ----------
    upstream : str
        Boot ID of the upstream that ended, or its name.
    request : str
        Fingerprint of the request, equal for one that is sent again.
    contents : tuple of Content
        Its contents that may have ended the upstream and are not known to be sound:
        blocks in order, the request itself last.
    lost_s : float
        When its connection broke, seconds of the boot clock of the host that decides.
    has_boot_id : bool, default=True
        Whether ``upstream`` is a boot ID. Under a name, losses in different moments
        belong to different starts of the upstream.
    """

    upstream: str
    request: str
    contents: tuple[_crash_evidence.Content, ...]
    lost_s: float
    has_boot_id: bool = True


@attrs.frozen
class Suspicion:
    """The contents that most likely ended several upstreams.

    Parameters
    ----------
    content : Content
        The contents.
    is_contested : bool, default=False
        Whether another request was at as many of the upstreams, so that one more
        observation may decide between them.
    """

    content: _crash_evidence.Content
    is_contested: bool = False


def find_fatal_content(broken_requests, sound_contents, quarantined_contents):
    """Find the contents that most likely ended several upstreams.

    Parameters
    ----------
    broken_requests : iterable of BrokenRequest
        Observations of all hosts.
    sound_contents : collection of Content
        Contents on which some host has recently seen a complete response.
    quarantined_contents : collection of Content
        Contents that are known to end upstreams. They explain the end of every
        upstream at which a request with them was.

    Returns
    -------
    Suspicion or None
        ``None`` unless several upstreams ended under one request, or at different
        times under different requests with one block. A block is not suspected while
        one or two blocks that follow it in the prompts explain all of its ends.

    Examples
    --------
    >>> kind = _crash_evidence.ContentKind.REQUEST
    >>> bad = _crash_evidence.Content(kind, "a1")
    >>> broken = [BrokenRequest(f"i-{n}", "a1", (bad,), 0.1 * n) for n in range(3)]
    >>> find_fatal_content(broken, set(), set()).content.id
    'a1'
    >>> find_fatal_content(broken[:2], set(), set()) is None
    True
    >>> find_fatal_content(broken, set(), {bad}) is None
    True
    """
    broken_requests = _distinguish_starts(broken_requests)
    explained = {
        each.upstream
        for each in broken_requests
        if not set(quarantined_contents).isdisjoint(each.contents)
    }
    unexplained = (each for each in broken_requests if each.upstream not in explained)
    candidates = [
        each
        for each in _crash_evidence.collect_evidence(unexplained, sound_contents)
        if each.is_sufficient and not each.has_fatal_branches
    ]
    if not candidates:
        return None
    strongest = max(candidates, key=lambda each: each.rank)
    return Suspicion(strongest.content, _is_contested(strongest, candidates))


def discard_contents(broken_requests, contents):
    """Remove contents that are not suspected, and requests that have no others.

    Parameters
    ----------
    broken_requests : iterable of BrokenRequest
        The observations.
    contents : collection of Content
        Contents to remove.

    Returns
    -------
    list of BrokenRequest
        Observations that remain.
    """
    remaining = (
        attrs.evolve(
            broken,
            contents=tuple(each for each in broken.contents if each not in contents),
        )
        for broken in broken_requests
    )
    return [broken for broken in remaining if broken.contents]


def _distinguish_starts(broken_requests):
    """Replace the names of upstreams without boot IDs by those of their starts."""
    begun_s_by_upstream = {}
    counts_by_upstream = collections.Counter()
    numbered = []
    for broken in sorted(broken_requests, key=lambda each: each.lost_s):
        if broken.has_boot_id:
            numbered.append(broken)
            continue
        name = broken.upstream
        if (
            broken.lost_s - begun_s_by_upstream.get(name, float("-inf"))
            > _crash_evidence.MOMENT_S
        ):
            begun_s_by_upstream[name] = broken.lost_s
            counts_by_upstream[name] += 1
        start = f"{name} {counts_by_upstream[name]}"
        numbered.append(attrs.evolve(broken, upstream=start))
    return numbered


def _is_contested(strongest, candidates):
    return strongest.is_request and any(
        each.is_request
        and each is not strongest
        and len(each.upstreams) == len(strongest.upstreams)
        for each in candidates
    )
