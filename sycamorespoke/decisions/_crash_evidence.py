"""What speaks against contents of requests at whose upstreams' ends they were."""

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
# If this many blocks that follow a block explain all the ends under it, they are the
# cause rather than the block, which sound requests may share.
MAX_FATAL_BRANCHES = 2


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


@attrs.define
class Evidence:
    """What speaks against contents.

    Parameters
    ----------
    content : Content
        The contents.
    upstreams : set of str
        Upstreams that ended while they had requests with the contents.
    requests : set of str
        Fingerprints of these requests.
    lost_times_s : list of float
        When the requests were lost, in seconds.
    position : int
        Last position of the contents in one of the requests.
    followers : list of (str, tuple of Content)
        For each request, its upstream and the contents that follow in it.
    """

    content: Content
    upstreams: set = attrs.field(factory=set)
    requests: set = attrs.field(factory=set)
    lost_times_s: list = attrs.field(factory=list)
    position: int = 0
    followers: list = attrs.field(factory=list)

    @property
    def is_request(self):
        """Whether the contents are a whole request."""
        return self.content.kind is ContentKind.REQUEST

    @property
    def is_sufficient(self):
        """Whether the ends of the upstreams are probably no chance."""
        if len(self.upstreams) < MIN_ENDED_UPSTREAMS:
            return False
        if self.is_request:
            # One request is at one upstream at a time, and goes to the next after that
            # has ended.
            return True
        has_requests = len(self.requests) >= MIN_BROKEN_REQUESTS
        return has_requests and _count_moments(self.lost_times_s) >= MIN_MOMENTS

    @property
    def has_fatal_branches(self):
        """Whether a few blocks that follow this one explain all the ends under it."""
        upstreams_by_branch = collections.defaultdict(set)
        for upstream, contents in self.followers:
            for content in contents:
                if content.kind is ContentKind.BLOCK:
                    upstreams_by_branch[content].add(upstream)
        branches = upstreams_by_branch.values()
        return _is_covered(self.upstreams, branches, MAX_FATAL_BRANCHES)

    @property
    def rank(self):
        """Sort key by which the most suspect contents come last."""
        # A block that many requests had may have been beside another cause each time.
        # The ID makes all hosts choose the same contents.
        return (
            len(self.upstreams),
            self.is_request,
            -len(self.requests),
            self.position,
            self.content.id,
        )


def collect_evidence(broken_requests, sound_contents):
    """Collect what speaks against the contents of some requests.

    Parameters
    ----------
    broken_requests : iterable of BrokenRequest
        Requests that were at an upstream when it ended.
    sound_contents : collection of Content
        Contents that are not suspected.

    Returns
    -------
    list of Evidence
        One for each suspected content.
    """
    evidence_by_content = {}
    for broken in broken_requests:
        suspected = [each for each in broken.contents if each not in sound_contents]
        for position, content in enumerate(suspected):
            evidence = evidence_by_content.setdefault(content, Evidence(content))
            evidence.upstreams.add(broken.upstream)
            evidence.requests.add(broken.request)
            evidence.lost_times_s.append(broken.lost_s)
            evidence.position = max(evidence.position, position)
            evidence.followers.append((broken.upstream, suspected[position + 1 :]))
    return list(evidence_by_content.values())


def _is_covered(upstreams, branches, limit):
    """Return whether so many of the branches together have all the upstreams."""
    if not upstreams:
        return True
    if limit == 0:
        return False
    # One of the branches must have this upstream.
    first = min(upstreams)
    return any(
        _is_covered(upstreams - branch, branches, limit - 1)
        for branch in branches
        if first in branch
    )


def _count_moments(times_s):
    """Return into how many spans of `MOMENT_S` some times fall."""
    count = 0
    begun_s = float("-inf")
    for time_s in sorted(times_s):
        if time_s - begun_s > MOMENT_S:
            begun_s = time_s
            count += 1
    return count
