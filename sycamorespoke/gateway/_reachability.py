"""Which services this host reaches, as its own requests show."""

import threading

import attrs
import loguru

from sycamorespoke import decisions, quarantine, serving


@attrs.define
class ServiceLinks:
    """Links of this host to the upstreams of one service.

    Connecting and answering are told apart: open connections may go on while new ones
    are refused, and new connections may be accepted and then lost.

    Parameters
    ----------
    connecting : decisions.LinkState
        What new connections have shown.
    answering : decisions.LinkState
        What requests on open connections have shown.
    answered_s : float, default=-inf
        When an upstream last answered, seconds of the boot clock.
    """

    connecting: decisions.LinkState = attrs.field(factory=decisions.LinkState)
    answering: decisions.LinkState = attrs.field(factory=decisions.LinkState)
    answered_s: float = float("-inf")

    def is_lost(self, now):
        """Return whether this host has lost its links to the service."""
        return self.connecting.is_lost(now) or self.answering.is_lost(now)

    def is_suspect(self, now):
        """Return whether an upstream has failed since the last success."""
        return self.connecting.is_suspect(now) or self.answering.is_suspect(now)

    def may_try(self, may_repeat, now):
        """Return whether a request may try whether lost links work again.

        One that gets a connection and then no answer may have run, so that only a
        request that may be sent again tries that.
        """
        if self.connecting.is_lost(now) and not self.connecting.may_try(now):
            return False
        if self.answering.is_lost(now):
            return may_repeat and self.answering.may_try(now)
        return True


class Reachability:
    """Links of this host to all services; thread-safe.

    Parameters
    ----------
    views : Views
        Current view, which lists the upstreams.
    """

    def __init__(self, views):
        self.views = views
        self._lock = threading.Lock()
        self._links_by_service = {}
        self._logged_services = set()

    def record_connected(self, upstream, now):
        """Record that an upstream accepted a new connection at ``now``."""
        with self._lock:
            links = self._get_links(upstream.service)
            links.connecting = decisions.LinkState()
            self._log_change(upstream.service, links, now)

    def record_answered(self, upstream, now):
        """Record that an upstream sent the head of a response at ``now``."""
        with self._lock:
            links = self._get_links(upstream.service)
            links.answering = decisions.LinkState()
            links.answered_s = now
            self._log_change(upstream.service, links, now)

    def record_unreachable(self, upstream, now):
        """Record that a connection to an upstream failed at ``now``."""
        with self._lock:
            links = self._get_links(upstream.service)
            listed = len(self.views.get().list_upstreams(upstream.service))
            # The only upstream of a service may be out of reach.
            wanted = min(max(listed, 1), decisions.MIN_FAILED_UPSTREAMS)
            links.connecting = decisions.record_link_failure(
                links.connecting, upstream.boot_id, now, wanted
            )
            self._log_change(upstream.service, links, now)

    def record_unanswered(self, upstream, now):
        """Record that an upstream sent nothing, or broke its response off."""
        with self._lock:
            links = self._get_links(upstream.service)
            links.answering = decisions.record_link_failure(
                links.answering, upstream.boot_id, now
            )
            self._log_change(upstream.service, links, now)

    def is_lost(self, service, now):
        """Return whether this host has lost its links to a service at ``now``."""
        with self._lock:
            links = self._links_by_service.get(service)
            if links is None:
                return False
            self._log_change(service, links, now)
            return links.is_lost(now)

    def begin_trials(self, services, may_repeat, now):
        """Let a request try whether the links to some services work again.

        Parameters
        ----------
        services : list of str
            Services whose links are lost.
        may_repeat : bool
            Whether the request may be sent again if it gets no answer.
        now : float
            Current time, seconds of the boot clock.

        Returns
        -------
        bool
            Whether it may try; others may not for a while then.
        """
        with self._lock:
            all_links = [self._get_links(service) for service in services]
            if not all(links.may_try(may_repeat, now) for links in all_links):
                return False
            for links in all_links:
                links.connecting = decisions.begin_link_trial(links.connecting, now)
                links.answering = decisions.begin_link_trial(links.answering, now)
            return True

    def has_lost_all(self, service, now):
        """Return whether no listed upstream of a service accepts connections.

        Upstreams that accept them and are silent do not count: they may go on.
        """
        with self._lock:
            unreachable = self._get_links(service).connecting.list_failed(now)
        listed = self.views.get().list_upstreams(service)
        return all(upstream.boot_id in unreachable for upstream in listed)

    def get_answer_age_s(self, service, now):
        """Return how long ago a service answered this host.

        Returns
        -------
        float or None
            Seconds; ``None`` if it never did, or an upstream has failed since.
        """
        with self._lock:
            links = self._links_by_service.get(service)
            if links is None or links.is_suspect(now):
                return None
            age_s = now - links.answered_s
            return age_s if age_s < float("inf") else None

    def is_running(self, upstream):
        """Return whether the process of an upstream runs.

        Returns
        -------
        bool or None
            ``None`` if that cannot be told: a refused connection may also mean that
            this host has lost its links, unless an upstream of the service has
            answered since the last failure.
        """
        is_listening = quarantine.is_listening(upstream)
        if is_listening is not False:
            return is_listening
        now = serving.read_clock()
        with self._lock:
            links = self._get_links(upstream.service)
            is_linked = not links.answering.is_suspect(now) and not links.is_lost(now)
        return False if is_linked else None

    def dump(self, now):
        """Return the links as JSON values by service."""
        with self._lock:
            return {
                service: {
                    "lost": links.is_lost(now),
                    "answered_s_ago": _round_age(links.answered_s, now),
                    "unreachable": sorted(links.connecting.failed_s_by_boot),
                    "unanswered": sorted(links.answering.failed_s_by_boot),
                }
                for service, links in self._links_by_service.items()
            }

    def list_lost(self, now):
        """Return the services to which this host has lost its links."""
        with self._lock:
            return [
                service
                for service, links in self._links_by_service.items()
                if links.is_lost(now)
            ]

    def _get_links(self, service):
        return self._links_by_service.setdefault(service, ServiceLinks())

    def _log_change(self, service, links, now):
        is_lost = links.is_lost(now)
        if is_lost == (service in self._logged_services):
            return
        fields = {
            "service": service,
            "answered_s_ago": _round_age(links.answered_s, now),
        }
        if is_lost:
            self._logged_services.add(service)
            loguru.logger.bind(
                unreachable=sorted(links.connecting.failed_s_by_boot),
                unanswered=sorted(links.answering.failed_s_by_boot),
                **fields,
            ).info("links to service lost")
            return
        self._logged_services.discard(service)
        loguru.logger.bind(**fields).info("links to service back")


def _round_age(at_s, now):
    age_s = now - at_s
    return round(age_s, 3) if age_s < float("inf") else None
