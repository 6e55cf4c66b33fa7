"""Results of writes to an object store."""

import enum

import attrs


class WriteOutcome(enum.Enum):
    """Whether a write was applied."""

    APPLIED = "done"
    CONFLICT = "conflict"
    REJECTED = "not done"
    UNKNOWN = "unknown"


@attrs.frozen
class WriteResult:
    """Result of a write.

    Parameters
    ----------
    outcome : WriteOutcome
        Whether the write was applied; unknown if there was no usable response.
    stored : StoredObject or None, default=None
        Object that the store holds now, if the response contains it. After a
        conflict, that is the object of the other writer.
    reason : str, default=""
        Why the write is not known to be applied.
    """

    outcome: WriteOutcome
    stored: object = None
    reason: str = ""
