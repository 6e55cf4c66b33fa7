"""What a source of shared objects answers."""

import attrs


@attrs.frozen
class Listing:
    """All objects of a kind.

    Parameters
    ----------
    values : tuple
        JSON values.
    revision : int
        Changes after it are not contained.
    age_s : float, default=0.0
        Seconds since the source said so, if another host told it.
    """

    values: tuple
    revision: int
    age_s: float = 0.0


@attrs.frozen
class Change:
    """One change.

    Parameters
    ----------
    value : object
        JSON value of the object.
    is_deleted : bool
        It is gone.
    """

    value: object
    is_deleted: bool


@attrs.frozen
class Changes:
    """Changes since a revision.

    Parameters
    ----------
    changes : tuple of Change
        In order; may be empty.
    revision : int
        To watch from.
    age_s : float, default=0.0
        Seconds since the source said so, if another host told it.
    """

    changes: tuple[Change, ...]
    revision: int
    age_s: float = 0.0


@attrs.frozen
class HistoryGone:
    """Sentinel: the changes since a revision are not kept any more."""


@attrs.frozen
class Unavailable:
    """Sentinel: the source gave no usable answer.

    Parameters
    ----------
    reason : str
        Why.
    status : int or None, default=None
        HTTP status, if there was one.
    page : object, default=None
        JSON value that came with the status.
    """

    reason: str
    status: int | None = None
    page: object = None


def get_name(value):
    """Return the name of an object from its JSON value, ``""`` for none."""
    return get_metadata(value, "Name") or ""


def get_metadata(value, key):
    """Return what the source says of an object itself; ``None`` for nothing."""
    try:
        return value["Metadata"][key]
    except (KeyError, TypeError):
        return None
