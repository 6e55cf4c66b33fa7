"""Finds which upstreams may continue a stream that another host began."""

import threading

from sycamorespoke import decisions, messages
from sycamorespoke.gateway import _origin_link, _stream_origins

LOOKUP_TIMEOUT_S = 0.4


class OriginDirectory:
    """Records of streams, shared among hosts by messages; thread-safe.

    Parameters
    ----------
    host : str
        Name of this host.
    views : Views
        Current view, which lists the entry hosts.
    """

    def __init__(self, host, views):
        self.host = host
        self.views = views
        self.origins = _stream_origins.StreamOrigins()
        self._stored = None
        self._codec = None
        # Hosts that keep records, for one list of hosts.
        self._keeping = (None, {})
        self._lock = threading.Lock()
        self._links_by_address = {}

    def start(self, codec):
        """Exchange records with other hosts from now on.

        Parameters
        ----------
        codec : messages.Codec
            Signs messages with the hosts' shared key.
        """
        self._codec = codec

    def use_store(self, stored):
        """Look records up in `StoredOrigins` too if no host has them."""
        self._stored = stored

    def record(self, request_id, origin, lifetime_s, now):
        """Record the origin of a stream here and at the hosts that keep it.

        Returns without waiting for them; see `StreamOrigins.record`.
        """
        self.origins.record(request_id, origin, lifetime_s, now)
        record = messages.StreamOriginRecord(
            request_id, origin.service, origin.software_version, lifetime_s
        )
        for link in self._list_links(request_id, decisions.choose_origin_keepers):
            link.keep(record, now)

    def find(self, request_id, now):
        """Find the origin of a stream here or at other hosts.

        Parameters
        ----------
        request_id : str
            ID of the caller's request that brought the first event.
        now : float
            Current time, seconds of the boot clock.

        Returns
        -------
        decisions.StreamOrigin or None
            ``None`` if no host that replies in time knows the stream, and its record
            is not in the store.
        """
        own = self.origins.find(request_id, now)
        if own is not None:
            return own.origin
        origin = self._find_at_hosts(request_id, now)
        if origin is None and self._stored is not None:
            stored = self._stored.find(request_id, now)
            origin = stored.origin if stored else None
        return origin

    def _find_at_hosts(self, request_id, now):
        links = self._list_links(request_id, decisions.choose_origin_sources)
        if not links:
            return None
        lookup = _origin_link.Lookup(request_id, len(links))
        for link in links:
            link.ask(lookup)
        record = lookup.wait(LOOKUP_TIMEOUT_S)
        if record is None:
            return None
        origin = decisions.StreamOrigin(record.service, record.software_version)
        self.origins.record(request_id, origin, record.lifetime_s, now)
        return origin

    def handle(self, request, now):
        """Keep the records of another host and look up those that it wants.

        Parameters
        ----------
        request : messages.OriginsRequest
            Request of the other host.
        now : float
            Current time, seconds of the boot clock.

        Returns
        -------
        messages.OriginsReply
            Records of the wanted requests that are known here.
        """
        for record in request.records:
            origin = decisions.StreamOrigin(record.service, record.software_version)
            self.origins.record(record.request_id, origin, record.lifetime_s, now)
        found = []
        for request_id in request.wanted:
            record = self.origins.find(request_id, now)
            if record is not None:
                found.append(_make_message(request_id, record, now))
        return messages.OriginsReply(found)

    def retain(self):
        """Close the connections to hosts that are no longer listed."""
        addresses = {
            host.peer_address for host in self.views.get().hosts_by_name.values()
        }
        self._close_links(addresses)

    def stop(self):
        """Close all connections; no records are exchanged any more."""
        self._codec = None
        self._close_links(kept_addresses=set())

    def _close_links(self, kept_addresses):
        with self._lock:
            gone = self._links_by_address.keys() - kept_addresses
            links = [self._links_by_address.pop(address) for address in gone]
        for link in links:
            link.close()

    def _list_links(self, request_id, choose):
        codec = self._codec
        if codec is None:
            return []
        hosts_by_name = self.views.get().hosts_by_name
        names = choose(request_id, self._list_keeping(hosts_by_name))
        return [
            self._get_link(hosts_by_name[name].peer_address, codec)
            for name in names
            if name != self.host
        ]

    def _list_keeping(self, hosts_by_name):
        """Return the data centres of the hosts that keep records, by host."""
        listed, keeping = self._keeping
        if hosts_by_name is listed:
            return keeping
        data_centres_by_host = {
            host.name: host.data_centre for host in hosts_by_name.values()
        }
        keeping = {
            name: data_centres_by_host[name]
            for name in decisions.choose_keeping_hosts(data_centres_by_host)
        }
        self._keeping = (hosts_by_name, keeping)
        return keeping

    def _get_link(self, address, codec):
        with self._lock:
            link = self._links_by_address.get(address)
            if link is None:
                link = _origin_link.OriginLink(address, codec)
                self._links_by_address[address] = link
            return link


def _make_message(request_id, record, now):
    return messages.StreamOriginRecord(
        request_id,
        record.origin.service,
        record.origin.software_version,
        record.expires_s - now,
    )
