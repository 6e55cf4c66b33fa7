"""Frames, which consist of protocol version, authenticator, nonce and message."""

import enum
import functools
import hashlib
import hmac
import operator

import attrs
import msgspec

from sycamorespoke.messages import _message, _types

PROTOCOL_VERSION = 1
DIGEST_BYTES = 16
NONCE_BYTES = 8
HEADER_BYTES = 1 + DIGEST_BYTES + NONCE_BYTES
# A document has up to 1 MiB as JSON and grows slightly when encoded.
MAX_FRAME_BYTES = 4 * 1024 * 1024

AnyMessage = functools.reduce(operator.or_, _types.MESSAGE_TYPES)


class Direction(enum.Enum):
    """Direction of a frame; part of the authenticated data."""

    REQUEST = b"request"
    REPLY = b"reply"


@attrs.frozen
class Frame:
    """A frame that passed all checks.

    Parameters
    ----------
    nonce : bytes
        8 bytes that match a reply to its request.
    message : Message
        The message.
    """

    nonce: bytes
    message: _message.Message


@attrs.frozen
class Dropped:
    """Sentinel for a frame that failed a check and was dropped.

    Parameters
    ----------
    reason : str
        Name of the failed check.
    """

    reason: str


class Codec:
    """Encode messages as authenticated frames and decode such frames.

    Parameters
    ----------
    shared_key : str
        Secret shared by all processes of a deployment, 1 character or more.

    Examples
    --------
    >>> codec = Codec("secret")
    >>> data = codec.encode(_types.InForceRequest(), b"12345678", Direction.REQUEST)
    >>> codec.decode(data, Direction.REQUEST).message
    InForceRequest()
    >>> codec.decode(data, Direction.REPLY)
    Dropped(reason='authenticator')
    >>> Codec("other").decode(data, Direction.REQUEST)
    Dropped(reason='authenticator')
    """

    def __init__(self, shared_key):
        if not shared_key:
            raise ValueError("the shared key is empty")
        self._key = hashlib.blake2b(shared_key.encode()).digest()
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(AnyMessage)

    def encode(self, message, nonce, direction):
        """Encode a message.

        Parameters
        ----------
        message : Message
            Message to encode.
        nonce : bytes
            8 bytes, unique among the requests of a sender.
        direction : Direction
            Request or reply.

        Returns
        -------
        bytes
            The frame.
        """
        payload = nonce + self._encoder.encode(message)
        return bytes((PROTOCOL_VERSION,)) + self._digest(payload, direction) + payload

    def decode(self, data, direction):
        """Authenticate and decode a frame.

        Parameters
        ----------
        data : bytes
            The frame as received.
        direction : Direction
            Expected direction.

        Returns
        -------
        Frame or Dropped
            The frame, or the check that failed.
        """
        if len(data) < HEADER_BYTES:
            return Dropped("length")
        if data[0] != PROTOCOL_VERSION:
            return Dropped("protocol_version")
        digest = data[1 : 1 + DIGEST_BYTES]
        payload = data[1 + DIGEST_BYTES :]
        if not hmac.compare_digest(digest, self._digest(payload, direction)):
            return Dropped("authenticator")
        try:
            message = self._decoder.decode(payload[NONCE_BYTES:])
        except (msgspec.DecodeError, RecursionError):
            return Dropped("message")
        return Frame(payload[:NONCE_BYTES], message)

    def _digest(self, payload, direction):
        return hashlib.blake2b(
            payload, digest_size=DIGEST_BYTES, key=self._key, person=direction.value
        ).digest()
