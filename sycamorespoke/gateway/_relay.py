"""Relays what this host has read to other hosts, and requests it from others."""

import threading

import loguru

from sycamorespoke import messages, serving
from sycamorespoke.gateway import _peer_loads

REQUEST_INTERVAL_S = 0.25
REPLY_TIMEOUT_S = 0.4
# A host that does not reply, or whose reply is incomplete, gets no requests for this
# long.
SKIP_PEER_S = 3.0


def make_reply(indexes, source, loads, table, request, now, has_lost_links=False):
    """Make the reply to a host that requests updates.

    Parameters
    ----------
    indexes : list of StoreIndex
        Indexes of the block stores.
    source : SharedSource
        Shared objects that this host has read.
    loads : PeerLoads
        Records the work of the requesting host and sums the reports.
    table : UpstreamTable
        Holds this host's work.
    request : messages.UpdatesRequest
        What the requesting host already has, and its work.
    now : float
        Current time, seconds of the boot clock.
    has_lost_links : bool, default=False
        Whether this host has lost its links to a service.

    Returns
    -------
    messages.UpdatesReply
        Stores and kinds without recent data are left out.
    """
    pages_by_store = {}
    for index in indexes:
        address = index.store.address
        if address in request.seen_by_store and index.is_current(now):
            epoch, number = request.seen_by_store[address]
            pages_by_store[address] = index.make_page(epoch, number, now)
    pages_by_kind = source.make_pages(request.revisions_by_kind, now)
    if request.host:
        loads.record_report(request.host, request.work_by_upstream, now)
        loads.tokens.record_report(request.host, request.tokens_by_upstream, now)
    if request.reader:
        _record_group(loads, request, now)
        # Another reader has its own sums.
        return messages.UpdatesReply(
            ejected_by_upstream=pool_outcomes(table, request, has_lost_links, now)
        )
    total = loads.sum_reports(table.get_work_by_boot(), now)
    return messages.UpdatesReply(
        pages_by_store,
        pages_by_kind,
        total.work_by_boot,
        total.hosts,
        pool_outcomes(table, request, has_lost_links, now),
        loads.tokens.sum_reports(table.get_tokens_by_boot(), now).work_by_boot,
    )


def _record_group(loads, request, now):
    reader, hosts = request.reader, request.group_hosts
    loads.record_group(reader, request.group_work_by_upstream, hosts, now)
    loads.tokens.record_group(reader, request.group_tokens_by_upstream, hosts, now)


def pool_outcomes(table, request, has_lost_links, now):
    """Add what a host reports to the pool of a reader.

    Parameters
    ----------
    table : UpstreamTable
        Holds the pool and the states of the upstreams.
    request : messages.UpdatesRequest
        Request with the report.
    has_lost_links : bool
        Whether this host has lost its links to a service.
    now : float
        Current time, seconds of the boot clock.

    Returns
    -------
    dict of str to float
        Upstreams that are ejected for the host that reports, with the seconds that
        remain.
    """
    pool = table.outcomes
    pool.handle_request(request, has_lost_links, now)
    ejected = pool.list_ejected(pool.data_centre, now)
    table.set_pooled_ejections(ejected, now)
    if request.data_centre == pool.data_centre:
        return ejected
    return pool.list_ejected(request.data_centre, now)


class UpdateRequester:
    """Requests updates from reader hosts and applies them.

    Parameters
    ----------
    host : str
        Name of this host.
    list_indexes : callable
        Returns the indexes of the block stores to update.
    source : SharedSource
        Receives the relayed objects.
    loads : PeerLoads
        Receives the sums of the hosts' work.
    table : UpstreamTable
        Holds this host's work, which is sent with each request.
    list_readers : callable
        Returns the addresses of the reader hosts by preference; empty if this host
        reads by itself.
    codec : messages.Codec
        Signs messages with the hosts' shared key.
    has_lost_links : callable or None, default=None
        Takes the time and returns whether this host has lost its links to a service.
    """

    def __init__(
        self,
        host,
        list_indexes,
        source,
        loads,
        table,
        list_readers,
        codec,
        has_lost_links=None,
    ):
        self.host = host
        self.list_indexes = list_indexes
        self.source = source
        self.loads = loads
        self.table = table
        self.list_readers = list_readers
        self.codec = codec
        self.has_lost_links = has_lost_links or _has_links
        self._peer = None
        self._skipped_until_s_by_address = {}
        self._stopped = threading.Event()

    def start(self):
        """Request updates in a background thread until `stop` is called."""
        threading.Thread(target=self._run, name="update requester", daemon=True).start()

    def stop(self):
        """Stop requesting updates after the current step."""
        self._stopped.set()

    def step(self, now):
        """Request updates from one host at ``now``, seconds of the boot clock.

        Returns
        -------
        bool
            Whether to wait before the next request. Otherwise the host failed to
            provide an update, and another one is tried at once.
        """
        address = self._choose_reader(now)
        if address is None:
            return True
        if self._peer is None or self._peer.address != address:
            self._set_peer(address)
        indexes = self.list_indexes()
        own_by_boot = self.table.get_work_by_boot()
        tokens_by_boot = self.table.get_tokens_by_boot()
        request = messages.UpdatesRequest(
            {
                index.store.address: (index.epoch or 0, index.next_number)
                for index in indexes
            },
            self.source.get_requested_revisions(),
            self.host,
            own_by_boot,
            self.table.outcomes.drain(self.has_lost_links(now)),
            self.table.outcomes.data_centre,
            tokens_by_upstream=tokens_by_boot,
        )
        reply = self._peer.send_request(request, REPLY_TIMEOUT_S)
        if not isinstance(reply, messages.UpdatesReply):
            self._skip_peer(address, now, reply.reason)
            return False
        report = _peer_loads.WorkReport(reply.work_by_upstream, now, reply.hosts)
        self.loads.record_summary(report, own_by_boot)
        tokens = _peer_loads.WorkReport(reply.tokens_by_upstream, now, reply.hosts)
        self.loads.tokens.record_summary(tokens, tokens_by_boot)
        self.table.set_pooled_ejections(reply.ejected_by_upstream, now)
        for index in indexes:
            page = reply.pages_by_store.get(index.store.address)
            if page is not None:
                # The page may be as old as the request that it replies to.
                index.apply_page(page, now)
        if self.source.handle_pages(reply.pages_by_kind, now):
            return True
        self._skip_peer(address, now, "reply lacks recent objects of some kinds")
        return False

    def _run(self):
        while not self._stopped.is_set():
            should_wait = True
            try:
                should_wait = self.step(serving.read_clock())
                self.source.wake_if_stale(serving.read_clock())
            except Exception:
                loguru.logger.exception("requesting updates from other hosts failed")
            if should_wait:
                self._stopped.wait(REQUEST_INTERVAL_S)

    def _choose_reader(self, now):
        for address in self.list_readers():
            if now >= self._skipped_until_s_by_address.get(address, 0.0):
                return address
        return None

    def _skip_peer(self, address, now, reason):
        self._skipped_until_s_by_address[address] = now + SKIP_PEER_S
        loguru.logger.bind(peer=address, reason=reason).info("peer skipped, no updates")

    def _set_peer(self, address):
        if self._peer is not None:
            self._peer.close()
        self._peer = messages.Peer(address, self.codec)


def _has_links(now):
    """Return that no links are lost, for hosts that do not observe them."""
    return False
