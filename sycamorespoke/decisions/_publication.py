"""Changes of the rules and the service state, and checks of their publication."""

import enum
import functools

import attrs

from sycamorespoke.decisions import _revisions, _stored_objects

MAX_RECENT_RECORDS = 20


class ResourceKind(enum.Enum):
    """Kinds of resources that operators take out of service."""

    DATA_CENTRE = "data-centre"
    UPSTREAM = "upstream"


@attrs.frozen
class PublishRules:
    """Change: publish a new rules text.

    Parameters
    ----------
    text : str
        Complete text, already validated.
    """

    text: str


@attrs.frozen
class SetOutOfService:
    """Change: take a data centre or an upstream out of service, or back in.

    Parameters
    ----------
    kind : ResourceKind
        Kind of the resource.
    name : str
        Name of the resource.
    is_out : bool
        Whether it is out of service after the change.
    """

    kind: ResourceKind
    name: str
    is_out: bool


class ReadBackResult(enum.Enum):
    """Result of reading back an object after a write whose response was lost."""

    COMMITTED = "committed"
    LOST = "lost"
    OVERTAKEN = "overtaken"
    OPEN = "open"


@functools.singledispatch
def apply_change(change, stored, author, writer, applied_at, era=0):
    """Compute the value of a stored object after a change.

    Parameters
    ----------
    change : PublishRules or SetOutOfService
        Change to apply.
    stored : StoredRules or StoredServiceState
        Value read from the platform.
    author : str
        Name of the operator.
    writer : str
        Unique token of the command.
    applied_at : str
        Date and time in UTC, ISO 8601.
    era : int, default=0
        Era of the store in which the value was read.

    Returns
    -------
    StoredRules or StoredServiceState
        Value at the next revision, which is that of no value of an earlier era.

    Examples
    --------
    >>> change = SetOutOfService(ResourceKind.DATA_CENTRE, "seeb", is_out=True)
    >>> stored = _stored_objects.StoredServiceState(4)
    >>> value = apply_change(change, stored, "Salma", "w1", "2026-12-03")
    >>> value.revision, sorted(value.data_centres_out), value.recent[0].change
    (5, ['seeb'], 'data-centre seeb out')
    """
    raise TypeError(f"not a change: {change!r}")


@apply_change.register
def _(change: PublishRules, stored, author, writer, applied_at, era=0):
    revision = _revisions.compute_next_revision(stored.revision, era)
    return _stored_objects.StoredRules(
        revision, writer, author, applied_at, change.text
    )


@apply_change.register
def _(change: SetOutOfService, stored, author, writer, applied_at, era=0):
    attribute = {
        ResourceKind.DATA_CENTRE: "data_centres_out",
        ResourceKind.UPSTREAM: "upstreams_out",
    }[change.kind]
    names = getattr(stored, attribute) - {change.name}
    if change.is_out:
        names |= {change.name}
    revision = _revisions.compute_next_revision(stored.revision, era)
    state = "out" if change.is_out else "in"
    text = f"{change.kind.value} {change.name} {state}"
    record = _stored_objects.ChangeRecord(revision, writer, author, applied_at, text)
    return attrs.evolve(
        stored,
        revision=revision,
        writer=writer,
        recent=(*stored.recent, record)[-MAX_RECENT_RECORDS:],
        **{attribute: frozenset(names)},
    )


@functools.singledispatch
def classify_read_back(attempt, found):
    """Determine from the object read back whether a write took effect.

    Parameters
    ----------
    attempt : StoredRules or StoredServiceState
        Value that was written.
    found : StoredRules or StoredServiceState
        Value read afterwards; it may be older than the write.

    Returns
    -------
    ReadBackResult
        ``OPEN`` if the value read is older than the write, which proves nothing.
        ``OVERTAKEN`` if a later revision was read that does not show who wrote the
        attempted one.

    Examples
    --------
    >>> mine = _stored_objects.StoredRules(5, "w1")
    >>> [classify_read_back(mine, _stored_objects.StoredRules(*found)).value
    ...  for found in [(5, "w1"), (5, "w2"), (6, "w2"), (4, "w0")]]
    ['committed', 'lost', 'overtaken', 'open']
    """
    raise TypeError(f"not a stored object: {attempt!r}")


@classify_read_back.register
def _(attempt: _stored_objects.StoredRules, found):
    if found.revision < attempt.revision:
        # A stale read cannot be distinguished from a write that had no effect.
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
