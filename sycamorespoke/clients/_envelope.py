"""The form in which blocks are kept at store hosts.

A block's bytes are preceded by its own key and weight version, so that bytes
which a store host hands out under another key are recognised by themselves.
"""

import attrs

FORMAT = 1
KEY_BYTES = 32
HEAD_BYTES = 2 + KEY_BYTES


@attrs.frozen
class Envelope:
    """A block with what it says of itself.

    Parameters
    ----------
    key : str
        Block key, 64 hexadecimal digits.
    version : str
        Weight version that computed it, at most 255 bytes of UTF-8.
    data : bytes
        The block as the engine exported it.
    """

    key: str
    version: str
    data: bytes


def encode_envelope(envelope):
    """Encode a block for a store host.

    Parameters
    ----------
    envelope : Envelope
        The block.

    Returns
    -------
    bytes
        What the store host is to keep.

    Examples
    --------
    >>> sealed = encode_envelope(Envelope("ab" * 32, "v1", b"data"))
    >>> parse_envelope(sealed) == Envelope("ab" * 32, "v1", b"data")
    True
    """
    version = envelope.version.encode()
    head = bytes([FORMAT, len(version)]) + bytes.fromhex(envelope.key)
    return head + version + envelope.data


def parse_envelope(sealed):
    """Decode what a store host keeps.

    Parameters
    ----------
    sealed : bytes
        Bytes of a store host.

    Returns
    -------
    Envelope or None
        The block; ``None`` when the bytes are none.
    """
    if len(sealed) < HEAD_BYTES or sealed[0] != FORMAT:
        return None
    data_start = HEAD_BYTES + sealed[1]
    if len(sealed) < data_start:
        return None
    try:
        version = sealed[HEAD_BYTES:data_start].decode()
    except UnicodeDecodeError:
        return None
    return Envelope(sealed[2:HEAD_BYTES].hex(), version, sealed[data_start:])
