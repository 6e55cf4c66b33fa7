"""Choice of the store host for a block."""

import hashlib

import attrs

from sycamorespoke import world


@attrs.frozen
class StoreCandidate:
    """A store host that may take a block.

    Parameters
    ----------
    host : world.Host
        The store host.
    transfer_s : float
        Estimated time to move the block there, seconds.
    stored_blocks : int, default=0
        Earlier blocks of the same prompt that it holds.
    """

    host: world.Host
    transfer_s: float
    stored_blocks: int = 0


def choose_store(candidates, first_key):
    """Choose the store host for a block.

    Parameters
    ----------
    candidates : list of StoreCandidate
        Store hosts that may take it.
    first_key : str
        Key of the first block of its prompt.

    Returns
    -------
    StoreCandidate or None
        The one that holds the most earlier blocks of the prompt, then the one
        that is reached soonest, then by rendezvous hashing over the prompt.
    """
    if not candidates:
        return None

    def rank(candidate):
        text = f"{candidate.host.name} {first_key}"
        digest = hashlib.sha256(text.encode()).digest()
        return (-candidate.stored_blocks, round(candidate.transfer_s, 2), digest)

    return min(candidates, key=rank)
