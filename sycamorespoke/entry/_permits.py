"""Permits for cold engines: acquired, renewed, released and granted by this host."""

import queue
import threading
import time

import loguru

from sycamorespoke import decisions, domain, membership, messages

LEASE_STEP_INTERVAL_S = 0.3
RENEW_INTERVAL_S = 1.0


class Permits:
    """Permit issuer and permit client of one entry host, with their threads.

    Parameters
    ----------
    entry_settings : settings.EntrySettings
        Settings of the entry host.
    holder : str
        Name and boot ID of this process.
    platform_client : clients.PlatformClient
        Client of the store that holds the lease.
    get_view : callable
        Returns the current `membership.View`.
    table : UpstreamTable
        State of the upstreams, with their load reports.
    """

    def __init__(self, entry_settings, holder, platform_client, get_view, table):
        self.name = entry_settings.name
        self.data_centre = entry_settings.data_centre
        self.get_view = get_view
        self.table = table
        self.issuer = membership.PermitIssuer(
            self.data_centre, holder, platform_client, get_view
        )
        self.client = membership.PermitClient(
            self.name, get_view, self._send_to_peer, self.issuer
        )
        self._codec = messages.Codec(entry_settings.shared_key)
        self._peers_by_address = {}
        self._lock = threading.Lock()
        self._permits_to_release = queue.SimpleQueue()
        self._refused_until_s_by_name = {}
        self._stopped = threading.Event()

    def start(self):
        """Start the threads that maintain the lease, renew and release permits."""
        for run in (self._run_lease_and_renewals, self._run_releases):
            threading.Thread(target=run, name=run.__name__, daemon=True).start()

    def stop(self):
        """Release the lease, stop the threads and close connections to peers."""
        self._stopped.set()
        self.issuer.keeper.release()
        self._permits_to_release.put(None)
        with self._lock:
            for peer in self._peers_by_address.values():
                peer.close()

    def acquire(self, host, now):
        """Acquire a permit to send one request to a cold engine.

        Parameters
        ----------
        host : domain.Host
            The engine.
        now : float
            Current monotonic time, in seconds.

        Returns
        -------
        membership.Permit or domain.Refusal
            The permit, or an ``OVERLOADED`` refusal if none is available at the
            moment.
        """
        if now < self._refused_until_s_by_name.get(host.name, now):
            return domain.Refusal(
                domain.ErrorKind.OVERLOADED,
                f"no permit is available for the cold upstream {host.name}",
            )
        permit = self.client.acquire(host)
        if isinstance(permit, domain.Refusal):
            until_s = now + decisions.PERMIT_RETRY_AFTER_S
            self._refused_until_s_by_name[host.name] = until_s
            return domain.Refusal(domain.ErrorKind.OVERLOADED, permit.reason)
        return permit

    def is_usable(self, permit, now):
        """Return whether a request may still be sent with a permit."""
        return self.client.is_usable(permit, now)

    def release(self, permit):
        """Release a permit in the background, without waiting for its owner."""
        self._refused_until_s_by_name.pop(permit.upstream, None)
        self._permits_to_release.put(permit)

    def handle_message(self, message):
        """Handle a peer's request for a permit or its return of one."""
        return self.issuer.handle_message(message)

    def _run_lease_and_renewals(self):
        renewed_s = time.monotonic()
        while not self._stopped.wait(LEASE_STEP_INTERVAL_S):
            try:
                self._step(time.monotonic())
                if time.monotonic() - renewed_s >= RENEW_INTERVAL_S:
                    renewed_s = time.monotonic()
                    self.client.renew()
            except Exception:
                # An error in one step must not end the thread.
                loguru.logger.exception("permit lease or renewal step failed")

    def _step(self, now):
        view = self.get_view()
        self.issuer.step(decisions.is_watcher(self.name, self.data_centre, view, now))
        for host in view.hosts.select(domain.HostRole.UPSTREAM):
            report = self.table.get_report(host.name)
            if host.data_centre == self.data_centre and report is not None:
                self.issuer.record_load_report(host.name, report)

    def _run_releases(self):
        while (permit := self._permits_to_release.get()) is not None:
            self.client.release(permit)

    def _send_to_peer(self, address, message, timeout_s):
        with self._lock:
            if address not in self._peers_by_address:
                self._peers_by_address[address] = messages.Peer(address, self._codec)
            peer = self._peers_by_address[address]
        return peer.send_request(message, timeout_s)
