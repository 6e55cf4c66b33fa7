"""Keeps to this host's shares of the request rates of upstreams."""

import enum
import functools
import threading

import attrs

from sycamorespoke import decisions


class _Reason(enum.Enum):
    """Why the rate of an upstream is limited."""

    COLD = "cold"
    STATED = "stated"


@attrs.frozen
class _TurnState:
    """When the turns of this host began to count, and the last one that was used."""

    begun_s: float
    last_turn: int | None = None


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
        # By boot ID and reason; a token bucket or the state of turns.
        self._states_by_key = {}

    def acquire(self, view, upstream, stated_limit_per_s, now):
        """Count one request to an upstream if it may be sent.

        Parameters
        ----------
        view : View
            Current view of the deployment.
        upstream : Upstream
            The upstream.
        stated_limit_per_s : float or None
            Rate limit that the upstream states, requests per second.
        now : float
            Current time, seconds of the boot clock.

        Returns
        -------
        bool
            Whether the request may be sent.
        """
        shares_by_reason = self._compute_shares(view, upstream, stated_limit_per_s, now)
        if not shares_by_reason:
            return True
        with self._lock:
            states_by_key = {
                (upstream.boot_id, reason): self._use(
                    share, (upstream.boot_id, reason), now
                )
                for reason, share in shares_by_reason.items()
            }
            # A request that one limit forbids does not count for the other.
            if None in states_by_key.values():
                return False
            self._states_by_key.update(states_by_key)
            return True

    def retain(self, boot_ids):
        """Drop the state of upstreams whose boot IDs are not in a set."""
        with self._lock:
            for key in list(self._states_by_key):
                if key[0] not in boot_ids:
                    del self._states_by_key[key]

    def _compute_shares(self, view, upstream, stated_limit_per_s, now):
        shares_by_reason = {}
        if stated_limit_per_s is not None:
            shares_by_reason[_Reason.STATED] = decisions.compute_stated_share(
                stated_limit_per_s, self.host, view.hosts, upstream.boot_id
            )
        service = view.configuration.services_by_name.get(upstream.service)
        is_limited = service is not None and service.cold_requests_per_s > 0
        if is_limited and upstream.is_cold(now):
            shares_by_reason[_Reason.COLD] = self._compute_cold_share(
                view, upstream, service
            )
        return shares_by_reason

    def _compute_cold_share(self, view, upstream, service):
        rate = decisions.ColdRateLimit(
            service.cold_requests_per_s,
            self.limits.cold_burst_factor,
            self.limits.cold_slack,
        )
        return decisions.compute_cold_share(
            rate, self.host, view.hosts, upstream.boot_id
        )

    @functools.singledispatchmethod
    def _use(self, share, key, now):
        """Return the state after one more request, ``None`` if it may not be sent."""
        raise TypeError(f"unknown share {share!r}")

    @_use.register
    def _(self, share: decisions.RateShare, key, now):
        if share.requests_per_s <= 0:
            return None
        bucket = self._states_by_key.get(key)
        if not isinstance(bucket, decisions.TokenBucket):
            bucket = decisions.TokenBucket(
                share.requests_per_s, share.burst, share.burst, now
            )
        bucket = attrs.evolve(bucket.refill(now), rate=share.requests_per_s)
        if bucket.wait_s() > 0:
            self._states_by_key[key] = bucket
            return None
        return bucket.take()

    @_use.register
    def _(self, share: decisions.TurnShare, key, now):
        state = self._states_by_key.get(key)
        if not isinstance(state, _TurnState):
            state = self._states_by_key[key] = _TurnState(now)
        turn = decisions.find_turn(share, now - state.begun_s)
        if turn is None or turn == state.last_turn:
            return None
        return attrs.evolve(state, last_turn=turn)
