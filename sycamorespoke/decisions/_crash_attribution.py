"""Finds the contents that end the upstreams which process them.

An upstream that ends takes all its requests with it. Among their contents, the one
that ended it is the only one on which no response is ever completed.
"""

import collections
import enum

import attrs

# One upstream that ends under the same contents, or two, may be chance.
MIN_ENDED_UPSTREAMS = 3
# Different requests with a block, so that one that is sent again does not count anew.
MIN_BROKEN_REQUESTS = 3
# Upstreams that end within a moment may have one cause, such as the loss of a data
# centre. Hosts estimate the times of each other's observations.
MOMENT_S = 1.0
MIN_MOMENTS = 3


class ContentKind(enum.Enum):
    """What part of a request its contents are."""

    BLOCK = "block"
    REQUEST = "request"


@attrs.frozen
class Content:
    """Contents that several requests may have.

    Parameters
    ----------
    kind : ContentKind
        A block of a prompt, which different requests share, or a whole request, which
        is sent again.
    id : str
        ID of the block, or fingerprint of the request.
    """

    kind: ContentKind
    id: str


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
    contents: tuple[Content, ...]
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

    content: Content
    is_contested: bool = False


@attrs.define
class _Evidence:
    """What speaks against contents; ``position`` is their last one in a request."""

    content: Content
    upstreams: set = attrs.field(factory=set)
    requests: set = attrs.field(factory=set)
    lost_times_s: list = attrs.field(factory=list)
    position: int = 0

    @property
    def is_request(self):
        return self.content.kind is ContentKind.REQUEST

    @property
    def is_sufficient(self):
        if len(self.upstreams) < MIN_ENDED_UPSTREAMS:
            return False
        if self.is_request:
            # One request is at one upstream at a time, and goes to the next after that
            # has ended.
            return True
        has_requests = len(self.requests) >= MIN_BROKEN_REQUESTS
        return has_requests and _count_moments(self.lost_times_s) >= MIN_MOMENTS

    @property
    def rank(self):
        # With equal evidence, the contents that fewer requests have. The ID makes all
        # hosts choose the same ones.
        return (
            len(self.upstreams),
            self.is_request,
            len(self.requests),
            self.position,
            self.content.id,
        )


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
        times under different requests with one block.

    Examples
    --------
    >>> bad = Content(ContentKind.REQUEST, "a1")
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
    evidence_by_content = {}
    for broken in broken_requests:
        if broken.upstream not in explained:
            _add_evidence(evidence_by_content, broken, sound_contents)
    candidates = [each for each in evidence_by_content.values() if each.is_sufficient]
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
        if broken.lost_s - begun_s_by_upstream.get(name, float("-inf")) > MOMENT_S:
            begun_s_by_upstream[name] = broken.lost_s
            counts_by_upstream[name] += 1
        start = f"{name} {counts_by_upstream[name]}"
        numbered.append(attrs.evolve(broken, upstream=start))
    return numbered


def _add_evidence(evidence_by_content, broken, sound_contents):
    for position, content in enumerate(broken.contents):
        if content in sound_contents:
            continue
        evidence = evidence_by_content.setdefault(content, _Evidence(content))
        evidence.upstreams.add(broken.upstream)
        evidence.requests.add(broken.request)
        evidence.lost_times_s.append(broken.lost_s)
        evidence.position = max(evidence.position, position)


def _count_moments(times_s):
    """Return into how many spans of `MOMENT_S` some times fall."""
    count = 0
    begun_s = float("-inf")
    for time_s in sorted(times_s):
        if time_s - begun_s > MOMENT_S:
            begun_s = time_s
            count += 1
    return count


def _is_contested(strongest, candidates):
    return strongest.is_request and any(
        each.is_request
        and each is not strongest
        and len(each.upstreams) == len(strongest.upstreams)
        for each in candidates
    )
