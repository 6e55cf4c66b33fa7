"""Records of streams in the store, for when all hosts are lost at once."""

import threading

import attrs
import loguru
import msgspec

from sycamorespoke import clients, decisions, serving
from sycamorespoke.gateway import _stream_origins

MIN_INTERVAL_S = 0.2
# All hosts together write at most this many objects per second.
MAX_WRITES_PER_S = 100.0
# Records in one object, the newest ones; some 100 bytes each.
MAX_STORED_RECORDS = 4000
# What was read of another host's object is used for this long.
READ_LIFETIME_S = 0.3
MAX_KNOWN_OBJECTS = 100


@attrs.frozen
class _StoredValue:
    """JSON value of the records that one host has written."""

    streams: list[tuple[str, str, str, float]]


class StoredOrigins:
    """Writes the records that this host keeps first, and reads those of others.

    Of the hosts that keep the record of a stream, the one that ranks first writes it,
    together with all others that it keeps. Nothing is written while each service has
    had upstreams of one software version only.

    Parameters
    ----------
    host : str
        Name of this host, and of the object that it writes.
    views : Views
        Current view, which lists the entry hosts.
    origins : StreamOrigins
        Records that this host keeps.
    software_versions : SoftwareVersions
        Which services have, or lately had, several versions.
    objects : object
        Has ``read(name)``, which returns a JSON value, ``None`` if there is none, and
        raises ``LookupError`` if that is not known; ``write(name, value)`` returns
        whether the source confirmed it.
    history : clients.StoreHistory or None, default=None
        Tells the era of the store; what an earlier one had confirmed may be lost.
    """

    def __init__(self, host, views, origins, software_versions, objects, history=None):
        self.host = host
        self.views = views
        self.origins = origins
        self.software_versions = software_versions
        self.objects = objects
        self._has_read_own = False
        self.history = history or clients.StoreHistory()
        self._written_ids = frozenset()
        self._written_era = 0
        # Whether this host ranks first, by request, for one list of hosts.
        self._is_first_by_request = {}
        self._ranked_hosts = {}
        # Whether this host keeps records at all, for one list of hosts.
        self._is_keeping = False
        self._keeping_of_hosts = {}
        self._lock = threading.Lock()
        self._records_by_host = {}

    def start(self, stop_requested):
        """Write records in a background thread until ``stop_requested`` is set."""
        threading.Thread(
            target=self._run, args=(stop_requested,), name="stored origins", daemon=True
        ).start()

    def step(self, now):
        """Write the records once if they have changed, at ``now``, boot clock."""
        if not self._has_read_own:
            if self._keeps_records():
                self._read_own(now)
            return
        records = self._select_records(now)
        ids = frozenset(request_id for request_id, _ in records)
        # Expired records are left there until others are written or none is left.
        is_written = ids == self._written_ids or (ids and ids < self._written_ids)
        era = self.history.era
        if is_written and (era == self._written_era or not self._written_ids):
            return
        if self.objects.write(self.host, _encode(records, now)):
            self._written_ids, self._written_era = ids, era

    def find(self, request_id, now):
        """Find the record of a stream in the store.

        Parameters
        ----------
        request_id : str
            ID of the caller's request that brought the first event.
        now : float
            Current time, seconds of the boot clock.

        Returns
        -------
        StreamRecord or None
            ``None`` if it is not there, or the store does not reply.
        """
        keepers = decisions.choose_origin_keepers(request_id, self._list_data_centres())
        if not keepers:
            return None
        return self._read(keepers[0], now).get(request_id)

    def _run(self, stop_requested):
        while not stop_requested.wait(self._interval_s()):
            try:
                self.step(serving.read_clock())
            except Exception:
                loguru.logger.exception("writing records of streams failed")

    def _interval_s(self):
        writers = min(len(self.views.get().hosts), decisions.MAX_KEEPING_HOSTS)
        return max(MIN_INTERVAL_S, writers / MAX_WRITES_PER_S)

    def _keeps_records(self):
        """Return whether this host is one of those that keep records."""
        data_centres_by_host = self._list_data_centres()
        if data_centres_by_host != self._keeping_of_hosts:
            self._keeping_of_hosts = data_centres_by_host
            keeping = decisions.choose_keeping_hosts(data_centres_by_host)
            self._is_keeping = self.host in keeping
        return self._is_keeping

    def _read_own(self, now):
        """Take over what this host wrote before it was lost."""
        era = self.history.era
        try:
            value = self.objects.read(self.host)
        except LookupError:
            return
        records_by_id = _decode(value, now)
        for request_id, record in records_by_id.items():
            origin = record.origin
            self.origins.record(request_id, origin, record.expires_s - now, now)
            # The last upstream of the version may have left before this host started.
            self.software_versions.record_used(
                origin.service, origin.software_version, now
            )
        self._written_ids, self._written_era = frozenset(records_by_id), era
        self._has_read_own = True

    def _select_records(self, now):
        """Return the records that this host writes, with their requests."""
        services = self.software_versions.list_services_with_several(now)
        if not services and not self._written_ids:
            return []
        current = [
            (request_id, record)
            for request_id, record in self.origins.list_current(now)
            if record.origin.service in services
        ]
        self._rank({request_id for request_id, _ in current})
        selected = [each for each in current if self._is_first_by_request[each[0]]]
        return selected[-MAX_STORED_RECORDS:]

    def _rank(self, request_ids):
        """Find out for each request whether this host ranks first."""
        data_centres_by_host = self._list_data_centres()
        known = {}
        if data_centres_by_host == self._ranked_hosts:
            known = self._is_first_by_request
        self._ranked_hosts = data_centres_by_host
        self._is_first_by_request = {
            request_id: known[request_id]
            if request_id in known
            else self._is_first(request_id, data_centres_by_host)
            for request_id in request_ids
        }

    def _is_first(self, request_id, data_centres_by_host):
        keepers = decisions.choose_origin_keepers(request_id, data_centres_by_host)
        return keepers[:1] == [self.host]

    def _read(self, host, now):
        """Return the records that a host has written, by request."""
        with self._lock:
            read_s, records_by_id = self._records_by_host.get(host, (-float("inf"), {}))
            if now - read_s < READ_LIFETIME_S:
                return records_by_id
        try:
            records_by_id = _decode(self.objects.read(host), now)
        except LookupError as error:
            loguru.logger.bind(host_asked=host, reason=str(error)).info(
                "records of streams not read"
            )
            return {}
        with self._lock:
            if len(self._records_by_host) >= MAX_KNOWN_OBJECTS:
                self._records_by_host.clear()
            self._records_by_host[host] = (now, records_by_id)
        return records_by_id

    def _list_data_centres(self):
        hosts_by_name = self.views.get().hosts_by_name
        return {host.name: host.data_centre for host in hosts_by_name.values()}


def _encode(records, now):
    """Return records as a JSON value, with the time for which each is still needed."""
    return {
        "streams": [
            [
                request_id,
                record.origin.service,
                record.origin.software_version,
                round(record.expires_s - now, 3),
            ]
            for request_id, record in records
        ]
    }


def _decode(value, now):
    """Return the records of a JSON value by request; none if it is malformed."""
    if value is None:
        return {}
    try:
        stored = msgspec.convert(value, _StoredValue)
    except msgspec.ValidationError as error:
        loguru.logger.bind(reason=str(error)).warning("malformed records of streams")
        return {}
    return {
        request_id: _stream_origins.StreamRecord(
            decisions.StreamOrigin(service, version), now + lifetime_s
        )
        for request_id, service, version, lifetime_s in stored.streams
    }
