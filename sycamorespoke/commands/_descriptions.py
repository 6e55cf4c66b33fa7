"""Descriptions of hosts, revisions and outcomes for operators."""

import json

import attrs


def describe_lag(report, attribute):
    """Explain what a host that is behind has said.

    Parameters
    ----------
    report : HostReport
        Its report.
    attribute : str
        ``"rules"`` or ``"service_state"``.

    Returns
    -------
    str
        Its revision or why there is no answer.
    """
    if report.reply is None:
        return report.reason
    return f"it has revision {getattr(report.reply, attribute)}"


def describe_revision(stored):
    """Describe who made a revision, and when.

    Parameters
    ----------
    stored : StoredRules or StoredServiceState
        The object.

    Returns
    -------
    str
        For operators.
    """
    record = stored
    if not hasattr(stored, "author"):
        record = stored.recent[-1] if stored.recent else None
    if record is None or not record.author:
        return f"revision {stored.revision}"
    return f"revision {stored.revision} of {record.author} at {record.applied_at}"


def describe_conflict(outcome, describe_change):
    """Describe to the loser of a race who was first and what changed.

    Parameters
    ----------
    outcome : ConflictingChange
        The outcome.
    describe_change : callable
        Takes two objects and returns what changed between them.

    Returns
    -------
    str
        For operators.
    """
    lines = ["nothing was applied: another operator was first"]
    if outcome.found is None:
        lines.append("the platform does not yet show the other change; try again")
        return "\n".join(lines)
    lines.append(f"the platform has {describe_revision(outcome.found)}")
    lines.append(f"your change was based on revision {outcome.before.revision}")
    lines.append(describe_change(outcome.before, outcome.found))
    return "\n".join(lines)


def as_json(stored):
    """Return an object of the platform as a JSON value without its text.

    Parameters
    ----------
    stored : StoredRules or StoredServiceState
        The object.

    Returns
    -------
    dict
        For ``--json``.
    """
    value = attrs.asdict(stored, filter=lambda field, _: field.name != "text")
    return json.loads(json.dumps(value, default=sorted))
