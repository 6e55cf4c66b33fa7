"""Decisions about publishing rules and service state as objects of the platform."""

import enum
import functools

import attrs

from sycamorespoke.decisions import _stored_objects

RECENT_RECORDS = 20


class ResourceKind(enum.Enum):
    """What operators take out of service."""

    DATA_CENTRE = "data-centre"
    UPSTREAM = "upstream"


@attrs.frozen
class PublishRules:
    """Change: put a rules text in force.

    Parameters
    ----------
    text : str
        The whole text, checked before.
    """

    text: str


@attrs.frozen
class SetOutOfService:
    """Change: take a data centre or an upstream out of service, or back in.

    Parameters
    ----------
    kind : ResourceKind
        What it is.
    name : str
        Its name.
    is_out : bool
        Out of service afterwards.
    """

    kind: ResourceKind
    name: str
    is_out: bool


class ReadBackResult(enum.Enum):
    """What reading back says about a write whose answer was lost."""

    COMMITTED = "committed"
    LOST = "lost"
    OVERTAKEN = "overtaken"
    OPEN = "open"


@functools.singledispatch
def apply_change(change, stored, author, writer, applied_at):
    """Compute the value that a change makes of the stored one.

    Parameters
    ----------
    change : PublishRules or SetOutOfService
        The change.
    stored : StoredRules or StoredServiceState
        The value as read from the platform.
    author : str
        Name of the operator.
    writer : str
        Token of the command, unique.
    applied_at : str
        Date and time in UTC, ISO 8601.

    Returns
    -------
    StoredRules or StoredServiceState
        The value at the next revision.

    Examples
    --------
    >>> change = SetOutOfService(ResourceKind.DATA_CENTRE, "seeb", is_out=True)
    >>> stored = _stored_objects.StoredServiceState(4)
    >>> value = apply_change(change, stored, "Salma", "w1", "2026-12-03")
    >>> value.revision, sorted(value.data_centres_out), value.recent[0].change
    (5, ['seeb'], 'data-centre seeb out')
    """
    raise TypeError(f"no such change: {change!r}")


@apply_change.register
def _(change: PublishRules, stored, author, writer, applied_at):
    return _stored_objects.StoredRules(
        stored.revision + 1, writer, author, applied_at, change.text
    )


@apply_change.register
def _(change: SetOutOfService, stored, author, writer, applied_at):
    attribute = {
        ResourceKind.DATA_CENTRE: "data_centres_out",
        ResourceKind.UPSTREAM: "upstreams_out",
    }[change.kind]
    names = getattr(stored, attribute) - {change.name}
    if change.is_out:
        names |= {change.name}
    revision = stored.revision + 1
    direction = "out" if change.is_out else "in"
    text = f"{change.kind.value} {change.name} {direction}"
    record = _stored_objects.ChangeRecord(revision, writer, author, applied_at, text)
    return attrs.evolve(
        stored,
        revision=revision,
        writer=writer,
        recent=(*stored.recent, record)[-RECENT_RECORDS:],
        **{attribute: frozenset(names)},
    )


@functools.singledispatch
def classify_read_back(attempt, found):
    """Judge by the object read back whether a write took effect.

    Parameters
    ----------
    attempt : StoredRules or StoredServiceState
        What was written.
    found : StoredRules or StoredServiceState
        What was read afterwards; it may be older than the write.

    Returns
    -------
    ReadBackResult
        ``OPEN`` while nothing follows from it. ``OVERTAKEN`` when a later
        revision stands there, which does not tell.

    Examples
    --------
    >>> mine = _stored_objects.StoredRules(5, "w1")
    >>> [classify_read_back(mine, _stored_objects.StoredRules(*found)).value
    ...  for found in [(5, "w1"), (5, "w2"), (6, "w2"), (4, "w0")]]
    ['committed', 'lost', 'overtaken', 'open']
    """
    raise TypeError(f"no such object: {attempt!r}")


@classify_read_back.register
def _(attempt: _stored_objects.StoredRules, found):
    if found.revision < attempt.revision:
        # A read that lags shows the same as a write that did not arrive.
        return ReadBackResult.OPEN
    if found.revision > attempt.revision:
        return ReadBackResult.OVERTAKEN
    return (
        ReadBackResult.COMMITTED
        if found.writer == attempt.writer
        else ReadBackResult.LOST
    )


@classify_read_back.register
def _(attempt: _stored_objects.StoredServiceState, found):
    if found.revision < attempt.revision:
        return ReadBackResult.OPEN
    writers_by_revision = {record.revision: record.writer for record in found.recent}
    writers_by_revision[found.revision] = found.writer
    writer = writers_by_revision.get(attempt.revision)
    if writer is None:
        return ReadBackResult.OVERTAKEN
    return ReadBackResult.COMMITTED if writer == attempt.writer else ReadBackResult.LOST
