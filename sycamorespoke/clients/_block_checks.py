"""Verification of blocks that were read."""

import xxhash

from sycamorespoke.clients import _envelope


def find_block_error(key, version, described, data):
    """Find why bytes are not the whole block asked for.

    Parameters
    ----------
    key : str
        Block key asked for.
    version : str
        Weight version asked for.
    described : world.Block
        How the store host describes the bytes.
    data : bytes
        The bytes received.

    Returns
    -------
    str
        The reason; empty when they are the block.
    """
    if described.key != key:
        return "the host answered with another key"
    if described.length != len(data):
        return f"{len(data)} bytes in place of {described.length}"
    if xxhash.xxh3_64_hexdigest(data) != described.checksum:
        return "the checksum differs"
    envelope = _envelope.parse_envelope(data)
    if envelope is None:
        return "the bytes are no block"
    if envelope.key != key:
        return "the bytes are of another block"
    if envelope.version != version:
        return "the bytes are of another weight version"
    return ""
