"""The knowledge of a daemon, without threads and without a clock."""

import attrs

from sycamorespoke import decisions, messages
from sycamorespoke.membership import _documents, _view

FORGET_AFTER_S = 60.0


@attrs.frozen
class PeerReply:
    """A peer's answer to a heartbeat.

    Parameters
    ----------
    reply : messages.HeartbeatReply
        What it said.
    asked_s : float
        When it was asked, seconds of the monotonic clock.
    """

    reply: messages.HeartbeatReply
    asked_s: float


@attrs.frozen
class PeerReport:
    """The latest that a peer said about itself, asked or not.

    Parameters
    ----------
    report : messages.Heartbeat
        What it said.
    received_s : float
        When it was heard, seconds of the monotonic clock.
    """

    report: messages.Heartbeat
    received_s: float


@attrs.frozen
class Snapshot:
    """What the actor publishes; never changed.

    Parameters
    ----------
    view : View
        For the rest of the daemon.
    documents_by_kind : dict of messages.DocumentKind to Document
        For peers that ask for them.
    """

    view: _view.View
    documents_by_kind: dict[messages.DocumentKind, _documents.Document]


class MemberState:
    """Documents, their confirmations and what peers said.

    Each method takes the times that it needs; the caller serialises the calls.

    Parameters
    ----------
    name : str
        Name of the host.
    data_centre : str
        Its data centre.
    started_s : float, default=-inf
        When the process started, seconds of the monotonic clock.
    """

    def __init__(self, name, data_centre, started_s=_view.NEVER_S):
        self.started_s = started_s
        self.name = name
        self.data_centre = data_centre
        self.documents_by_kind = _documents.empty_documents()
        self._platform_confirmed_s = _view.NEVER_S
        self._asked_s_by_kind = dict.fromkeys(messages.DocumentKind, _view.NEVER_S)
        self._answers_by_name = {}
        self._in_flight_by_name = {}
        self._reports_by_name = {}
        self._neighbours = None
        self._neighbours_revision = -1

    def offer(self, document):
        """Adopt a document if its revision is higher than the present one.

        Parameters
        ----------
        document : Document
            From the platform or a peer.

        Returns
        -------
        bool
            It was adopted.
        """
        current = self.documents_by_kind[document.kind]
        adopted = decisions.choose_newer_revision(current, document)
        self.documents_by_kind[document.kind] = adopted
        return adopted is not current

    def confirm(self, kind, revision, asked_s):
        """Take the platform's word that a revision is its latest.

        Parameters
        ----------
        kind : messages.DocumentKind
            Which document.
        revision : int
            Revision that the platform holds.
        asked_s : float
            When the platform was asked, seconds of the monotonic clock.
        """
        # A lower revision than our own is a stale read and confirms nothing.
        if revision != self.documents_by_kind[kind].revision:
            return
        known = self._asked_s_by_kind[kind]
        self._asked_s_by_kind[kind] = max(known, asked_s)
        asked_s = min(self._asked_s_by_kind.values())
        self._platform_confirmed_s = max(self._platform_confirmed_s, asked_s)

    def hear(self, report, received_s):
        """Take what a peer said about itself.

        Parameters
        ----------
        report : messages.Heartbeat
            What it said.
        received_s : float
            When it was heard, seconds of the monotonic clock.
        """
        if report.name == self.name:
            return
        self._reports_by_name[report.name] = PeerReport(report, received_s)
        if not isinstance(report, messages.HeartbeatReply):
            # A reply does not say it.
            self._in_flight_by_name[report.name] = report.in_flight_by_upstream

    def hear_answer(self, reply, asked_s):
        """Take a peer's answer to our own heartbeat.

        Parameters
        ----------
        reply : messages.HeartbeatReply
            What it said.
        asked_s : float
            When it was asked, seconds of the monotonic clock.
        """
        if reply.name != self.name:
            self._answers_by_name[reply.name] = PeerReply(reply, asked_s)

    def forget(self, now):
        """Forget the peers that were not heard for a minute.

        Parameters
        ----------
        now : float
            Present time, seconds of the monotonic clock.
        """
        for name, report in list(self._reports_by_name.items()):
            if now - report.received_s > FORGET_AFTER_S:
                del self._reports_by_name[name]
                self._answers_by_name.pop(name, None)
                self._in_flight_by_name.pop(name, None)

    def make_snapshot(self):
        """Make the snapshot of the present knowledge.

        Returns
        -------
        Snapshot
            The snapshot.
        """
        self._take_answers_of_confirmed_peers()
        contents = {
            kind: document.content for kind, document in self.documents_by_kind.items()
        }
        hosts = contents[messages.DocumentKind.HOSTS]
        peers_confirmed_s = self._confirmed_by_peers(hosts)
        view = _view.View(
            configuration=contents[messages.DocumentKind.RULES],
            service_state=contents[messages.DocumentKind.SERVICE_STATE],
            hosts=hosts,
            last_heartbeat_s_by_name=self._alive_by_name(),
            confirmed_s=max(self._platform_confirmed_s, peers_confirmed_s),
            platform_confirmed_s=self._platform_confirmed_s,
            peers_confirmed_s=peers_confirmed_s,
            started_s=self.started_s,
            in_flight_by_upstream=self._in_flight_by_upstream(),
            holder_by_shard=self._holder_by_shard(),
        )
        return Snapshot(view, dict(self.documents_by_kind))

    def _holds_all_of(self, report):
        return not find_newer_kinds(report, self.documents_by_kind)

    def _take_answers_of_confirmed_peers(self):
        # The peer computed its age after it was asked, so that the platform held
        # nothing newer at (time of asking - age), whenever the answer came.
        for answer in self._answers_by_name.values():
            age_s = answer.reply.confirmed_age_s
            if age_s >= 0 and self._holds_all_of(answer.reply):
                confirmed_s = answer.asked_s - age_s
                self._platform_confirmed_s = max(
                    self._platform_confirmed_s, confirmed_s
                )

    def _confirmed_by_peers(self, hosts):
        # A peer without rules knows nothing that it could confirm.
        asked_s_by_name = {
            name: answer.asked_s
            for name, answer in self._answers_by_name.items()
            if answer.reply.rules > 0 and self._holds_all_of(answer.reply)
        }
        return decisions.compute_peers_confirmed_s(
            self._choose_neighbours(hosts), asked_s_by_name
        )

    def _choose_neighbours(self, hosts):
        if hosts.revision != self._neighbours_revision:
            self._neighbours_revision = hosts.revision
            self._neighbours = decisions.choose_neighbours(
                self.name, self.data_centre, hosts
            )
        return self._neighbours

    def _alive_by_name(self):
        return {
            name: report.received_s for name, report in self._reports_by_name.items()
        }

    def _holder_by_shard(self):
        # Of two that say so, the one heard last.
        reports = sorted(self._reports_by_name.values(), key=lambda r: r.received_s)
        return {
            shard: report.report.name
            for report in reports
            for shard in report.report.shards
        }

    def _in_flight_by_upstream(self):
        total_by_upstream = {}
        for counts_by_upstream in self._in_flight_by_name.values():
            for upstream, count in counts_by_upstream.items():
                total_by_upstream[upstream] = total_by_upstream.get(upstream, 0) + count
        return total_by_upstream


def find_newer_kinds(report, documents_by_kind):
    """Find the documents of which a peer holds a higher revision.

    Parameters
    ----------
    report : messages.Heartbeat
        What the peer said.
    documents_by_kind : dict of messages.DocumentKind to Document
        Our own documents.

    Returns
    -------
    list of messages.DocumentKind
        Empty if we hold all that it holds.
    """
    return [
        kind
        for kind, document in documents_by_kind.items()
        if getattr(report, kind.value) > document.revision
    ]
