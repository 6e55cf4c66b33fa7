"""Choice of the prompt blocks that are imported from and exported to block stores.

Importing a block that an engine has evicted is far cheaper than prefilling it
again when its prompt recurs.
"""

import attrs

from sycamorespoke.decisions import _placement

# An export that has not been reported as complete is retried after this time.
EXPORT_RETRY_S = 4.0
MAX_FILL_RATIO = 0.97
# A shorter block is prefilled faster than it is transferred.
MIN_BLOCK_TOKENS = 64


@attrs.frozen
class StoreState:
    """A block store as seen by one host.

    Parameters
    ----------
    address : str
        IP address and port.
    capacity_tokens : int
        Capacity of the store, above 0.
    used_tokens : int
        Tokens of the complete blocks in the store.
    is_index_current : bool
        Whether this host's index of the store is up to date.
    may_export : bool, default=True
        Whether no import that was sent before the store's last start can begin any
        more: it would import a block that is being written anew.
    """

    address: str
    capacity_tokens: int
    used_tokens: int
    is_index_current: bool
    may_export: bool = True


@attrs.frozen
class BlockPlan:
    """The block transfers of one request, with one item per block of its prompt.

    Parameters
    ----------
    import_from : tuple of (str or None)
        Address of the store to import the block from; ``None`` for no import.
    export_to : tuple of (str or None)
        Address of the store to export the block to; ``None`` for no export.
    """

    import_from: tuple = ()
    export_to: tuple = ()

    @property
    def has_imports(self):
        """Whether any block is imported."""
        return any(self.import_from)

    @property
    def has_exports(self):
        """Whether any block is exported."""
        return any(self.export_to)


def plan_blocks(blocks, stores, is_stored, get_exported_s, now):
    """Plan the block transfers of one request.

    Parameters
    ----------
    blocks : sequence of PromptBlock
        Blocks of the prompt, in order. The last one is specific to the request
        and is never transferred.
    stores : sequence of StoreState
        All stores.
    is_stored : callable
        Takes an address and a block; returns whether that store holds the
        complete block.
    get_exported_s : callable
        Takes a block; returns when this host last requested its export, in
        seconds, or ``-inf`` if it never did.
    now : float
        Current time, seconds.

    Returns
    -------
    BlockPlan
        Weighted rendezvous hashing assigns each block to the same store on all
        hosts, so that a block exported by one host is found by the others.
    """
    by_address = {store.address: store for store in stores}
    weights = {store.address: store.capacity_tokens for store in stores}
    if not weights:
        return BlockPlan()
    import_from, export_to = [], []
    for block in blocks[:-1]:
        address = _placement.rank_weighted(block.id, weights)[0]
        store = by_address[address]
        can_import = store.is_index_current and is_stored(address, block)
        import_from.append(address if can_import else None)
        should_export = (
            store.is_index_current
            and store.may_export
            and not can_import
            and block.tokens >= MIN_BLOCK_TOKENS
            and _has_room(store, block)
            and now - get_exported_s(block) >= EXPORT_RETRY_S
        )
        export_to.append(address if should_export else None)
    own = [None] * min(len(blocks), 1)
    return BlockPlan(tuple(import_from + own), tuple(export_to + own))


def _has_room(store, block):
    limit = store.capacity_tokens * MAX_FILL_RATIO
    return store.used_tokens + block.tokens <= limit
