"""Entry hosts without threads and sockets, at a given time."""

import attrs

from sycamorespoke import membership, messages, world
from sycamorespoke.membership import _actor, _reports, _state, _watcher
from tests.fakes import document_platform


class FleetHost:
    """One entry host: its knowledge, its watchers and its way to the platform.

    Parameters
    ----------
    name : str
        Its name, ``"<data centre>-<number>"``.
    fleet : Fleet
        Its deployment.
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
            watcher.follow_once(0.8)

    def make_report(self, message_class):
        return _reports.make_report(
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
        self.handle_message(_actor.Offered(membership.parse_document(kind, value)))


class Fleet:
    """Entry hosts of a deployment and their platform."""

    def __init__(self, names):
        self.now = 1000.0
        self.cut_names = frozenset()
        self.platform = document_platform.DocumentPlatform()
        self.hosts_by_name = {name: FleetHost(name, self) for name in names}
        entries_by_name = {
            name: world.Host(name, host.data_centre, world.HostRole.ENTRY, "", "x")
            for name, host in self.hosts_by_name.items()
        }
        self.platform.hosts = world.HostList(1, entries_by_name)

    def clock(self):
        return self.now

    def add_upstream(self, name):
        data_centre = name.partition("-")[0]
        upstream = world.Host(name, data_centre, world.HostRole.UPSTREAM, "")
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
        self.platform.hosts = world.HostList(hosts.revision + 1, by_name)

    def cut_off(self, names):
        """Cut the network between these hosts and the others."""
        self.cut_names = frozenset(names)

    def _is_cut(self, one, other):
        return (one.name in self.cut_names) != (other.name in self.cut_names)

    def exchange_heartbeats(self, asker_name, answerer_name, asked_s=None):
        """Let one host ask another; the answer may come late."""
        asker = self.hosts_by_name[asker_name]
        answerer = self.hosts_by_name[answerer_name]
        if asker.frozen or answerer.frozen or self._is_cut(asker, answerer):
            return
        now = self.now
        beat = asker.make_report(messages.Heartbeat)
        reply = answerer.make_report(messages.HeartbeatReply)
        answerer.handle_message(
            _actor.RoundHeard((_state.PeerReport(beat, now),), (), now)
        )
        for kind in _state.compare_revisions(reply, asker.state.documents_by_kind):
            asker.fetch_document(kind, answerer)
        for kind in _state.compare_revisions(beat, answerer.state.documents_by_kind):
            answerer.fetch_document(kind, asker)
        answer = _state.PeerAnswer(reply, now if asked_s is None else asked_s)
        heard = _state.PeerReport(reply, now)
        asker.handle_message(_actor.RoundHeard((heard,), (answer,), now))

    def run(self, seconds):
        """Let every host follow the platform and beat once a second."""
        for _ in range(seconds):
            self.now += 1.0
            for host in self.hosts_by_name.values():
                if not host.frozen:
                    host.poll_platform()
            for asker in self.hosts_by_name:
                for answerer in self.hosts_by_name:
                    if asker != answerer:
                        self.exchange_heartbeats(asker, answerer)
