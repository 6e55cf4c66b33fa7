"""Heartbeat messages that a host sends to its peers."""

from sycamorespoke import decisions


def make_heartbeat(message_class, snapshot, now, **fields):
    """Make a heartbeat or a reply to one.

    Parameters
    ----------
    message_class : type
        `messages.Heartbeat` or `messages.HeartbeatReply`.
    snapshot : Snapshot
        Current snapshot of the host's membership state.
    now : float
        Current monotonic time, in seconds.
    **fields : object
        Other fields of the message.

    Returns
    -------
    messages.Heartbeat
        The message.
    """
    revisions = {
        kind.value: document.revision
        for kind, document in snapshot.documents_by_kind.items()
    }
    is_leaving = fields.get("leaving", False)
    age_s = now - snapshot.view.platform_confirmed_s
    return message_class(
        ready=not is_leaving and decisions.is_ready(snapshot.view, now),
        confirmed_age_s=-1.0 if age_s == float("inf") else age_s,
        **revisions,
        **fields,
    )
