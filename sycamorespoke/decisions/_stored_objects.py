"""Platform objects for rules and service state, and their JSON values."""

import attrs


@attrs.frozen
class ChangeRecord:
    """One change of the service state and its author.

    Parameters
    ----------
    revision : int
        Revision that the change created, above 0.
    writer : str
        Unique token of the command that wrote it.
    author : str
        Name of the operator.
    applied_at : str
        Date and time in UTC, ISO 8601.
    change : str
        Description of the change, shown to operators.
    """

    revision: int
    writer: str
    author: str
    applied_at: str
    change: str


@attrs.frozen
class StoredRules:
    """The platform object ``rules``.

    Parameters
    ----------
    revision : int, default=0
        Revision, 0 if the object does not exist yet.
    writer : str, default=""
        Token of the command that wrote it.
    author : str, default=""
        Name of the operator.
    applied_at : str, default=""
        Date and time in UTC, ISO 8601.
    text : str, default=""
        Text of the rules file.
    """

    revision: int = 0
    writer: str = ""
    author: str = ""
    applied_at: str = ""
    text: str = ""


@attrs.frozen
class StoredServiceState:
    """The platform object ``service-state``.

    Parameters
    ----------
    revision : int, default=0
        Revision, 0 if the object does not exist yet.
    writer : str, default=""
        Token of the command that wrote it.
    data_centres_out, upstreams_out : frozenset of str
        Names of the data centres and upstreams that are out of service.
    recent : tuple of ChangeRecord
        Latest changes, oldest first, at most 20.
    """

    revision: int = 0
    writer: str = ""
    data_centres_out: frozenset[str] = frozenset()
    upstreams_out: frozenset[str] = frozenset()
    recent: tuple[ChangeRecord, ...] = ()


@attrs.frozen
class Malformed:
    """Sentinel: a platform object does not have the expected form.

    Parameters
    ----------
    reason : str
        Why it is malformed.
    """

    reason: str


def parse_rules(value):
    """Parse the JSON value of the object ``rules`` or of one in its history.

    Parameters
    ----------
    value : object
        JSON value read from the platform.

    Returns
    -------
    StoredRules or Malformed
        Parsed object, or why it is malformed.
    """
    return _parse(value, StoredRules)


def parse_service_state(value):
    """Parse the JSON value of the object ``service-state``.

    Parameters
    ----------
    value : object
        JSON value read from the platform.

    Returns
    -------
    StoredServiceState or Malformed
        Parsed object, or why it is malformed.

    Examples
    --------
    >>> parse_service_state({"revision": "4"})
    Malformed(reason='revision is not a number above 0')
    """
    stored = _parse(value, StoredServiceState)
    if isinstance(stored, Malformed):
        return stored
    for attribute in ("data_centres_out", "upstreams_out"):
        names = getattr(stored, attribute)
        if not _is_list_of(names, str):
            return Malformed(f"{attribute} is not a list of names")
        stored = attrs.evolve(stored, **{attribute: frozenset(names)})
    if not _is_list_of(stored.recent, dict):
        return Malformed("recent is not a list of records")
    records = [_parse(record, ChangeRecord) for record in stored.recent]
    for record in records:
        if isinstance(record, Malformed):
            return record
    return attrs.evolve(stored, recent=tuple(records))


def format_value(stored):
    """Convert an object to the JSON value that the platform stores.

    Parameters
    ----------
    stored : StoredRules or StoredServiceState
        Object to convert.

    Returns
    -------
    dict
        JSON value.
    """
    return attrs.asdict(stored, value_serializer=_serialize)


def _serialize(instance, attribute, value):
    return sorted(value) if isinstance(value, frozenset) else value


def _parse(value, cls):
    if not isinstance(value, dict):
        return Malformed("not a JSON object")
    if type(value.get("revision")) is not int or value["revision"] < 1:
        return Malformed("revision is not a number above 0")
    fields = [field for field in attrs.fields(cls) if field.name in value]
    for field in fields:
        if field.type is str and not isinstance(value[field.name], str):
            return Malformed(f"{field.name} is not a string")
    required = [field for field in attrs.fields(cls) if field.default is attrs.NOTHING]
    for field in required:
        if field.name not in value:
            return Malformed(f"{field.name} is missing")
    return cls(**{field.name: value[field.name] for field in fields})


def _is_list_of(value, cls):
    if not isinstance(value, list | tuple | frozenset):
        return False
    return all(isinstance(item, cls) for item in value)
