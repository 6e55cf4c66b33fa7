"""Actor that serializes all changes to the membership state of a process."""

import functools

import attrs
import pykka

from sycamorespoke import messages
from sycamorespoke.membership import _documents, _state


@attrs.frozen
class DocumentReceived:
    """Message: a document was received from the platform or a peer.

    Parameters
    ----------
    document : Document
        The document.
    """

    document: _documents.Document


@attrs.frozen
class RevisionConfirmed:
    """Message: the platform reported its latest revision of a document.

    Parameters
    ----------
    kind : messages.DocumentKind
        Kind of the document.
    revision : int
        The latest revision.
    requested_s : float
        Monotonic time at which the read was sent to the platform, in seconds.
    era : int, default=0
        Era of the platform's store.
    """

    kind: messages.DocumentKind
    revision: int
    requested_s: float
    era: int = 0


@attrs.frozen
class HeartbeatRoundEnded:
    """Message: a round of heartbeats ended.

    Parameters
    ----------
    reports : tuple of PeerReport
        All heartbeats received from peers, replies included.
    replies : tuple of PeerReply
        Replies to this host's own heartbeats.
    now : float
        Monotonic time at the end of the round, in seconds.
    """

    reports: tuple[_state.PeerReport, ...]
    replies: tuple[_state.PeerReply, ...]
    now: float


class MemberActor(pykka.ThreadingActor):
    """Applies each message to a `MemberState` and publishes a snapshot of the result.

    Parameters
    ----------
    state : MemberState
        State that only this actor changes.
    publish : callable
        Called with each new `Snapshot`.
    """

    use_daemon_thread = True

    def __init__(self, state, publish):
        super().__init__()
        self._state = state
        self._publish = publish

    def on_receive(self, message):
        """Apply a message and publish the resulting snapshot."""
        apply_message(message, self._state)
        self._publish(self._state.make_snapshot())


@functools.singledispatch
def apply_message(message, state):
    """Apply a message to the membership state of a process.

    Parameters
    ----------
    message : DocumentReceived, RevisionConfirmed or HeartbeatRoundEnded
        The message.
    state : MemberState
        Changed in place.
    """
    raise TypeError(f"unsupported message type: {message!r}")


@apply_message.register
def _(message: DocumentReceived, state):
    state.adopt(message.document)


@apply_message.register
def _(message: RevisionConfirmed, state):
    state.record_confirmation(
        message.kind, message.revision, message.requested_s, message.era
    )


@apply_message.register
def _(message: HeartbeatRoundEnded, state):
    for report in message.reports:
        state.record_report(report.heartbeat, report.received_s)
    for reply in message.replies:
        state.record_reply(reply.heartbeat, reply.requested_s)
    state.remove_silent_peers(message.now)
