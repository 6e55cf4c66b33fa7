"""The thread that exchanges heartbeats with peers and fetches what it lacks."""

import threading
import time

from loguru import logger

from sycamorespoke import decisions, messages
from sycamorespoke.membership import _actor, _documents, _state

INTERVAL_S = 1.0
ANSWER_WITHIN_S = 0.4
FETCH_TIMEOUT_S = 1.0
SHORTEST_PAUSE_S = 0.02
# A new connection stands after a moment only.
CONNECT_PAUSE_S = 0.1


class Heartbeats:
    """Ask the neighbours for a sign of life and their revisions each second.

    Parameters
    ----------
    member : Member
        On whose behalf.
    codec : messages.Codec
        Holds the shared key.
    tell : callable
        Takes the messages for the `MemberActor`.
    """

    def __init__(self, member, codec, tell):
        self.member = member
        self.codec = codec
        self.tell = tell
        self._peers_by_address = {}
        self._unheard = []
        self._unheard_lock = threading.Lock()
        self._unusable_revisions_by_kind = {}
        self._wake = threading.Event()
        self._push = False
        self._stopped = False
        self._thread = threading.Thread(
            target=self._run, name="heartbeats", daemon=True
        )

    def start(self):
        """Start the thread."""
        self._thread.start()

    def stop(self):
        """End the thread and close the connections."""
        self._stopped = True
        self._wake.set()
        self._thread.join()
        for peer in self._peers_by_address.values():
            peer.close()

    def push(self):
        """Start a round now, because a document changed."""
        self._push = True
        self._wake.set()

    def hear(self, report, now):
        """Take the heartbeat of another host; called from any thread.

        Parameters
        ----------
        report : messages.Heartbeat
            What it said.
        now : float
            Present time, seconds of the monotonic clock.
        """
        if not report.address:
            # A process beside the host's daemon; it says nothing about that one.
            return
        with self._unheard_lock:
            self._unheard.append(_state.PeerReport(report, now))
        documents_by_kind = self.member.snapshot.documents_by_kind
        if _state.find_newer_kinds(report, documents_by_kind):
            self._wake.set()

    def _run(self):
        next_s = time.monotonic()
        while not self._stopped:
            self._wake.wait(max(SHORTEST_PAUSE_S, next_s - time.monotonic()))
            self._wake.clear()
            if self._stopped:
                return
            try:
                if self._push or time.monotonic() >= next_s:
                    self._push = False
                    next_s = time.monotonic() + self.run_round()
                else:
                    self._take([])
            except Exception:
                # A fault in one round must not end the thread.
                logger.exception("a round of heartbeats failed")

    def run_round(self):
        """Ask every neighbour once and take the answers.

        Returns
        -------
        float
            Pause before the next round, seconds.
        """
        peers, has_new = self._open_peers()
        asked_s = time.monotonic()
        heartbeat = self.member.make_heartbeat(messages.Heartbeat)
        nonces_by_peer = {peer: peer.send(heartbeat) for peer in peers}
        answers = []
        for peer, nonce in nonces_by_peer.items():
            if isinstance(nonce, messages.NoReply):
                continue
            remaining_s = asked_s + ANSWER_WITHIN_S - time.monotonic()
            reply = peer.receive(nonce, remaining_s)
            if isinstance(reply, messages.HeartbeatReply):
                answers.append(_state.PeerReply(reply, asked_s))
        self._take(answers)
        self.member.update_watching(time.monotonic())
        return CONNECT_PAUSE_S if has_new else INTERVAL_S

    def _take(self, answers):
        now = time.monotonic()
        with self._unheard_lock:
            reports = self._unheard
            self._unheard = []
        reports += [_state.PeerReport(answer.reply, now) for answer in answers]
        self._fetch([report.report for report in reports])
        self.tell(_actor.HeartbeatRoundEnded(tuple(reports), tuple(answers), now))

    def _fetch(self, reports):
        documents_by_kind = self.member.snapshot.documents_by_kind
        for kind, document in documents_by_kind.items():
            known = max(
                document.revision, self._unusable_revisions_by_kind.get(kind, 0)
            )
            best = max(
                reports, key=lambda report: getattr(report, kind.value), default=None
            )
            if best is not None and getattr(best, kind.value) > known:
                self._fetch_document(kind, best)

    def _fetch_document(self, kind, report):
        host = self.member.view.hosts.by_name.get(report.name)
        address = (host.peer_address if host else "") or report.address
        with messages.Peer(address, self.codec) as peer:
            reply = peer.ask(messages.DocumentRequest(kind), FETCH_TIMEOUT_S)
        if not isinstance(reply, messages.DocumentReply) or reply.kind is not kind:
            return
        document = _documents.parse_document(kind, reply.value)
        if isinstance(document, _documents.InvalidDocument):
            self._unusable_revisions_by_kind[kind] = reply.revision
            logger.error("unusable document of {}: {}", report.name, document.reason)
            return
        self.tell(_actor.DocumentReceived(document))

    def _open_peers(self):
        addresses = self._addresses()
        for address in set(self._peers_by_address) - set(addresses):
            self._peers_by_address.pop(address).close()
        missing = [each for each in addresses if each not in self._peers_by_address]
        for address in missing:
            self._peers_by_address[address] = messages.Peer(address, self.codec)
        return list(self._peers_by_address.values()), bool(missing)

    def _addresses(self):
        hosts = self.member.view.hosts
        neighbours = decisions.choose_neighbours(
            self.member.name, self.member.data_centre, hosts
        )
        addresses = [
            hosts.by_name[name].peer_address
            for names in neighbours.names_by_data_centre.values()
            for name in names
        ]
        # Without a list of hosts, the settings say whom to ask.
        return [address for address in addresses if address] or list(self.member.seeds)
