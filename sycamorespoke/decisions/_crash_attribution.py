"""Finds the block of prompts that ends the upstreams which begin a response on it.

An upstream that ends takes all its requests with it. Among their blocks, the one
that ended it is the only one on which no response is ever completed.
"""

import attrs

# One upstream that ends under a prompt, or two, may be chance.
MIN_ENDED_UPSTREAMS = 3
# Different prompts, so that a request that was sent again does not count anew.
MIN_BROKEN_PROMPTS = 3


@attrs.frozen
class BrokenPrompt:
    """A prompt whose response had begun when its upstream ended.

    Parameters
    ----------
    upstream : str
        Boot ID of the upstream that ended.
    prompt : str
        Hash of all blocks of the prompt, equal for a request that is sent again.
    blocks : tuple of str
        IDs of its shared blocks that are not known to be sound, in order.
    """

    upstream: str
    prompt: str
    blocks: tuple[str, ...]


@attrs.define
class _Evidence:
    """What speaks against one block; ``position`` is its last one in a prompt."""

    upstreams: set = attrs.field(factory=set)
    prompts: set = attrs.field(factory=set)
    position: int = 0

    @property
    def is_sufficient(self):
        return (
            len(self.upstreams) >= MIN_ENDED_UPSTREAMS
            and len(self.prompts) >= MIN_BROKEN_PROMPTS
        )


def find_fatal_block(broken_prompts, sound_blocks, quarantined_blocks):
    """Find the block that most likely ended several upstreams.

    Parameters
    ----------
    broken_prompts : iterable of BrokenPrompt
        Observations of all hosts.
    sound_blocks : collection of str
        Blocks on which some host has recently seen a complete response.
    quarantined_blocks : collection of str
        Blocks that are known to end upstreams. They explain the end of every
        upstream that had begun a response on one of them.

    Returns
    -------
    str or None
        ``None`` unless several upstreams ended under different prompts with the
        block. Among blocks with the same evidence it is the last one of a prompt,
        which fewer requests share.

    Examples
    --------
    >>> broken = [
    ...     BrokenPrompt(f"i-{n}", f"p{n}", ("system", "bad")) for n in range(3)
    ... ]
    >>> find_fatal_block(broken, {"system"}, set())
    'bad'
    >>> find_fatal_block(broken[:2], {"system"}, set()) is None
    True
    >>> find_fatal_block(broken, set(), {"bad"}) is None
    True
    """
    broken_prompts = list(broken_prompts)
    explained = {
        each.upstream
        for each in broken_prompts
        if not set(quarantined_blocks).isdisjoint(each.blocks)
    }
    evidence_by_block = {}
    for broken in broken_prompts:
        if broken.upstream not in explained:
            _add_evidence(evidence_by_block, broken, sound_blocks)
    candidates = [
        block for block, each in evidence_by_block.items() if each.is_sufficient
    ]
    return max(
        candidates,
        key=lambda block: _rank(block, evidence_by_block[block]),
        default=None,
    )


def discard_blocks(broken_prompts, blocks):
    """Remove blocks that are not suspected, and prompts of which none is left.

    Parameters
    ----------
    broken_prompts : iterable of BrokenPrompt
        The observations.
    blocks : collection of str
        Blocks to remove.

    Returns
    -------
    list of BrokenPrompt
        Observations that remain.
    """
    remaining = (
        attrs.evolve(
            broken,
            blocks=tuple(each for each in broken.blocks if each not in blocks),
        )
        for broken in broken_prompts
    )
    return [broken for broken in remaining if broken.blocks]


def _add_evidence(evidence_by_block, broken, sound_blocks):
    for position, block in enumerate(broken.blocks):
        if block in sound_blocks:
            continue
        evidence = evidence_by_block.setdefault(block, _Evidence())
        evidence.upstreams.add(broken.upstream)
        evidence.prompts.add(broken.prompt)
        evidence.position = max(evidence.position, position)


def _rank(block, evidence):
    # The ID makes all hosts choose the same one of several equal blocks.
    return len(evidence.upstreams), len(evidence.prompts), evidence.position, block
