"""Limits the retries that this host sends to each service."""

import threading

import attrs

from sycamorespoke.retries import _host_count, _window

# A sound upstream that stands still goes on within this time. Until then, it may still
# read a request that its host has given up.
MAX_SILENCE_S = 2.0
# A retry counts as read after this long, whatever the deadline of its request.
MAX_UNREAD_S = 30.0


@attrs.define(eq=False)
class Retry:
    """A retry that a budget allows.

    Parameters
    ----------
    service : str
        Name of the service.
    read_s : float
        When its upstream has read it at the latest, seconds of the boot clock.
    """

    service: str
    read_s: float


@attrs.define
class RetryBudgets:
    """Share of this host in the retry budget of each service; thread-safe.

    Parameters
    ----------
    ratio : float
        Retries allowed for each request.
    slack : float
        Retries allowed in addition in each window, for all hosts together.
    window_s : float, default=10.0
        Length of the window, seconds.
    """

    ratio: float
    slack: float
    window_s: float = 10.0
    _lock: threading.Lock = attrs.field(factory=threading.Lock, init=False, repr=False)
    _windows_by_service: dict = attrs.field(factory=dict, init=False)
    _host_count: object = attrs.field(init=False)

    def __attrs_post_init__(self):
        memory_s = self.window_s + MAX_SILENCE_S
        self._host_count = _host_count.HostCount(memory_s)

    def deposit(self, service, now):
        """Add a request to the budget of a service at ``now``."""
        with self._lock:
            self._get(service).add_request(now)

    def record_hosts(self, hosts, now):
        """Record how many entry hosts are known at ``now``, 1 or more.

        The share of this host grows only once the retries of hosts that are no longer
        known no longer count.
        """
        with self._lock:
            self._host_count.record(hosts, now)

    def withdraw(self, service, hosts, now, deadline_s=float("inf")):
        """Withdraw a retry from the budget of a service.

        Parameters
        ----------
        service : str
            Name of the service.
        hosts : int
            Number of entry hosts that are known now, 1 or more.
        now : float
            Current time, seconds of the boot clock.
        deadline_s : float, default=inf
            Deadline of the request, seconds of the boot clock.

        Returns
        -------
        Retry or None
            ``None`` if the request may not be sent again.
        """
        with self._lock:
            window = self._get(service)
            sharing = self._host_count.record(hosts, now)
            if not window.has_retry(self.slack / sharing, now):
                return None
            read_s = min(deadline_s + MAX_SILENCE_S, now + MAX_UNREAD_S)
            window.add_retry(read_s)
            return Retry(service, read_s)

    def record_read(self, retry, read_s):
        """Count a retry as read at ``read_s``, seconds of the boot clock."""
        with self._lock:
            self._get(retry.service).move_retry(retry.read_s, read_s)
            retry.read_s = read_s

    def _get(self, service):
        window = self._windows_by_service.get(service)
        if window is None:
            window = _window.RetryWindow(self.ratio, self.window_s)
            self._windows_by_service[service] = window
        return window
