"""Tells other hosts what the stores hold, and asks them for it."""

import threading

import loguru

from sycamorespoke import messages, serving

ASK_S = 0.25
ANSWER_TIMEOUT_S = 0.4
# A host that does not answer is passed over for this long.
PASS_OVER_S = 3.0


def make_reply(indexes, request, now):
    """Answer a host that asks what the stores hold.

    Parameters
    ----------
    indexes : list of StoreIndex
        What this host has read.
    request : messages.StoreEventsRequest
        How far the other host has come.
    now : float
        Present time, seconds of the boot clock.

    Returns
    -------
    messages.StoreEventsReply
        Stores that are not known at present are left out.
    """
    pages_by_store = {}
    for index in indexes:
        if index.is_known(now):
            address = index.store.address
            epoch, number = request.seen_by_store.get(address, (0, 0))
            pages_by_store[address] = index.make_page(epoch, number, now)
    return messages.StoreEventsReply(pages_by_store)


class StoreAsker:
    """Keeps indexes up to date by asking other hosts.

    Parameters
    ----------
    list_indexes : callable
        Returns the indexes to keep.
    list_tellers : callable
        Returns the addresses of the hosts to ask, in order; empty if this host
        reads the stores itself.
    codec : messages.Codec
        Holds the key that the hosts share.
    """

    def __init__(self, list_indexes, list_tellers, codec):
        self.list_indexes = list_indexes
        self.list_tellers = list_tellers
        self.codec = codec
        self._peer = None
        self._passed_over_until_s_by_address = {}
        self._stopped = threading.Event()

    def start(self):
        """Ask in a thread of its own until `stop`."""
        threading.Thread(target=self._run, name="ask stores", daemon=True).start()

    def stop(self):
        """Stop asking."""
        self._stopped.set()

    def step(self, now):
        """Ask once, at ``now``, seconds of the boot clock."""
        address = self._choose_teller(now)
        if address is None:
            return
        if self._peer is None or self._peer.address != address:
            self._set_peer(address)
        indexes = self.list_indexes()
        request = messages.StoreEventsRequest(
            {index.store.address: (index.epoch or 0, index.number) for index in indexes}
        )
        reply = self._peer.ask(request, ANSWER_TIMEOUT_S)
        if not isinstance(reply, messages.StoreEventsReply):
            self._passed_over_until_s_by_address[address] = now + PASS_OVER_S
            loguru.logger.bind(peer=address, reason=reply.reason).info(
                "host does not tell what the stores hold"
            )
            return
        for index in indexes:
            page = reply.pages_by_store.get(index.store.address)
            if page is not None:
                # What a host tells is as old as the question at least.
                index.take_page(page, now)

    def _run(self):
        while not self._stopped.wait(ASK_S):
            try:
                self.step(serving.read_clock())
            except Exception:
                loguru.logger.exception("asking what the stores hold failed")

    def _choose_teller(self, now):
        addresses = self.list_tellers()
        for address in addresses:
            if now >= self._passed_over_until_s_by_address.get(address, 0.0):
                return address
        return None

    def _set_peer(self, address):
        if self._peer is not None:
            self._peer.close()
        self._peer = messages.Peer(address, self.codec)
