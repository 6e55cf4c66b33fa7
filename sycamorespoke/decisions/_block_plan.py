"""Which parts of a prompt are fetched from a store, and which are saved there.

Answers prompts that come back after their parts have left the memory of the
engines: reading them again costs far more than fetching them.
"""

import attrs

from sycamorespoke.decisions import _placement

# A save that has not shown as complete is tried again after this time.
SAVE_AGAIN_S = 4.0
# Of a store's room, the share that is filled.
FILLED_SHARE = 0.97
# Shorter parts are read again faster than they are worth a transfer.
SHORTEST_TOKENS = 64


@attrs.frozen
class StoreState:
    """A store as one host sees it.

    Parameters
    ----------
    address : str
        IP number and port.
    capacity_tokens : int
        Its room, above 0.
    used_tokens : int
        Tokens of complete parts.
    is_known : bool
        What it holds is known at present.
    """

    address: str
    capacity_tokens: int
    used_tokens: int
    is_known: bool


@attrs.frozen
class BlockPlan:
    """What goes with a request for each part of its prompt.

    Parameters
    ----------
    fetch_from : tuple of (str or None)
        Store to fetch the part from.
    save_to : tuple of (str or None)
        Store to save the part to.
    """

    fetch_from: tuple = ()
    save_to: tuple = ()

    @property
    def fetches(self):
        """Whether any part is fetched."""
        return any(self.fetch_from)

    @property
    def saves(self):
        """Whether any part is saved."""
        return any(self.save_to)


def plan_blocks(parts, stores, holds, saved_s, now):
    """Plan the transfers of one request.

    Parameters
    ----------
    parts : sequence of PromptBlock
        Parts of the prompt, in order; the last is the request's own.
    stores : sequence of StoreState
        All stores.
    holds : callable
        Tells of an address and a part whether the store holds it complete.
    saved_s : callable
        Tells of a part when this host last had it saved; ``-inf`` if never.
    now : float
        Present time, seconds.

    Returns
    -------
    BlockPlan
        Every host saves a part to the same store, so that all find it there.
    """
    by_address = {store.address: store for store in stores}
    weights = {store.address: store.capacity_tokens for store in stores}
    if not weights:
        return BlockPlan()
    fetch_from, save_to = [], []
    for part in parts[:-1]:
        address = _placement.rank_weighted(part.id, weights)[0]
        store = by_address[address]
        is_held = store.is_known and holds(address, part)
        fetch_from.append(address if is_held else None)
        is_wanted = (
            store.is_known
            and not is_held
            and part.tokens >= SHORTEST_TOKENS
            and _has_room(store, part)
            and now - saved_s(part) >= SAVE_AGAIN_S
        )
        save_to.append(address if is_wanted else None)
    own = [None] * min(len(parts), 1)
    return BlockPlan(tuple(fetch_from + own), tuple(save_to + own))


def _has_room(store, part):
    limit = store.capacity_tokens * FILLED_SHARE
    return store.used_tokens + part.tokens <= limit
