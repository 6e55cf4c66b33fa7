"""Entry hosts without threads and sockets, on a simulated clock."""

import attrs

from sycamorespoke import domain, membership, messages
from sycamorespoke.membership import _actor, _heartbeat_messages, _state, _watcher
from tests.fakes import document_platform


class FleetHost:
    """Entry host with its member state, watchers and platform connection.

    Parameters
    ----------
    name : str
        Name of the host, ``"<data centre>-<number>"``.
    fleet : Fleet
        Fleet that the host belongs to.
    """

    def __init__(self, name, fleet):
        self.name = name
        self.data_centre = name.partition("-")[0]
        self.fleet = fleet
        self.connection = document_platform.PlatformConnection(fleet.platform)
        self.frozen = False
        self.start()

    def start(self):
        self.state = _state.MemberState(self.name, self.data_centre, self.fleet.now)
        self.snapshot = self.state.make_snapshot()
        self.watchers = [
            _watcher.Watcher(
                kind,
                self.connection,
                self.handle_message,
                lambda: True,
                self.fleet.clock,
            )
            for kind in messages.DocumentKind
        ]

    @property
    def view(self):
        return self.snapshot.view

    def handle_message(self, message):
        _actor.apply_message(message, self.state)
        self.snapshot = self.state.make_snapshot()

    def poll_platform(self):
        for watcher in self.watchers:
            watcher.watch_once(0.8)

    def make_report(self, message_class):
        return _heartbeat_messages.make_heartbeat(
            message_class,
            self.snapshot,
            self.fleet.now,
            name=self.name,
            data_centre=self.data_centre,
            boot_id="",
            address="x",
        )

    def fetch_document(self, kind, peer):
        value = peer.snapshot.documents_by_kind[kind].value
        self.handle_message(
            _actor.DocumentReceived(membership.parse_document(kind, value))
        )


class Fleet:
    """Entry hosts of a deployment and their platform."""

    def __init__(self, names):
        self.now = 1000.0
        self.partitioned_names = frozenset()
        self.platform = document_platform.DocumentPlatform()
        self.hosts_by_name = {name: FleetHost(name, self) for name in names}
        entries_by_name = {
            name: domain.Host(name, host.data_centre, domain.HostRole.ENTRY, "", "x")
            for name, host in self.hosts_by_name.items()
        }
        self.platform.hosts = domain.HostList(1, entries_by_name)

    def clock(self):
        return self.now

    def add_upstream(self, name):
        data_centre = name.partition("-")[0]
        upstream = domain.Host(name, data_centre, domain.HostRole.UPSTREAM, "")
        self.set_host(upstream)
        return upstream

    def set_host(self, host):
        hosts = self.platform.hosts
        by_name = {**hosts.by_name, host.name: host}
        self.platform.hosts = attrs.evolve(
            hosts, revision=hosts.revision + 1, by_name=by_name
        )

    def remove_host(self, name):
        hosts = self.platform.hosts
        by_name = {key: host for key, host in hosts.by_name.items() if key != name}
        self.platform.hosts = domain.HostList(hosts.revision + 1, by_name)

    def partition_network(self, names):
        """Partition the network between these hosts and the others."""
        self.partitioned_names = frozenset(names)

    def _is_partitioned(self, one, other):
        return (one.name in self.partitioned_names) != (
            other.name in self.partitioned_names
        )

    def exchange_heartbeats(self, sender_name, receiver_name, requested_s=None):
        """Send a heartbeat from one host to another and apply the reply.

        ``requested_s`` overrides the time at which the heartbeat was sent.
        """
        sender = self.hosts_by_name[sender_name]
        receiver = self.hosts_by_name[receiver_name]
        if sender.frozen or receiver.frozen or self._is_partitioned(sender, receiver):
            return
        now = self.now
        heartbeat = sender.make_report(messages.Heartbeat)
        reply = receiver.make_report(messages.HeartbeatReply)
        receiver.handle_message(
            _actor.HeartbeatRoundEnded((_state.PeerReport(heartbeat, now),), (), now)
        )
        for kind in _state.find_newer_kinds(reply, sender.state.documents_by_kind):
            sender.fetch_document(kind, receiver)
        for kind in _state.find_newer_kinds(
            heartbeat, receiver.state.documents_by_kind
        ):
            receiver.fetch_document(kind, sender)
        answer = _state.PeerReply(reply, now if requested_s is None else requested_s)
        report = _state.PeerReport(reply, now)
        sender.handle_message(_actor.HeartbeatRoundEnded((report,), (answer,), now))

    def run(self, seconds):
        """Advance the clock second by second; poll and send heartbeats in each."""
        for _ in range(seconds):
            self.now += 1.0
            for host in self.hosts_by_name.values():
                if not host.frozen:
                    host.poll_platform()
            for sender in self.hosts_by_name:
                for receiver in self.hosts_by_name:
                    if sender != receiver:
                        self.exchange_heartbeats(sender, receiver)
