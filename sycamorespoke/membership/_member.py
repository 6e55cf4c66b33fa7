"""A daemon's part in the membership of its deployment."""

import contextlib
import time
import uuid

import pykka

from sycamorespoke import decisions, messages
from sycamorespoke.membership import (
    _actor,
    _answers,
    _heartbeats,
    _reports,
    _state,
    _watcher,
)

ADOPTION_TIMEOUT_S = 5.0


class Member:
    """Keep the three documents up to date and offer a view of them.

    Use `Member.start`, read `view`, call `stop` at the end.

    Parameters
    ----------
    name : str
        Name of the host, as the platform lists it.
    data_centre : str
        Name of its data centre.
    platform : clients.PlatformClient
        The platform.
    listen : str, default=""
        IP number and port for messages between the system's own processes; empty
        to answer none, which a process that is not in the list of hosts may do.
    shared_key : str, default=""
        Secret that all processes share; without it there are no heartbeats.
    seeds : tuple of str, default=()
        Peers to ask while no list of hosts is known, IP number and port.
    in_flight : callable or None, default=None
        Returns the requests running by upstream, for the heartbeats.
    handle : callable or None, default=None
        Answers the messages that are not for the membership.
    shards : callable or None, default=None
        Returns the names of the shards held, for the heartbeats.

    Attributes
    ----------
    view : View
        What is known now; replaced as a whole, readable from any thread.
    peer_address : str
        IP number and port listened on.
    """

    def __init__(
        self,
        name,
        data_centre,
        platform,
        listen="",
        shared_key="",
        seeds=(),
        in_flight=None,
        handle=None,
        shards=None,
    ):
        self.name = name
        self.data_centre = data_centre
        self.platform = platform
        self.listen = listen
        self.shared_key = shared_key
        self.seeds = seeds
        self.in_flight = in_flight
        self.shards = shards
        self.peer_address = ""
        self.is_leaving = False
        self.is_watching = True
        self.boot_id = uuid.uuid4().hex[:8]
        self._handle = handle
        self._state = _state.MemberState(name, data_centre, time.monotonic())
        self.snapshot = self._state.make_snapshot()
        self.view = self.snapshot.view
        self._actor = None
        self._watchers = []
        self._server = None
        self._heartbeats = None

    @classmethod
    def start(cls, *args, **kwargs):
        """Make a member and start its threads.

        Parameters
        ----------
        *args, **kwargs
            As for the class.

        Returns
        -------
        Member
            It has no documents yet; `decisions.is_ready` says when it has.
        """
        member = cls(*args, **kwargs)
        member._start()
        return member

    def stop(self):
        """End the threads; a watch under way ends by itself."""
        for watcher in self._watchers:
            watcher.stop()
        if self._server is not None:
            self._server.stop()
        if self._heartbeats is not None:
            self._heartbeats.stop()
        self._actor.stop()

    def mark_leaving(self):
        """Tell the peers from now on that this host is on its way out."""
        self.is_leaving = True

    def is_ready(self, now):
        """Decide whether this host takes callers.

        Parameters
        ----------
        now : float
            Present time, seconds of the monotonic clock.

        Returns
        -------
        bool
            Its view is confirmed and it is not on its way out.
        """
        return not self.is_leaving and decisions.is_ready(self.view, now)

    def make_in_force_reply(self):
        """Return which revisions are in force here.

        Returns
        -------
        messages.InForceReply
            The revisions.
        """
        view = self.view
        return messages.InForceReply(
            host=self.name,
            data_centre=self.data_centre,
            ready=self.is_ready(time.monotonic()),
            rules=view.configuration.revision,
            service_state=view.service_state.revision,
            hosts=view.hosts.revision,
        )

    def make_heartbeat(self, message_class):
        """Make the message that tells a peer about this host.

        Parameters
        ----------
        message_class : type
            `messages.Heartbeat` or `messages.HeartbeatReply`.

        Returns
        -------
        messages.Heartbeat
            The message.
        """
        return _reports.make_report(
            message_class,
            self.snapshot,
            time.monotonic(),
            name=self.name,
            data_centre=self.data_centre,
            boot_id=self.boot_id,
            address=self.peer_address,
            leaving=self.is_leaving,
            in_flight_by_upstream=self._in_flight_for(message_class),
            shards=self.shards() if self.shards else (),
        )

    def hear(self, report):
        """Take the heartbeat of another host.

        Parameters
        ----------
        report : messages.Heartbeat
            What it said.
        """
        self._heartbeats.hear(report, time.monotonic())

    def update_watching(self, now):
        """Decide anew whether this host watches the platform all the time.

        Parameters
        ----------
        now : float
            Present time, seconds of the monotonic clock.
        """
        self.is_watching = decisions.is_watcher(
            self.name, self.data_centre, self.view, now
        )

    def handle(self, message):
        """Answer a message that is not for the membership.

        Parameters
        ----------
        message : messages.Message
            The request.

        Returns
        -------
        messages.Message or None
            The answer, ``None`` if nothing here answers such a message.
        """
        return self._handle(message) if self._handle else None

    def _in_flight_for(self, message_class):
        # Hosts of a data centre ask each other once a second anyway, so that the
        # replies need not say it again.
        if self.in_flight is None or message_class is messages.HeartbeatReply:
            return {}
        return self.in_flight()

    def _start(self):
        self._actor = _actor.MemberActor.start(self._state, self._publish)
        if self.shared_key:
            codec = messages.Codec(self.shared_key)
            self._heartbeats = _heartbeats.Heartbeats(self, codec, self._tell)
        if self.listen:
            self._server = messages.Server(self.listen, self.shared_key, self._answer)
            self.peer_address = self._server.address
        if self._heartbeats is not None:
            self._heartbeats.start()
        for kind in messages.DocumentKind:
            watcher = _watcher.Watcher(
                kind, self.platform, self._tell_and_push, self._is_watching
            )
            self._watchers.append(watcher)
            watcher.start()

    def _answer(self, message):
        return _answers.answer(message, self)

    def _is_watching(self):
        return self.is_watching

    def _publish(self, snapshot):
        self.snapshot = snapshot
        self.view = snapshot.view

    def _tell(self, message):
        with contextlib.suppress(pykka.ActorDeadError):
            self._actor.tell(message)

    def _tell_and_push(self, message):
        if self._heartbeats is None or not self._is_news(message):
            self._tell(message)
            return
        with contextlib.suppress(pykka.ActorDeadError):
            # The round that follows must carry the new revision already.
            self._actor.ask(message, timeout=ADOPTION_TIMEOUT_S)
            self._heartbeats.push()

    def _is_news(self, message):
        if not isinstance(message, _actor.DocumentReceived):
            return False
        document = message.document
        current = self.snapshot.documents_by_kind[document.kind]
        return decisions.choose_newer_revision(current, document) is not current
