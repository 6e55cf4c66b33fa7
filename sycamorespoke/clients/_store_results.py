"""Results of requests to store hosts."""

import attrs

from sycamorespoke import domain


@attrs.frozen
class Full:
    """Sentinel: there is not enough free space; nothing was written."""

    reason: str = "not enough free space"


@attrs.frozen
class Stale:
    """Sentinel: the slot was reallocated, or the weight version has changed."""

    reason: str


@attrs.frozen
class Invalid:
    """Sentinel: the bytes or the metadata are not those of the requested block."""

    reason: str


@attrs.frozen
class Slot:
    """Space that a store host has allocated for a block.

    Parameters
    ----------
    host : domain.Host
        The store host.
    number : int
        Number of the slot.
    block : domain.Block
        Metadata of the block to write, with the generation assigned by the store
        host.
    """

    host: domain.Host
    number: int
    block: domain.Block


@attrs.frozen
class StoreUsage:
    """Space used in a store host.

    Parameters
    ----------
    used_bytes : int
        Bytes allocated to blocks, committed or not.
    capacity_bytes : int
        Total capacity, in bytes.
    blocks : int
        Number of committed blocks.
    """

    used_bytes: int
    capacity_bytes: int
    blocks: int
