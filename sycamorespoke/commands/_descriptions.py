"""Descriptions of hosts, revisions and outcomes for operators."""

import json

import attrs


def describe_lag(report, attribute):
    """Describe why a revision is not known to be in force at a host.

    Parameters
    ----------
    report : HostReport
        Report of the host.
    attribute : str
        ``"rules"`` or ``"service_state"``.

    Returns
    -------
    str
        The host's revision, or why there is no reply.
    """
    if report.reply is None:
        return report.reason
    return f"it has revision {getattr(report.reply, attribute)}"


def describe_revision(stored):
    """Describe a revision by its number, author and time.

    Parameters
    ----------
    stored : StoredRules or StoredServiceState
        The stored object.

    Returns
    -------
    str
        Text for operators.
    """
    record = stored
    if not hasattr(stored, "author"):
        record = stored.recent[-1] if stored.recent else None
    if record is None or not record.author:
        return f"revision {stored.revision}"
    return f"revision {stored.revision} of {record.author} at {record.applied_at}"


def describe_conflict(outcome, describe_change):
    """Describe the concurrent change that a publication was refused for.

    Parameters
    ----------
    outcome : ConflictingChange
        Outcome of the publication.
    describe_change : callable
        Takes two stored objects and returns a description of what changed between
        them.

    Returns
    -------
    str
        Text for operators, one or more lines.
    """
    lines = ["nothing was applied: another operator committed a change first"]
    if outcome.found is None:
        lines.append("the platform does not yet show the other change; try again")
        return "\n".join(lines)
    lines.append(f"the platform has {describe_revision(outcome.found)}")
    lines.append(f"your change was based on revision {outcome.before.revision}")
    lines.append(describe_change(outcome.before, outcome.found))
    return "\n".join(lines)


def as_json(stored):
    """Convert a stored object to a JSON value, without the text of rules.

    Parameters
    ----------
    stored : StoredRules or StoredServiceState
        The stored object.

    Returns
    -------
    dict
        Value printed with ``--json``.
    """
    value = attrs.asdict(stored, filter=lambda field, _: field.name != "text")
    return json.loads(json.dumps(value, default=sorted))
