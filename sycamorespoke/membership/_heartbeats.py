"""Thread that exchanges heartbeats with peers and fetches newer documents."""

import threading
import time

from loguru import logger

from sycamorespoke import decisions, messages
from sycamorespoke.membership import _actor, _documents, _state

INTERVAL_S = 1.0
# Timeout for all replies of one round.
REPLY_TIMEOUT_S = 0.4
FETCH_TIMEOUT_S = 1.0
MIN_PAUSE_S = 0.02
# A new connection takes a moment to be established.
CONNECT_PAUSE_S = 0.1


class Heartbeats:
    """Exchanges heartbeats with the neighbours every second.

    Heartbeats carry the revisions of the documents; newer documents are fetched.

    Parameters
    ----------
    member : Member
        Membership of this process.
    codec : messages.Codec
        Codec with the shared key.
    send_to_actor : callable
        Sends a message to the `MemberActor`.
    """

    def __init__(self, member, codec, send_to_actor):
        self.member = member
        self.codec = codec
        self.send_to_actor = send_to_actor
        self._peers_by_address = {}
        self._pending_reports = []
        self._pending_lock = threading.Lock()
        self._invalid_revisions_by_kind = {}
        self._wake = threading.Event()
        self._is_push_requested = False
        self._stopped = False
        self._thread = threading.Thread(
            target=self._run, name="heartbeats", daemon=True
        )

    def start(self):
        """Start the thread."""
        self._thread.start()

    def stop(self):
        """Stop the thread and close the connections."""
        self._stopped = True
        self._wake.set()
        self._thread.join()
        for peer in self._peers_by_address.values():
            peer.close()

    def push(self):
        """Start a round immediately, because a document changed."""
        self._is_push_requested = True
        self._wake.set()

    def handle_heartbeat(self, heartbeat, now):
        """Handle the heartbeat of another host; safe to call from any thread.

        Parameters
        ----------
        heartbeat : messages.Heartbeat
            The heartbeat.
        now : float
            Current monotonic time, in seconds.
        """
        if not heartbeat.address:
            # Sent by another process of the host, which does not listen for
            # messages; it does not describe the process that does.
            return
        with self._pending_lock:
            self._pending_reports.append(_state.PeerReport(heartbeat, now))
        documents_by_kind = self.member.snapshot.documents_by_kind
        if _state.find_newer_kinds(heartbeat, documents_by_kind):
            self._wake.set()

    def _run(self):
        next_s = time.monotonic()
        while not self._stopped:
            self._wake.wait(max(MIN_PAUSE_S, next_s - time.monotonic()))
            self._wake.clear()
            if self._stopped:
                return
            try:
                if self._is_push_requested or time.monotonic() >= next_s:
                    self._is_push_requested = False
                    next_s = time.monotonic() + self.run_round()
                else:
                    self._process_reports([])
            except Exception:
                # An error in one round must not end the thread.
                logger.exception("heartbeat round failed")

    def run_round(self):
        """Send a heartbeat to every neighbour and process the replies.

        Returns
        -------
        float
            Pause before the next round, in seconds.
        """
        peers, has_new = self._open_peers()
        requested_s = time.monotonic()
        heartbeat = self.member.make_heartbeat(messages.Heartbeat)
        nonces_by_peer = {peer: peer.send(heartbeat) for peer in peers}
        replies = []
        for peer, nonce in nonces_by_peer.items():
            if isinstance(nonce, messages.NoReply):
                continue
            remaining_s = requested_s + REPLY_TIMEOUT_S - time.monotonic()
            reply = peer.receive(nonce, remaining_s)
            if isinstance(reply, messages.HeartbeatReply):
                replies.append(_state.PeerReply(reply, requested_s))
        self._process_reports(replies)
        self.member.update_watching(time.monotonic())
        return CONNECT_PAUSE_S if has_new else INTERVAL_S

    def _process_reports(self, replies):
        now = time.monotonic()
        with self._pending_lock:
            reports = self._pending_reports
            self._pending_reports = []
        reports += [_state.PeerReport(reply.heartbeat, now) for reply in replies]
        self._fetch_newer_documents([report.heartbeat for report in reports])
        self.send_to_actor(
            _actor.HeartbeatRoundEnded(tuple(reports), tuple(replies), now)
        )

    def _fetch_newer_documents(self, heartbeats):
        documents_by_kind = self.member.snapshot.documents_by_kind
        for kind, document in documents_by_kind.items():
            known = max(document.revision, self._invalid_revisions_by_kind.get(kind, 0))
            newest = max(
                heartbeats,
                key=lambda heartbeat: getattr(heartbeat, kind.value),
                default=None,
            )
            if newest is not None and getattr(newest, kind.value) > known:
                self._fetch_document(kind, newest)

    def _fetch_document(self, kind, heartbeat):
        host = self.member.view.hosts.by_name.get(heartbeat.name)
        address = (host.peer_address if host else "") or heartbeat.address
        with messages.Peer(address, self.codec) as peer:
            reply = peer.send_request(messages.DocumentRequest(kind), FETCH_TIMEOUT_S)
        if not isinstance(reply, messages.DocumentReply) or reply.kind is not kind:
            return
        document = _documents.parse_document(kind, reply.value)
        if isinstance(document, _documents.InvalidDocument):
            self._invalid_revisions_by_kind[kind] = reply.revision
            logger.error(
                "invalid document from {}: {}", heartbeat.name, document.reason
            )
            return
        self.send_to_actor(_actor.DocumentReceived(document))

    def _open_peers(self):
        addresses = self._choose_addresses()
        for address in set(self._peers_by_address) - set(addresses):
            self._peers_by_address.pop(address).close()
        missing = [each for each in addresses if each not in self._peers_by_address]
        for address in missing:
            self._peers_by_address[address] = messages.Peer(address, self.codec)
        return list(self._peers_by_address.values()), bool(missing)

    def _choose_addresses(self):
        hosts = self.member.view.hosts
        neighbours = decisions.choose_neighbours(
            self.member.name, self.member.data_centre, hosts
        )
        addresses = [
            hosts.by_name[name].peer_address
            for names in neighbours.names_by_data_centre.values()
            for name in names
        ]
        # Before a host list is known, the seeds of the settings are the peers.
        return [address for address in addresses if address] or list(self.member.seeds)
