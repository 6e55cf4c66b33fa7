"""Handlers for the messages of other processes."""

import functools

from sycamorespoke import messages


@functools.singledispatch
def handle_message(message, member):
    """Handle a message of another process.

    Parameters
    ----------
    message : messages.Message
        The message.
    member : Member
        Membership of this process.

    Returns
    -------
    messages.Message or None
        The reply, ``None`` if there is no handler for the message.
    """
    return member.handle(message)


@handle_message.register
def _(message: messages.Heartbeat, member):
    member.handle_heartbeat(message)
    return member.make_heartbeat(messages.HeartbeatReply)


@handle_message.register
def _(message: messages.DocumentRequest, member):
    document = member.snapshot.documents_by_kind[message.kind]
    return messages.DocumentReply(message.kind, document.revision, document.value)


@handle_message.register
def _(message: messages.InForceRequest, member):
    return member.make_in_force_reply()
