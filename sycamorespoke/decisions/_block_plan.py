"""Which parts of a prompt are fetched from a store, and which are saved there.

Answers prompts that come back after their parts have left the memory of the
engines: reading them again costs far more than fetching them.
"""

import attrs

from sycamorespoke.decisions import _placement

# A save that has not shown as complete is tried again after this time.
EXPORT_RETRY_S = 4.0
# Of a store's room, the share that is filled.
MAX_FILL_RATIO = 0.97
# Shorter parts are read again faster than they are worth a transfer.
MIN_BLOCK_TOKENS = 64


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
    is_index_current : bool
        What it holds is known at present.
    """

    address: str
    capacity_tokens: int
    used_tokens: int
    is_index_current: bool


@attrs.frozen
class BlockPlan:
    """What goes with a request for each part of its prompt.

    Parameters
    ----------
    import_from : tuple of (str or None)
        Store to fetch the part from.
    export_to : tuple of (str or None)
        Store to save the part to.
    """

    import_from: tuple = ()
    export_to: tuple = ()

    @property
    def has_imports(self):
        """Whether any part is fetched."""
        return any(self.import_from)

    @property
    def has_exports(self):
        """Whether any part is saved."""
        return any(self.export_to)


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
    import_from, export_to = [], []
    for part in parts[:-1]:
        address = _placement.rank_weighted(part.id, weights)[0]
        store = by_address[address]
        is_held = store.is_index_current and holds(address, part)
        import_from.append(address if is_held else None)
        is_wanted = (
            store.is_index_current
            and not is_held
            and part.tokens >= MIN_BLOCK_TOKENS
            and _has_room(store, part)
            and now - saved_s(part) >= EXPORT_RETRY_S
        )
        export_to.append(address if is_wanted else None)
    own = [None] * min(len(parts), 1)
    return BlockPlan(tuple(import_from + own), tuple(export_to + own))


def _has_room(store, part):
    limit = store.capacity_tokens * MAX_FILL_RATIO
    return store.used_tokens + part.tokens <= limit
