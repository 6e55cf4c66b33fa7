"""Membership state of a process, without threads and without a clock."""

import attrs

from sycamorespoke import decisions, domain, messages
from sycamorespoke.membership import _documents, _retained_hosts, _view

# Time without a heartbeat after which a peer is removed.
PEER_RETENTION_S = 60.0


@attrs.frozen
class PeerReply:
    """Reply of a peer to a heartbeat.

    Parameters
    ----------
    heartbeat : messages.HeartbeatReply
        The reply.
    requested_s : float
        Monotonic time at which the heartbeat was sent, in seconds.
    """

    heartbeat: messages.HeartbeatReply
    requested_s: float


@attrs.frozen
class PeerReport:
    """Latest heartbeat of a peer, which may be a reply.

    Parameters
    ----------
    heartbeat : messages.Heartbeat
        The heartbeat or the reply.
    received_s : float
        Monotonic time of the receipt, in seconds.
    """

    heartbeat: messages.Heartbeat
    received_s: float


@attrs.frozen
class Snapshot:
    """Immutable snapshot of the membership state, published by the actor.

    Parameters
    ----------
    view : View
        View for the other parts of the process.
    documents_by_kind : dict of messages.DocumentKind to Document
        Documents for peers that request them.
    """

    view: _view.View
    documents_by_kind: dict[messages.DocumentKind, _documents.Document]


class MemberState:
    """Documents, their confirmations and the latest heartbeats of peers.

    Methods take the times that they need; the caller has to serialize the calls.

    Parameters
    ----------
    name : str
        Name of the host.
    data_centre : str
        Data centre of the host.
    started_s : float, default=-inf
        Monotonic time at which the process started, in seconds.
    """

    def __init__(self, name, data_centre, started_s=_view.NEVER_S):
        self.started_s = started_s
        self.name = name
        self.data_centre = data_centre
        self.documents_by_kind = _documents.empty_documents()
        self._platform_confirmed_s = _view.NEVER_S
        self._requested_s_by_kind = dict.fromkeys(messages.DocumentKind, _view.NEVER_S)
        self._confirmed_era_by_kind = dict.fromkeys(messages.DocumentKind, 0)
        self._replies_by_name = {}
        self._in_flight_by_name = {}
        self._reports_by_name = {}
        self._retained_hosts = _retained_hosts.RetainedHosts()
        self._neighbours = None
        self._neighbours_hosts = None

    def adopt(self, document):
        """Adopt a document if its revision is higher than the current one.

        Parameters
        ----------
        document : Document
            Document from the platform or a peer.

        Returns
        -------
        bool
            Whether the document was adopted.
        """
        current = self.documents_by_kind[document.kind]
        adopted = decisions.choose_newer_revision(current, document)
        if adopted is current:
            return False
        if document.kind is messages.DocumentKind.HOSTS:
            adopted = self._retained_hosts.merge(current, adopted)
        self.documents_by_kind[document.kind] = adopted
        return True

    def record_confirmation(self, kind, revision, requested_s, era=0):
        """Record the latest revision of a document according to the platform.

        Parameters
        ----------
        kind : messages.DocumentKind
            Kind of the document.
        revision : int
            Revision that the platform stores.
        requested_s : float
            Monotonic time at which the read was sent to the platform, in seconds.
        era : int, default=0
            Era of the platform's store.
        """
        if kind is messages.DocumentKind.HOSTS:
            self.documents_by_kind[kind] = self._retained_hosts.expire(
                self.documents_by_kind[kind], requested_s
            )
        if revision == self.documents_by_kind[kind].revision:
            self._confirmed_era_by_kind[kind] = max(
                self._confirmed_era_by_kind[kind], era
            )
        elif not self._is_older_copy(kind, revision, era):
            return
        known = self._requested_s_by_kind[kind]
        self._requested_s_by_kind[kind] = max(known, requested_s)
        requested_s = min(self._requested_s_by_kind.values())
        self._platform_confirmed_s = max(self._platform_confirmed_s, requested_s)

    def record_report(self, heartbeat, received_s):
        """Record a heartbeat of a peer, which may be a reply.

        Parameters
        ----------
        heartbeat : messages.Heartbeat
            The heartbeat or the reply.
        received_s : float
            Monotonic time of the receipt, in seconds.
        """
        if heartbeat.name == self.name:
            return
        self._reports_by_name[heartbeat.name] = PeerReport(heartbeat, received_s)
        if not isinstance(heartbeat, messages.HeartbeatReply):
            # Replies do not carry these counts.
            self._in_flight_by_name[heartbeat.name] = heartbeat.in_flight_by_upstream

    def record_reply(self, heartbeat, requested_s):
        """Record the reply of a peer to a heartbeat of this host.

        Parameters
        ----------
        heartbeat : messages.HeartbeatReply
            The reply.
        requested_s : float
            Monotonic time at which the heartbeat was sent, in seconds.
        """
        if heartbeat.name != self.name:
            self._replies_by_name[heartbeat.name] = PeerReply(heartbeat, requested_s)

    def remove_silent_peers(self, now):
        """Remove the peers without a heartbeat for ``PEER_RETENTION_S``.

        Parameters
        ----------
        now : float
            Current monotonic time, in seconds.
        """
        for name, report in list(self._reports_by_name.items()):
            if now - report.received_s > PEER_RETENTION_S:
                del self._reports_by_name[name]
                self._replies_by_name.pop(name, None)
                self._in_flight_by_name.pop(name, None)

    def make_snapshot(self):
        """Make a snapshot of the current state.

        Returns
        -------
        Snapshot
            The snapshot.
        """
        self._apply_confirmations_of_peers()
        contents = {
            kind: document.content for kind, document in self.documents_by_kind.items()
        }
        hosts = contents[messages.DocumentKind.HOSTS]
        peers_confirmed_s = self._compute_peers_confirmed_s(hosts)
        view = _view.View(
            configuration=contents[messages.DocumentKind.RULES],
            service_state=contents[messages.DocumentKind.SERVICE_STATE],
            hosts=hosts,
            last_heartbeat_s_by_name=self._get_last_heartbeat_s_by_name(),
            confirmed_s=max(self._platform_confirmed_s, peers_confirmed_s),
            platform_confirmed_s=self._platform_confirmed_s,
            peers_confirmed_s=peers_confirmed_s,
            started_s=self.started_s,
            in_flight_by_upstream=self._sum_in_flight_by_upstream(),
            holder_by_shard=self._get_holder_by_shard(),
        )
        return Snapshot(view, dict(self.documents_by_kind))

    def _is_older_copy(self, kind, revision, era):
        # A revision below the adopted one is a stale read and confirms nothing, unless
        # the store has lost the adopted one: then it has nothing newer.
        adopted = self.documents_by_kind[kind].revision
        known_era = max(domain.get_era(adopted), self._confirmed_era_by_kind[kind])
        return revision < adopted and era > known_era

    def _is_up_to_date_with(self, heartbeat):
        return not find_newer_kinds(heartbeat, self.documents_by_kind)

    def _apply_confirmations_of_peers(self):
        # The peer computed the age after the heartbeat was sent, so the platform
        # had nothing newer at (time of sending - age), however late the reply came.
        for reply in self._replies_by_name.values():
            age_s = reply.heartbeat.confirmed_age_s
            if age_s >= 0 and self._is_up_to_date_with(reply.heartbeat):
                confirmed_s = reply.requested_s - age_s
                self._platform_confirmed_s = max(
                    self._platform_confirmed_s, confirmed_s
                )

    def _compute_peers_confirmed_s(self, hosts):
        # A peer that has not received a configuration yet cannot confirm one.
        requested_s_by_name = {
            name: reply.requested_s
            for name, reply in self._replies_by_name.items()
            if reply.heartbeat.rules > 0 and self._is_up_to_date_with(reply.heartbeat)
        }
        return decisions.compute_peers_confirmed_s(
            self._choose_neighbours(hosts), requested_s_by_name
        )

    def _choose_neighbours(self, hosts):
        if hosts is not self._neighbours_hosts:
            self._neighbours_hosts = hosts
            self._neighbours = decisions.choose_neighbours(
                self.name, self.data_centre, hosts
            )
        return self._neighbours

    def _get_last_heartbeat_s_by_name(self):
        return {
            name: report.received_s for name, report in self._reports_by_name.items()
        }

    def _get_holder_by_shard(self):
        # If two hosts report the same shard, the later heartbeat wins.
        reports = sorted(self._reports_by_name.values(), key=lambda r: r.received_s)
        return {
            shard: report.heartbeat.name
            for report in reports
            for shard in report.heartbeat.shards
        }

    def _sum_in_flight_by_upstream(self):
        total_by_upstream = {}
        for counts_by_upstream in self._in_flight_by_name.values():
            for upstream, count in counts_by_upstream.items():
                total_by_upstream[upstream] = total_by_upstream.get(upstream, 0) + count
        return total_by_upstream


def find_newer_kinds(heartbeat, documents_by_kind):
    """Find the kinds of documents of which a peer has a higher revision.

    Parameters
    ----------
    heartbeat : messages.Heartbeat
        Heartbeat of the peer, with its revisions.
    documents_by_kind : dict of messages.DocumentKind to Document
        Documents of this host.

    Returns
    -------
    list of messages.DocumentKind
        Kinds with a higher revision at the peer, empty if there are none.
    """
    return [
        kind
        for kind, document in documents_by_kind.items()
        if getattr(heartbeat, kind.value) > document.revision
    ]
