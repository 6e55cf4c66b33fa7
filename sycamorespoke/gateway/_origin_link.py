"""Connection to one host that keeps records of streams."""

import threading

import attrs
import loguru

from sycamorespoke import messages, serving

REPLY_TIMEOUT_S = 0.25
RETRY_S = 0.1
# Records that wait for a host that does not reply; the oldest are dropped.
MAX_WAITING_RECORDS = 2000


@attrs.frozen
class _WaitingRecord:
    record: messages.StreamOriginRecord
    expires_s: float


class Lookup:
    """Search for the record of one stream at several hosts.

    Parameters
    ----------
    request_id : str
        ID of the caller's request that brought the first event.
    hosts : int
        Number of hosts that are asked, 1 or more.
    """

    def __init__(self, request_id, hosts):
        self.request_id = request_id
        self.record = None
        self._missing = hosts
        self._lock = threading.Lock()
        self._ended = threading.Event()

    def resolve(self, record):
        """Add the reply of one host, ``None`` if it knows nothing or does not reply."""
        with self._lock:
            self.record = self.record or record
            self._missing -= 1
            if self.record is not None or self._missing <= 0:
                self._ended.set()

    def wait(self, timeout_s):
        """Wait for a record, or until every host has replied.

        Returns
        -------
        messages.StreamOriginRecord or None
            ``None`` if no host has replied with a record in time.
        """
        self._ended.wait(timeout_s)
        return self.record


class OriginLink:
    """Sends records and lookups to one host, many of them in one message.

    Parameters
    ----------
    address : str
        IP address and port of the host for messages between hosts.
    codec : messages.Codec
        Signs messages with the hosts' shared key.
    """

    def __init__(self, address, codec):
        self.address = address
        self._peer = messages.Peer(address, codec)
        self._records = []
        self._lookups = []
        self._changed = threading.Condition()
        self._is_closed = False
        threading.Thread(target=self._run, name="origins", daemon=True).start()

    def keep(self, record, now):
        """Have the host keep a record from ``now`` on; returns at once."""
        with self._changed:
            self._records.append(_WaitingRecord(record, now + record.lifetime_s))
            self._changed.notify()

    def ask(self, lookup):
        """Ask the host for the record of a `Lookup`; returns at once."""
        with self._changed:
            self._lookups.append(lookup)
            self._changed.notify()

    def close(self):
        """Close the connection after the exchange in progress."""
        with self._changed:
            self._is_closed = True
            self._changed.notify()

    def _run(self):
        while True:
            with self._changed:
                self._changed.wait_for(
                    lambda: self._records or self._lookups or self._is_closed
                )
                records, self._records = self._records, []
                lookups, self._lookups = self._lookups, []
                is_closed = self._is_closed
            if is_closed:
                break
            try:
                self._exchange(records, lookups)
            except Exception:
                loguru.logger.exception("exchanging records of streams failed")
        for lookup in lookups:
            lookup.resolve(None)
        self._peer.close()

    def _exchange(self, records, lookups):
        wanted = [lookup.request_id for lookup in lookups]
        request = messages.OriginsRequest([each.record for each in records], wanted)
        reply = self._peer.send_request(request, REPLY_TIMEOUT_S)
        if not isinstance(reply, messages.OriginsReply):
            self._handle_silence(records, lookups)
            return
        record_by_request = {each.request_id: each for each in reply.records}
        for lookup in lookups:
            lookup.resolve(record_by_request.get(lookup.request_id))

    def _handle_silence(self, records, lookups):
        """Keep the records for another try; the lookups go on without this host."""
        for lookup in lookups:
            lookup.resolve(None)
        with self._changed:
            now = serving.read_clock()
            waiting = [each for each in records + self._records if now < each.expires_s]
            dropped = len(waiting) - MAX_WAITING_RECORDS
            self._records = waiting[-MAX_WAITING_RECORDS:]
            if records and not self._is_closed:
                self._changed.wait_for(lambda: self._is_closed, RETRY_S)
        if dropped > 0:
            loguru.logger.bind(peer=self.address, dropped=dropped).info(
                "records of streams dropped"
            )
