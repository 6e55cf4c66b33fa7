"""Membership of one process in its deployment."""

import contextlib
import time
import uuid

import pykka

from sycamorespoke import decisions, messages
from sycamorespoke.membership import (
    _actor,
    _handlers,
    _heartbeat_messages,
    _heartbeats,
    _state,
    _watcher,
)

# Longest wait until the actor has adopted a document.
ADOPTION_TIMEOUT_S = 5.0


class Member:
    """Keeps the three documents up to date and publishes a view of them.

    Create a member with `Member.start`, read `view` and call `stop` at the end.

    Parameters
    ----------
    name : str
        Name of the host in the platform's host list.
    data_centre : str
        Name of the data centre of the host.
    platform : clients.PlatformClient
        Client of the platform.
    listen : str, default=""
        IP address and port for messages of other processes; empty not to listen,
        which is allowed for a process that is not in the host list.
    shared_key : str, default=""
        Secret shared by all processes; without it, no heartbeats are sent.
    seeds : tuple of str, default=()
        IP addresses and ports of peers to contact before a host list is known.
    in_flight : callable or None, default=None
        Returns the number of running requests by upstream, for the heartbeats.
    handle : callable or None, default=None
        Handles the messages that do not concern the membership.
    shards : callable or None, default=None
        Returns the names of the shards whose leases are held, for the heartbeats.

    Attributes
    ----------
    view : View
        Current view; replaced as a whole and readable from any thread.
    peer_address : str
        IP address and port that the member listens on.
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
        """Create a member and start its threads.

        Parameters
        ----------
        *args, **kwargs
            Parameters of the class.

        Returns
        -------
        Member
            A member that has not received any documents yet, see `is_ready`.
        """
        member = cls(*args, **kwargs)
        member._start()
        return member

    def stop(self):
        """Stop the threads; a running watch ends with its own timeout."""
        for watcher in self._watchers:
            watcher.stop()
        if self._server is not None:
            self._server.stop()
        if self._heartbeats is not None:
            self._heartbeats.stop()
        self._actor.stop()

    def mark_leaving(self):
        """Announce to the peers, from now on, that this host is leaving."""
        self.is_leaving = True

    def is_ready(self, now):
        """Return whether this host is ready for traffic.

        Parameters
        ----------
        now : float
            Current monotonic time, in seconds.

        Returns
        -------
        bool
            Whether the view is recently confirmed and the host is not leaving.
        """
        return not self.is_leaving and decisions.is_ready(self.view, now)

    def make_in_force_reply(self):
        """Make the reply that reports the revisions in force on this host.

        Returns
        -------
        messages.InForceReply
            The reply.
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
        """Make a heartbeat, or a reply to one, for a peer.

        Parameters
        ----------
        message_class : type
            `messages.Heartbeat` or `messages.HeartbeatReply`.

        Returns
        -------
        messages.Heartbeat
            The message.
        """
        return _heartbeat_messages.make_heartbeat(
            message_class,
            self.snapshot,
            time.monotonic(),
            name=self.name,
            data_centre=self.data_centre,
            boot_id=self.boot_id,
            address=self.peer_address,
            leaving=self.is_leaving,
            in_flight_by_upstream=self._get_in_flight(message_class),
            shards=self.shards() if self.shards else (),
        )

    def handle_heartbeat(self, heartbeat):
        """Handle the heartbeat of another host.

        Parameters
        ----------
        heartbeat : messages.Heartbeat
            The heartbeat.
        """
        self._heartbeats.handle_heartbeat(heartbeat, time.monotonic())

    def update_watching(self, now):
        """Update whether this host watches the platform continuously.

        Parameters
        ----------
        now : float
            Current monotonic time, in seconds.
        """
        self.is_watching = decisions.is_watcher(
            self.name, self.data_centre, self.view, now
        )

    def handle(self, message):
        """Handle a message that does not concern the membership.

        Parameters
        ----------
        message : messages.Message
            The message.

        Returns
        -------
        messages.Message or None
            The reply, ``None`` if there is no handler for the message.
        """
        return self._handle(message) if self._handle else None

    def _get_in_flight(self, message_class):
        # Hosts of a data centre send each other heartbeats every second anyway, so
        # replies need not repeat these counts.
        if self.in_flight is None or message_class is messages.HeartbeatReply:
            return {}
        return self.in_flight()

    def _start(self):
        self._actor = _actor.MemberActor.start(self._state, self._publish)
        if self.shared_key:
            codec = messages.Codec(self.shared_key)
            self._heartbeats = _heartbeats.Heartbeats(self, codec, self._send_to_actor)
        if self.listen:
            self._server = messages.Server(
                self.listen, self.shared_key, self._handle_message
            )
            self.peer_address = self._server.address
        if self._heartbeats is not None:
            self._heartbeats.start()
        for kind in messages.DocumentKind:
            watcher = _watcher.Watcher(
                kind, self.platform, self._send_and_push, self._is_watching
            )
            self._watchers.append(watcher)
            watcher.start()

    def _handle_message(self, message):
        return _handlers.handle_message(message, self)

    def _is_watching(self):
        return self.is_watching

    def _publish(self, snapshot):
        self.snapshot = snapshot
        self.view = snapshot.view

    def _send_to_actor(self, message):
        with contextlib.suppress(pykka.ActorDeadError):
            self._actor.tell(message)

    def _send_and_push(self, message):
        if self._heartbeats is None or not self._is_newer(message):
            self._send_to_actor(message)
            return
        with contextlib.suppress(pykka.ActorDeadError):
            # The actor adopts the document first, so that the heartbeats of the
            # pushed round carry the new revision.
            self._actor.ask(message, timeout=ADOPTION_TIMEOUT_S)
            self._heartbeats.push()

    def _is_newer(self, message):
        if not isinstance(message, _actor.DocumentReceived):
            return False
        document = message.document
        current = self.snapshot.documents_by_kind[document.kind]
        return decisions.choose_newer_revision(current, document) is not current
