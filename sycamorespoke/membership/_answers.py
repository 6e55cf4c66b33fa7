"""Answers to the requests of other processes."""

import functools

from sycamorespoke import messages


@functools.singledispatch
def answer(message, member):
    """Answer a request of another process.

    Parameters
    ----------
    message : messages.Message
        The request.
    member : Member
        Whose state is asked for.

    Returns
    -------
    messages.Message or None
        ``None`` for a request that a membership does not answer.
    """
    return member.handle(message)


@answer.register
def _(message: messages.Heartbeat, member):
    member.hear(message)
    return member.make_heartbeat(messages.HeartbeatReply)


@answer.register
def _(message: messages.DocumentRequest, member):
    document = member.snapshot.documents_by_kind[message.kind]
    return messages.DocumentReply(message.kind, document.revision, document.value)


@answer.register
def _(message: messages.InForceRequest, member):
    return member.make_in_force_reply()
