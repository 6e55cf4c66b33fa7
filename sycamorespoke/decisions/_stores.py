"""Choice of the block store that a block is exported to."""

import hashlib

import attrs

from sycamorespoke import domain


@attrs.frozen
class StoreCandidate:
    """A block store that may receive a block.

    Parameters
    ----------
    host : domain.Host
        Host of the store.
    transfer_s : float
        Estimated time to transfer the block to the store, seconds.
    stored_blocks : int, default=0
        Earlier blocks of the same prompt that are stored there.
    """

    host: domain.Host
    transfer_s: float
    stored_blocks: int = 0


def choose_store(candidates, first_key):
    """Choose the block store for a block.

    Parameters
    ----------
    candidates : list of StoreCandidate
        Eligible stores.
    first_key : str
        Key of the first block of the prompt.

    Returns
    -------
    StoreCandidate or None
        The store with the most earlier blocks of the prompt; among these the one
        with the shortest transfer time, then the first by rendezvous hashing of
        ``first_key``. ``None`` without candidates.
    """
    if not candidates:
        return None

    def rank(candidate):
        text = f"{candidate.host.name} {first_key}"
        digest = hashlib.sha256(text.encode()).digest()
        return (-candidate.stored_blocks, round(candidate.transfer_s, 2), digest)

    return min(candidates, key=rank)
