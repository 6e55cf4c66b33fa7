"""Encoding of blocks in store hosts.

The bytes of a block are preceded by its key and weight version. A reader can
therefore detect bytes that a store host returns under the wrong key.
"""

import attrs

FORMAT_VERSION = 1
KEY_BYTES = 32
HEADER_BYTES = 2 + KEY_BYTES


@attrs.frozen
class Envelope:
    """A block with its key and weight version.

    Parameters
    ----------
    key : str
        Block key, 64 hexadecimal digits.
    version : str
        Weight version that the block was computed with, at most 255 bytes of
        UTF-8.
    data : bytes
        Contents of the block, as exported by the engine.
    """

    key: str
    version: str
    data: bytes


def encode_envelope(envelope):
    """Encode a block for storage in a store host.

    Parameters
    ----------
    envelope : Envelope
        The block.

    Returns
    -------
    bytes
        Header with key and weight version, followed by the contents.

    Examples
    --------
    >>> encoded = encode_envelope(Envelope("ab" * 32, "v1", b"data"))
    >>> parse_envelope(encoded) == Envelope("ab" * 32, "v1", b"data")
    True
    """
    version = envelope.version.encode()
    header = bytes([FORMAT_VERSION, len(version)]) + bytes.fromhex(envelope.key)
    return header + version + envelope.data


def parse_envelope(encoded):
    """Parse a block that was encoded for storage in a store host.

    Parameters
    ----------
    encoded : bytes
        Bytes read from a store host.

    Returns
    -------
    Envelope or None
        The block; ``None`` if the bytes are not an encoded block.
    """
    if len(encoded) < HEADER_BYTES or encoded[0] != FORMAT_VERSION:
        return None
    data_start = HEADER_BYTES + encoded[1]
    if len(encoded) < data_start:
        return None
    try:
        version = encoded[HEADER_BYTES:data_start].decode()
    except UnicodeDecodeError:
        return None
    return Envelope(encoded[2:HEADER_BYTES].hex(), version, encoded[data_start:])
