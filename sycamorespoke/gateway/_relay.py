"""Tells other hosts what this one reads for them, and asks others for it."""

import threading

import loguru

from sycamorespoke import messages, serving
from sycamorespoke.gateway import _peer_loads

REQUEST_INTERVAL_S = 0.25
REPLY_TIMEOUT_S = 0.4
# A host that does not answer, or tells too little, is passed over for this long.
SKIP_PEER_S = 3.0


def make_reply(indexes, source, loads, table, request, now):
    """Answer a host that asks what this one has read.

    Parameters
    ----------
    indexes : list of StoreIndex
        What this host has read of the stores.
    source : SharedSource
        What this host has read of the shared objects.
    loads : PeerLoads
        Takes the work of the other host and adds up.
    table : UpstreamTable
        Knows the work of this host.
    request : messages.UpdatesRequest
        How far the other host has come.
    now : float
        Present time, seconds of the boot clock.

    Returns
    -------
    messages.UpdatesReply
        What is not known at present is left out.
    """
    pages_by_store = {}
    for index in indexes:
        address = index.store.address
        if address in request.seen_by_store and index.is_current(now):
            epoch, number = request.seen_by_store[address]
            pages_by_store[address] = index.make_page(epoch, number, now)
    pages_by_kind = source.make_pages(request.revisions_by_kind, now)
    loads.record_report(request.host, request.work_by_upstream, now)
    total = loads.sum_reports(table.list_work(), now)
    return messages.UpdatesReply(
        pages_by_store, pages_by_kind, total.work_by_boot, total.hosts
    )


class UpdateRequester:
    """Keeps this host up to date by asking other hosts.

    Parameters
    ----------
    host : str
        Name of this host.
    list_indexes : callable
        Returns the indexes of the stores to keep.
    source : SharedSource
        Takes what is told of the shared objects.
    loads : PeerLoads
        Takes what is told of the work of other hosts.
    table : UpstreamTable
        Knows the work of this host.
    list_relays : callable
        Returns the addresses of the hosts to ask, in order; empty if this host
        reads by itself.
    codec : messages.Codec
        Holds the key that the hosts share.
    """

    def __init__(self, host, list_indexes, source, loads, table, list_relays, codec):
        self.host = host
        self.list_indexes = list_indexes
        self.source = source
        self.loads = loads
        self.table = table
        self.list_relays = list_relays
        self.codec = codec
        self._peer = None
        self._skipped_until_s_by_address = {}
        self._stopped = threading.Event()

    def start(self):
        """Ask in a thread of its own until `stop`."""
        threading.Thread(target=self._run, name="ask hosts", daemon=True).start()

    def stop(self):
        """Stop asking."""
        self._stopped.set()

    def step(self, now):
        """Ask one host, at ``now``, seconds of the boot clock.

        Returns
        -------
        bool
            Whether to wait before the next question; else another host is asked
            at once.
        """
        address = self._choose_relay(now)
        if address is None:
            return True
        if self._peer is None or self._peer.address != address:
            self._set_peer(address)
        indexes = self.list_indexes()
        own_by_boot = self.table.list_work()
        request = messages.UpdatesRequest(
            {
                index.store.address: (index.epoch or 0, index.number)
                for index in indexes
            },
            self.source.list_wanted_revisions(),
            self.host,
            own_by_boot,
        )
        reply = self._peer.ask(request, REPLY_TIMEOUT_S)
        if not isinstance(reply, messages.UpdatesReply):
            self._skip_peer(address, now, reply.reason)
            return False
        report = _peer_loads.LoadReport(reply.work_by_upstream, now, reply.hosts)
        self.loads.record_summary(report, own_by_boot)
        for index in indexes:
            page = reply.pages_by_store.get(index.store.address)
            if page is not None:
                # What a host tells is as old as the question at least.
                index.apply_page(page, now)
        if self.source.handle_pages(reply.pages_by_kind, now):
            return True
        self._skip_peer(address, now, "it has not read all kinds of objects lately")
        return False

    def _run(self):
        while not self._stopped.is_set():
            waits = True
            try:
                waits = self.step(serving.read_clock())
                self.source.wake_if_stale(serving.read_clock())
            except Exception:
                loguru.logger.exception("asking other hosts failed")
            if waits:
                self._stopped.wait(REQUEST_INTERVAL_S)

    def _choose_relay(self, now):
        for address in self.list_relays():
            if now >= self._skipped_until_s_by_address.get(address, 0.0):
                return address
        return None

    def _skip_peer(self, address, now, reason):
        self._skipped_until_s_by_address[address] = now + SKIP_PEER_S
        loguru.logger.bind(peer=address, reason=reason).info(
            "host does not tell what it reads"
        )

    def _set_peer(self, address):
        if self._peer is not None:
            self._peer.close()
        self._peer = messages.Peer(address, self.codec)
