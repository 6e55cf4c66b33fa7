"""Keeps to this host's shares of the request rates of upstreams."""

import threading

import attrs

from sycamorespoke import decisions


class RateLimiter:
    """Limits the requests of this host to upstreams with a rate; thread-safe.

    Parameters
    ----------
    host : str
        Name of this host.
    limits : UpstreamLimits
        Limits on the use of upstreams.
    """

    def __init__(self, host, limits):
        self.host = host
        self.limits = limits
        self._lock = threading.Lock()
        self._buckets_by_boot = {}

    def acquire(self, view, upstream, now):
        """Count one request to an upstream if it may be sent.

        Parameters
        ----------
        view : View
            Current view of the deployment.
        upstream : Upstream
            The upstream.
        now : float
            Current time, seconds of the boot clock.

        Returns
        -------
        bool
            Whether the request may be sent.
        """
        share = self._compute_cold_share(view, upstream, now)
        return share is None or self._take(upstream, share, now)

    def retain(self, boot_ids):
        """Drop the state of upstreams whose boot IDs are not in a set."""
        with self._lock:
            for boot_id in self._buckets_by_boot.keys() - boot_ids:
                del self._buckets_by_boot[boot_id]

    def _compute_cold_share(self, view, upstream, now):
        """Return the share of a cold upstream; ``None`` if it is not limited."""
        service = view.configuration.services_by_name.get(upstream.service)
        if service is None or not upstream.is_cold(now):
            return None
        if service.cold_requests_per_s <= 0:
            return None
        rate = decisions.ColdRateLimit(
            service.cold_requests_per_s,
            self.limits.cold_burst_factor,
            self.limits.cold_slack,
        )
        return decisions.compute_cold_share(
            rate, self.host, view.hosts, upstream.boot_id
        )

    def _take(self, upstream, share, now):
        if share.requests_per_s <= 0:
            return False
        with self._lock:
            bucket = self._buckets_by_boot.get(upstream.boot_id)
            if bucket is None:
                bucket = decisions.TokenBucket(
                    share.requests_per_s, share.burst, share.burst, now
                )
            bucket = attrs.evolve(bucket.refill(now), rate=share.requests_per_s)
            has_token = bucket.wait_s() == 0
            self._buckets_by_boot[upstream.boot_id] = (
                bucket.take() if has_token else bucket
            )
            return has_token
