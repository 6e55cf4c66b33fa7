"""The actor that serialises all changes of a daemon's knowledge."""

import functools

import attrs
import pykka

from sycamorespoke import messages
from sycamorespoke.membership import _documents, _state


@attrs.frozen
class DocumentReceived:
    """A document came from the platform or a peer.

    Parameters
    ----------
    document : Document
        The document.
    """

    document: _documents.Document


@attrs.frozen
class RevisionConfirmed:
    """The platform said which revision is its latest.

    Parameters
    ----------
    kind : messages.DocumentKind
        Which document.
    revision : int
        The revision.
    asked_s : float
        When it was asked, seconds of the monotonic clock.
    """

    kind: messages.DocumentKind
    revision: int
    asked_s: float


@attrs.frozen
class HeartbeatRoundEnded:
    """What peers said in one round of heartbeats.

    Parameters
    ----------
    reports : tuple of PeerReport
        What each said about itself, asked or not.
    answers : tuple of PeerReply
        Answers to our own heartbeats.
    now : float
        End of the round, seconds of the monotonic clock.
    """

    reports: tuple[_state.PeerReport, ...]
    answers: tuple[_state.PeerReply, ...]
    now: float


class MemberActor(pykka.ThreadingActor):
    """Apply messages to a `MemberState` one by one and publish the snapshot.

    Parameters
    ----------
    state : MemberState
        Changed by this actor only.
    publish : callable
        Takes each new `Snapshot`.
    """

    use_daemon_thread = True

    def __init__(self, state, publish):
        super().__init__()
        self._state = state
        self._publish = publish

    def on_receive(self, message):
        """Apply a message."""
        apply_message(message, self._state)
        self._publish(self._state.make_snapshot())


@functools.singledispatch
def apply_message(message, state):
    """Apply a message to the knowledge of a daemon.

    Parameters
    ----------
    message : DocumentReceived, RevisionConfirmed or HeartbeatRoundEnded
        The message.
    state : MemberState
        Changed in place.
    """
    raise TypeError(f"no such message: {message!r}")


@apply_message.register
def _(message: DocumentReceived, state):
    state.offer(message.document)


@apply_message.register
def _(message: RevisionConfirmed, state):
    state.confirm(message.kind, message.revision, message.asked_s)


@apply_message.register
def _(message: HeartbeatRoundEnded, state):
    for heard in message.reports:
        state.hear(heard.report, heard.received_s)
    for answer in message.answers:
        state.hear_answer(answer.reply, answer.asked_s)
    state.forget(message.now)
