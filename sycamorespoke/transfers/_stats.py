"""Statistics of the transfers of one process."""

import attrs


@attrs.frozen
class TransferStats:
    """Counters and current state of the transfers.

    Parameters
    ----------
    indexed_blocks, queued_exports, running_imports : int
        Current numbers of indexed blocks, queued prompts and block imports that are
        running or queued.
    imported_blocks, imported_bytes, exported_blocks, exported_bytes : int
        Blocks and bytes transferred since the start.
    dropped_exports, freed_blocks : int
        Exports dropped or given up and blocks evicted since the start.
    failures_by_kind : dict of str to int
        Failed block transfers by the name of the sentinel class or exception.
    bytes_by_link : dict of str to int
        Bytes transferred by link; a block is counted on each of its two links.
    suspended_stores : list of str
        Names of the store hosts that are suspended.
    """

    indexed_blocks: int
    queued_exports: int
    running_imports: int
    imported_blocks: int
    imported_bytes: int
    exported_blocks: int
    exported_bytes: int
    dropped_exports: int
    freed_blocks: int
    failures_by_kind: dict[str, int]
    bytes_by_link: dict[str, int]
    suspended_stores: list[str]
