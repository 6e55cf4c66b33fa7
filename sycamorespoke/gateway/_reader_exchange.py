"""Readers forward to each other what hosts report of upstreams and their load."""

import threading

import loguru

from sycamorespoke import messages, serving

INTERVAL_S = 0.25
REPLY_TIMEOUT_S = 0.3
# A reader that does not reply gets nothing for this long.
SKIP_PEER_S = 3.0


class ReaderExchange:
    """Forwards reports to the other readers while this host is one.

    Parameters
    ----------
    table : UpstreamTable
        Holds the pool of outcomes.
    list_other_readers : callable
        Returns the addresses of the other readers; empty if this host is none.
    codec : messages.Codec
        Signs messages with the hosts' shared key.
    make_group : callable or None, default=None
        Takes the time and returns the `messages.UpdatesRequest` with the work of this
        reader's group, or ``None`` if loads are not shared.
    """

    def __init__(self, table, list_other_readers, codec, make_group=None):
        self.table = table
        self.list_other_readers = list_other_readers
        self.codec = codec
        self.make_group = make_group or _make_nothing
        self._peers_by_address = {}
        self._skipped_until_s_by_address = {}

    def start(self, stop_requested):
        """Forward in a background thread until ``stop_requested`` is set."""
        threading.Thread(
            target=self._run, args=(stop_requested,), name="readers", daemon=True
        ).start()

    def step(self, now):
        """Forward once what was reported, at ``now``, seconds of the boot clock."""
        addresses = self.list_other_readers()
        self._close_unused(addresses)
        requests = [self.table.outcomes.make_forwarding()]
        if addresses:
            requests.append(self.make_group(now))
        for request in filter(None, requests):
            for address in addresses:
                if now >= self._skipped_until_s_by_address.get(address, 0.0):
                    self._send(address, request, now)

    def _run(self, stop_requested):
        while not stop_requested.wait(INTERVAL_S):
            try:
                self.step(serving.read_clock())
            except Exception:
                loguru.logger.exception("forwarding reports to readers failed")

    def _send(self, address, request, now):
        if address not in self._peers_by_address:
            self._peers_by_address[address] = messages.Peer(address, self.codec)
        reply = self._peers_by_address[address].send_request(request, REPLY_TIMEOUT_S)
        if isinstance(reply, messages.UpdatesReply):
            self.table.set_pooled_ejections(reply.ejected_by_upstream, now)
            return
        self._skipped_until_s_by_address[address] = now + SKIP_PEER_S
        loguru.logger.bind(peer=address, reason=reply.reason).info(
            "reader skipped, no reports"
        )

    def _close_unused(self, addresses):
        for address in self._peers_by_address.keys() - set(addresses):
            self._peers_by_address.pop(address).close()


def _make_nothing(now):
    """Return that there is no sum to send, where loads are not shared."""
    return None
