"""State of each upstream as this host observes it while sending requests."""

import threading

import attrs

from sycamorespoke import decisions
from sycamorespoke.gateway import _outcome_pool, _upstream_state


class UpstreamTable:
    """States of upstreams by boot ID; safe to share among threads.

    Parameters
    ----------
    host, data_centre : str, default=""
        Name and data centre of this host.

    Attributes
    ----------
    outcomes : OutcomePool
        Outcomes of requests that hosts report to each other.
    """

    def __init__(self, host="", data_centre=""):
        self.outcomes = _outcome_pool.OutcomePool(host, data_centre)
        self._lock = threading.Lock()
        self._states_by_boot = {}

    def read(self, upstreams):
        """Copy the states of some upstreams.

        Parameters
        ----------
        upstreams : iterable of Upstream
            The upstreams.

        Returns
        -------
        dict of str to UpstreamState
            Copies by boot ID, which later observations do not change.
        """
        with self._lock:
            return {
                upstream.boot_id: attrs.evolve(self._get_state(upstream.boot_id))
                for upstream in upstreams
            }

    def begin_request(self, upstream, work, tokens=0.0):
        """Add a request to those in flight.

        Parameters
        ----------
        upstream : Upstream
            Upstream that gets the request.
        work : float
            Estimated work of the request, see `Chooser`.
        tokens : float, default=0.0
            Tokens that it holds in the memory of an engine until it ends.
        """
        with self._lock:
            state = self._get_state(upstream.boot_id)
            state.requests += 1
            state.work += work
            state.tokens += tokens

    def end_request(self, upstream, work, tokens=0.0):
        """Remove a request from those in flight; parameters as `begin_request`."""
        with self._lock:
            state = self._get_state(upstream.boot_id)
            state.requests -= 1
            state.work = max(state.work - work, 0.0) if state.requests else 0.0
            state.tokens = max(state.tokens - tokens, 0.0) if state.requests else 0.0

    def reduce_work(self, upstream, work):
        """Take work that is done off a request in flight, in units as `begin_request`.

        Parameters
        ----------
        upstream : Upstream
            Upstream that has the request.
        work : float
            Work that it has done.
        """
        with self._lock:
            state = self._get_state(upstream.boot_id)
            state.work = max(state.work - work, 0.0)

    def get_work_by_boot(self):
        """Return the work in flight by boot ID, without upstreams that have none."""
        with self._lock:
            return {
                boot_id: state.work
                for boot_id, state in self._states_by_boot.items()
                if state.work > 0
            }

    def get_tokens_by_boot(self):
        """Return the tokens that requests hold by boot ID, where they hold any."""
        with self._lock:
            return {
                boot_id: state.tokens
                for boot_id, state in self._states_by_boot.items()
                if state.tokens > 0
            }

    def record_success(self, upstream, now):
        """Record a successful response at ``now``, seconds of the boot clock."""
        self.outcomes.record(upstream.boot_id, None)
        with self._lock:
            state = self._get_state(upstream.boot_id)
            state.failures = decisions.record_success(state.failures)
            state.last_success_s = now

    def set_pooled_ejections(self, seconds_by_boot, now):
        """Set which upstreams several hosts have found to fail.

        Parameters
        ----------
        seconds_by_boot : dict of str to float
            For how long each is ejected, seconds, by boot ID.
        now : float
            Current time, seconds of the boot clock.
        """
        if not seconds_by_boot:
            return
        with self._lock:
            for boot_id, seconds in seconds_by_boot.items():
                state = self._get_state(boot_id)
                if now >= state.pooled_until_s:
                    state.pooled_s = now
                delay_s = decisions.choose_return_delay_s(self.outcomes.host, boot_id)
                seconds = min(seconds, decisions.MAX_EJECTION_S)
                state.pooled_until_s = now + seconds + delay_s

    def record_failure(self, upstream, weight, now):
        """Record a failure of an upstream.

        Parameters
        ----------
        upstream : Upstream
            Upstream that failed.
        weight : float
            How strongly the failure indicates a fault of the upstream, 0 to 1.
        now : float
            Current time, seconds of the boot clock.

        Returns
        -------
        bool
            Whether this failure ejects the upstream.
        """
        self.outcomes.record(upstream.boot_id, weight)
        with self._lock:
            state = self._get_state(upstream.boot_id)
            was_ejected = state.failures.is_ejected(now)
            state.failures = decisions.record_failure(state.failures, now, weight)
            return state.failures.is_ejected(now) and not was_ejected

    def record_full(self, upstream, until_s):
        """Record that an upstream refused a request because it was full.

        Parameters
        ----------
        upstream : Upstream
            Upstream that refused.
        until_s : float
            Time until which other upstreams are preferred, seconds of the boot clock.
        """
        with self._lock:
            self._get_state(upstream.boot_id).full_until_s = until_s

    def expect_first_event(self, upstream, request, expected_s):
        """Record when the first event of a request with full priority is expected.

        Parameters
        ----------
        upstream : Upstream
            Upstream that gets the request.
        request : object
            Identifies the request until `discard_expected_event`.
        expected_s : float
            When the first event arrives if the request does not have to wait, seconds
            of the boot clock.
        """
        with self._lock:
            state = self._get_state(upstream.boot_id)
            state.expected_s_by_request[request] = expected_s

    def discard_expected_event(self, upstream, request):
        """Stop waiting for the first event of a request that has ended."""
        with self._lock:
            state = self._get_state(upstream.boot_id)
            state.expected_s_by_request.pop(request, None)

    def record_first_event(self, upstream, request, now):
        """Update the wait estimate with the first event of an expected request."""
        with self._lock:
            state = self._get_state(upstream.boot_id)
            expected_s = state.expected_s_by_request.pop(request, None)
            if expected_s is not None:
                state.wait_estimate = state.wait_estimate.observe(now - expected_s, now)

    def estimate_wait_s(self, upstream, now):
        """Return the estimated wait of requests with full priority, seconds."""
        with self._lock:
            state = self._get_state(upstream.boot_id)
            return state.wait_estimate.read(now, state.expected_s_by_request.values())

    def record_version(self, upstream, model, version):
        """Record the weight version that an upstream holds.

        Parameters
        ----------
        upstream : Upstream
            The upstream.
        model : str
            Name of the model.
        version : int
            Observed weight version.

        Returns
        -------
        bool
            Whether the version is newer than the one known before.
        """
        with self._lock:
            versions_by_model = self._get_state(upstream.boot_id).versions_by_model
            known = max(
                versions_by_model.get(model, 0),
                upstream.versions_by_model.get(model, 0),
            )
            if version <= known:
                return False
            versions_by_model[model] = version
            return True

    def record_rate_limit(self, upstream, rate_limit_per_s):
        """Record the rate limit that a response of an upstream stated, or its absence.

        Parameters
        ----------
        upstream : Upstream
            The upstream.
        rate_limit_per_s : float or None
            Requests per second; ``None`` without a limit.

        Returns
        -------
        bool
            Whether the limit differs from the one known before.
        """
        with self._lock:
            state = self._get_state(upstream.boot_id)
            has_changed = state.rate_limit_per_s != rate_limit_per_s
            state.rate_limit_per_s = rate_limit_per_s
            return has_changed

    def record_backoff(self, upstream, until_s):
        """Record that an upstream wants no requests from this host for some time.

        Parameters
        ----------
        upstream : Upstream
            The upstream.
        until_s : float
            End of that time, seconds of the boot clock.

        Returns
        -------
        bool
            Whether this is later than the end known before.
        """
        with self._lock:
            state = self._get_state(upstream.boot_id)
            if until_s <= state.backoff_until_s:
                return False
            state.backoff_until_s = until_s
            return True

    def record_leaving(self, upstream, now):
        """Record that this boot of an upstream is about to stop.

        Parameters
        ----------
        upstream : Upstream
            The upstream.
        now : float
            Current time, seconds of the boot clock.

        Returns
        -------
        bool
            Whether this was not known before.
        """
        with self._lock:
            state = self._get_state(upstream.boot_id)
            if state.is_leaving:
                return False
            state.leaving_since_s = now
            return True

    def retain(self, boot_ids, now):
        """Drop the states of boots that are not listed and have no request in flight.

        An upstream that is about to stop is remembered for `LEAVING_MEMORY_S`, since
        an older copy of the list may still have it.

        Parameters
        ----------
        boot_ids : set of str
            Boot IDs of the registered upstreams.
        now : float
            Current time, seconds of the boot clock.
        """
        self.outcomes.retain(boot_ids)
        with self._lock:
            for boot_id, state in list(self._states_by_boot.items()):
                is_used = boot_id in boot_ids or state.requests
                if not is_used and not state.has_left_recently(now):
                    del self._states_by_boot[boot_id]

    def dump(self, now):
        """Return the states as JSON values by boot ID."""
        with self._lock:
            return {
                boot_id: {
                    "requests": state.requests,
                    "work": round(state.work, 1),
                    "failure_rate": round(state.failures.failure_rate, 3),
                    "ejected": now < state.ejected_until_s,
                    "ejected_for_several_hosts": now < state.pooled_until_s,
                    "rate_limit_per_s": state.rate_limit_per_s,
                    "backoff_s": round(max(state.backoff_until_s - now, 0.0), 3),
                    "leaving": state.is_leaving,
                    "versions": dict(state.versions_by_model),
                }
                for boot_id, state in self._states_by_boot.items()
            }

    def _get_state(self, boot_id):
        state = self._states_by_boot.get(boot_id)
        if state is None:
            state = self._states_by_boot[boot_id] = _upstream_state.UpstreamState()
        return state
