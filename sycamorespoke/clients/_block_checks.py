"""Integrity checks of blocks read from store hosts."""

import xxhash

from sycamorespoke.clients import _envelope


def find_block_error(key, version, metadata, data):
    """Check that bytes are the complete block that was requested.

    Parameters
    ----------
    key : str
        Requested block key.
    version : str
        Requested weight version.
    metadata : domain.Block
        Metadata of the block, as sent by the store host.
    data : bytes
        Received bytes.

    Returns
    -------
    str
        Reason why the bytes are not the block; empty if they are.
    """
    if metadata.key != key:
        return "the store host sent another block key"
    if metadata.length != len(data):
        return f"received {len(data)} bytes, expected {metadata.length}"
    if xxhash.xxh3_64_hexdigest(data) != metadata.checksum:
        return "checksum mismatch"
    envelope = _envelope.parse_envelope(data)
    if envelope is None:
        return "the bytes are not an encoded block"
    if envelope.key != key:
        return "the bytes are of another block"
    if envelope.version != version:
        return "the bytes are of another weight version"
    return ""
