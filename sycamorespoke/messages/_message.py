"""Base class of the messages between the system's own processes."""

import msgspec


class Message(
    msgspec.Struct, array_like=True, frozen=True, omit_defaults=True, tag=True
):
    """Base class of all messages."""
