"""Asks other hosts which services they reach, while this host does not."""

import collections
import threading
import time

import loguru

from sycamorespoke import decisions, messages, serving

ASK_INTERVAL_S = 0.5
# First pause while no host is known that reaches what is wanted; it doubles.
FIRST_INTERVAL_S = 0.05
REPLY_TIMEOUT_S = 0.2
# The first request that would be forwarded waits so long for replies.
FIRST_REPLY_S = 0.15
# Hosts are asked for so long after the last request that would be forwarded.
WANTED_S = 3.0
# A host that does not reply, like one that does not know the question, is left alone.
SKIP_HOST_S = 3.0
# Questions to a group of hosts before another group is asked.
MAX_VAIN_ROUNDS = 4


class PeerReach:
    """Reports of other hosts on the services that they reach; thread-safe.

    Nobody is asked unless `find` is called.

    Parameters
    ----------
    host : Host
        This host.
    views : Views
        Current view, which lists the hosts.
    """

    def __init__(self, host, views):
        self.host = host
        self.views = views
        self._codec = None
        self._lock = threading.Lock()
        self._changed = threading.Condition(self._lock)
        self._is_stopped = False
        self._wanted_since_s_by_service = {}
        self._wanted_until_s_by_service = {}
        self._reports_by_host = {}
        self._skipped_until_s_by_host = {}
        self._in_flight_by_host = collections.Counter()
        # Only the asking thread uses these.
        self._links_by_address = {}
        self._vain_rounds = 0

    def start(self, codec):
        """Ask other hosts from now on, when that is needed.

        Parameters
        ----------
        codec : messages.Codec
            Signs messages with the hosts' shared key.
        """
        self._codec = codec
        threading.Thread(target=self._run, name="peer reach", daemon=True).start()

    def stop(self):
        """Stop asking and close all connections."""
        with self._changed:
            self._is_stopped = True
            self._changed.notify_all()

    def find(self, services, excluded, now):
        """Find a host that reaches some services; have hosts asked meanwhile.

        Waits up to `FIRST_REPLY_S` if they have only just become wanted.

        Parameters
        ----------
        services : collection of str
            Services that the host must reach.
        excluded : collection of str
            Hosts that are not wanted.
        now : float
            Current time, seconds of the boot clock.

        Returns
        -------
        decisions.PeerReport or None
            ``None`` if none is known.
        """
        with self._changed:
            wait_until_s = self._want(services, now)
            while True:
                peer = decisions.choose_forwarding_peer(
                    self._reports_by_host.values(),
                    services,
                    self._in_flight_by_host,
                    self.host.data_centre,
                    excluded,
                    now,
                )
                if peer is not None or now >= wait_until_s or self._codec is None:
                    return peer
                self._changed.wait(wait_until_s - now)
                now = serving.read_clock()

    def _want(self, services, now):
        """Have hosts asked for services; return until when their replies are due."""
        for service in services:
            if self._wanted_until_s_by_service.get(service, 0.0) <= now:
                self._wanted_since_s_by_service[service] = now
                self._changed.notify_all()
            self._wanted_until_s_by_service[service] = now + WANTED_S
        newest_s = max(self._wanted_since_s_by_service[each] for each in services)
        return newest_s + FIRST_REPLY_S

    def begin(self, host):
        """Count a request that is forwarded to a host."""
        with self._lock:
            self._in_flight_by_host[host] += 1

    def end(self, host):
        """Count a request that was forwarded to a host as ended."""
        with self._lock:
            self._in_flight_by_host[host] -= 1
            if self._in_flight_by_host[host] <= 0:
                del self._in_flight_by_host[host]

    def discard(self, host):
        """Forget what a host has reported, since it could not be reached."""
        with self._lock:
            self._reports_by_host.pop(host, None)

    def list_addresses(self):
        """Return the addresses for forwarded requests that are known."""
        with self._lock:
            return {report.address for report in self._reports_by_host.values()}

    def _run(self):
        while True:
            services = self._wait_wanted()
            if services is None:
                break
            try:
                self._ask(services, serving.read_clock())
            except Exception:
                loguru.logger.exception("asking other hosts failed")
            self._pause(services)
        self._close_links(kept_addresses=set())

    def _wait_wanted(self):
        """Wait until services are wanted; return them, ``None`` at the end."""
        with self._changed:
            while not self._is_stopped:
                services = self._list_wanted(serving.read_clock())
                if services:
                    return services
                self._reports_by_host.clear()
                self._close_links(kept_addresses=set())
                self._changed.wait()
            return None

    def _list_wanted(self, now):
        return [
            service
            for service, until_s in self._wanted_until_s_by_service.items()
            if now < until_s
        ]

    def _ask(self, services, now):
        hosts = self._choose_hosts(now)
        request = messages.ReachRequest(services)
        sent = []
        for host in hosts:
            link = self._get_link(host.peer_address)
            nonce = link.send(request)
            if not isinstance(nonce, messages.NoReply):
                sent.append((host, link, nonce))
        deadline_s = time.monotonic() + REPLY_TIMEOUT_S
        for host, link, nonce in sent:
            reply = link.receive(nonce, deadline_s - time.monotonic())
            self._record(host, reply, serving.read_clock())
        self._close_links({host.peer_address for host in hosts})

    def _choose_hosts(self, now):
        hosts_by_name = self.views.get().hosts_by_name
        data_centres_by_host = {
            host.name: host.data_centre for host in hosts_by_name.values()
        }
        names = decisions.choose_asked_hosts(
            self.host.name, data_centres_by_host, self._vain_rounds // MAX_VAIN_ROUNDS
        )
        return [
            hosts_by_name[name]
            for name in names
            if now >= self._skipped_until_s_by_host.get(name, 0.0)
        ]

    def _record(self, host, reply, now):
        with self._changed:
            self._changed.notify_all()
            if not isinstance(reply, messages.ReachReply):
                self._reports_by_host.pop(host.name, None)
                self._skipped_until_s_by_host[host.name] = now + SKIP_HOST_S
                return
            self._reports_by_host[host.name] = decisions.PeerReport(
                host.name,
                host.data_centre,
                reply.address,
                reply.answer_age_s_by_service,
                reply.forwarded,
                now,
            )

    def _pause(self, services):
        now = serving.read_clock()
        with self._changed:
            is_found = any(
                report.reaches([service], now)
                for report in self._reports_by_host.values()
                for service in services
            )
            interval_s = ASK_INTERVAL_S
            if not is_found:
                interval_s = FIRST_INTERVAL_S * 2 ** min(self._vain_rounds, 8)
            self._vain_rounds = 0 if is_found else self._vain_rounds + 1
            if not self._is_stopped:
                self._changed.wait(min(interval_s, ASK_INTERVAL_S))

    def _get_link(self, address):
        link = self._links_by_address.get(address)
        if link is None:
            link = messages.Peer(address, self._codec)
            self._links_by_address[address] = link
        return link

    def _close_links(self, kept_addresses):
        for address in self._links_by_address.keys() - kept_addresses:
            self._links_by_address.pop(address).close()
