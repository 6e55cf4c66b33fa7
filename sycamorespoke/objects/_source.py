"""Responses of a source of shared objects."""

import attrs

from sycamorespoke import domain

REVISION_KEYS = frozenset({"Revision", "CreatedRev"})


@attrs.frozen
class Listing:
    """All objects of a kind.

    Parameters
    ----------
    values : tuple
        JSON values of the objects.
    revision : int
        Revision of the source from which to watch for later changes.
    confirmed_s : float or None, default=None
        Latest time for which the response is known to show the state of the source,
        seconds of the boot clock; ``None`` for the time at which it is handled.
    """

    values: tuple
    revision: int
    confirmed_s: float | None = None


@attrs.frozen
class Change:
    """A change of one object.

    Parameters
    ----------
    value : object
        JSON value of the object.
    is_deleted : bool
        Whether the object was deleted.
    """

    value: object
    is_deleted: bool


@attrs.frozen
class Changes:
    """Changes since a revision.

    Parameters
    ----------
    changes : tuple of Change
        Changes in order; may be empty.
    revision : int
        Revision from which to watch for later changes.
    confirmed_s : float or None, default=None
        Latest time for which the response is known to show the state of the source,
        seconds of the boot clock; ``None`` for the time at which it is handled.
    """

    changes: tuple[Change, ...]
    revision: int
    confirmed_s: float | None = None


@attrs.frozen
class HistoryGone:
    """Sentinel: the source no longer has the changes since a revision."""


@attrs.frozen
class Missing:
    """Sentinel: the source has no such object.

    Parameters
    ----------
    revision : int
        Revision that stands for its absence in the era of the source.
    """

    revision: int


@attrs.frozen
class Unavailable:
    """Sentinel: there was no usable response.

    Parameters
    ----------
    reason : str
        Description of the failure.
    status : int or None, default=None
        HTTP status, if there was a response.
    content : object, default=None
        JSON value of the response.
    statements : Statements or None, default=None
        What an upstream states about itself in the response, if it sent one.
    """

    reason: str
    status: int | None = None
    content: object = None
    statements: object = None


def qualify_revisions(value, era):
    """Put an era into the revisions of an object, in its JSON value.

    A revision that is no number, or out of range, is replaced by ``None``, so that only
    this object counts as malformed.

    Parameters
    ----------
    value : object
        JSON value of the object; changed in place.
    era : int
        Era of the source, see `domain.make_revision`.

    Examples
    --------
    >>> value = {"Metadata": {"Name": "a", "Revision": 8}}
    >>> qualify_revisions(value, 2)
    >>> domain.get_era(get_metadata(value, "Revision"))
    2
    """
    metadata = value.get("Metadata") if isinstance(value, dict) else None
    if not isinstance(metadata, dict):
        return
    for key in REVISION_KEYS & metadata.keys():
        try:
            metadata[key] = domain.make_revision(era, metadata[key])
        except (TypeError, ValueError):
            metadata[key] = None


def get_confirmed_s(response, now):
    """Return for which time a `Listing` or `Changes` shows the state of the source.

    Parameters
    ----------
    response : Listing or Changes
        The response.
    now : float
        Current time, seconds of the boot clock.

    Returns
    -------
    float
        Seconds of the boot clock, not after ``now``.
    """
    return now if response.confirmed_s is None else min(response.confirmed_s, now)


def get_name(value):
    """Return the name of an object from its JSON value, ``""`` if it has none."""
    name = get_metadata(value, "Name")
    return name if isinstance(name, str) else ""


def make_removed(name, revision):
    """Make the JSON value that stands for an object that was deleted."""
    return {"Metadata": {"Name": name, "Revision": revision}}


def get_metadata(value, key):
    """Return an entry of an object's metadata; ``None`` if there is none."""
    try:
        return value["Metadata"][key]
    except (KeyError, TypeError):
        return None
