"""What this host has seen of each upstream while it used it."""

import threading

import attrs

from sycamorespoke import decisions

DRAINING = "draining"
EJECTED = "left_out"
LOADING = "loading"
COLD = "cold"
FULL = "full"
READY = "ready"
STATES = (DRAINING, EJECTED, LOADING, COLD, FULL, READY)


@attrs.define
class UpstreamState:
    """What was seen of one start of an upstream.

    Parameters
    ----------
    requests : int, default=0
        Requests of this host under way there.
    work : float, default=0.0
        Their work, see `Chooser`.
    faults : decisions.FailureHistory
        Its failures.
    versions_by_model : dict of str to int
        Weights that its answers showed, where newer than its entry.
    cold_bucket : decisions.TokenBucket or None, default=None
        This host's share while it is cold.
    wait : decisions.WaitEstimate
        How long urgent requests wait there for their first event.
    expected_s_by_request : dict of object to float
        When the first events of urgent requests under way were expected, seconds of
        the boot clock.
    full_until_s : float, default=-inf
        It refused a request as full; others are preferred until then.
    """

    requests: int = 0
    work: float = 0.0
    faults: decisions.FailureHistory = attrs.field(factory=decisions.FailureHistory)
    versions_by_model: dict[str, int] = attrs.field(factory=dict)
    cold_bucket: decisions.TokenBucket | None = None
    wait: decisions.WaitEstimate = attrs.field(factory=decisions.WaitEstimate)
    expected_s_by_request: dict[object, float] = attrs.field(factory=dict)
    full_until_s: float = float("-inf")


class UpstreamTable:
    """States of upstreams by their start; safe to share among threads."""

    def __init__(self):
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
            By start; the copies do not change.
        """
        with self._lock:
            return {
                upstream.boot_id: attrs.evolve(self._state(upstream.boot_id))
                for upstream in upstreams
            }

    def begin_request(self, upstream, work):
        """Count a request as under way."""
        with self._lock:
            state = self._state(upstream.boot_id)
            state.requests += 1
            state.work += work

    def end_request(self, upstream, work):
        """Count a request as ended."""
        with self._lock:
            state = self._state(upstream.boot_id)
            state.requests -= 1
            state.work = max(state.work - work, 0.0) if state.requests else 0.0

    def list_work(self):
        """Return the work under way by start of the upstream, where there is some."""
        with self._lock:
            return {
                boot_id: state.work
                for boot_id, state in self._states_by_boot.items()
                if state.work > 0
            }

    def record_success(self, upstream):
        """Note an answer of an upstream."""
        with self._lock:
            state = self._state(upstream.boot_id)
            state.faults = decisions.record_success(state.faults)

    def record_failure(self, upstream, weight, now):
        """Note a failure of an upstream.

        Returns
        -------
        bool
            Whether the upstream is left out because of it from ``now`` on.
        """
        with self._lock:
            state = self._state(upstream.boot_id)
            was_ejected = state.faults.is_ejected(now)
            state.faults = decisions.record_failure(state.faults, now, weight)
            return state.faults.is_ejected(now) and not was_ejected

    def record_full(self, upstream, until_s):
        """Note that an upstream refused a request as full."""
        with self._lock:
            self._state(upstream.boot_id).full_until_s = until_s

    def expect_first_event(self, upstream, request, expected_s):
        """Note when the first event of an urgent request is expected.

        Parameters
        ----------
        upstream : Upstream
            Where the request goes.
        request : object
            Identifies it, until `discard_expected_event`.
        expected_s : float
            If it does not have to wait, seconds of the boot clock.
        """
        with self._lock:
            state = self._state(upstream.boot_id)
            state.expected_s_by_request[request] = expected_s

    def discard_expected_event(self, upstream, request):
        """Note that an urgent request has ended without an event."""
        with self._lock:
            state = self._state(upstream.boot_id)
            state.expected_s_by_request.pop(request, None)

    def record_first_event(self, upstream, request, now):
        """Note the first event of a request, if it was expected."""
        with self._lock:
            state = self._state(upstream.boot_id)
            expected_s = state.expected_s_by_request.pop(request, None)
            if expected_s is not None:
                state.wait = state.wait.observe(now - expected_s, now)

    def estimate_wait_s(self, upstream, now):
        """Return how long urgent requests wait at an upstream, seconds."""
        with self._lock:
            state = self._state(upstream.boot_id)
            return state.wait.read(now, state.expected_s_by_request.values())

    def record_version(self, upstream, model, version):
        """Note the weights that an upstream showed.

        Returns
        -------
        bool
            Whether that is news.
        """
        with self._lock:
            versions_by_model = self._state(upstream.boot_id).versions_by_model
            known = max(
                versions_by_model.get(model, 0),
                upstream.versions_by_model.get(model, 0),
            )
            if version <= known:
                return False
            versions_by_model[model] = version
            return True

    def acquire_cold_token(self, upstream, share, now):
        """Take a token of this host's share of a cold upstream's rate.

        Parameters
        ----------
        upstream : Upstream
            The cold upstream.
        share : decisions.ColdShare
            This host's share.
        now : float
            Present time, seconds of the boot clock.

        Returns
        -------
        bool
            Whether a request may be sent.
        """
        if share.requests_per_s <= 0:
            return False
        with self._lock:
            state = self._state(upstream.boot_id)
            bucket = state.cold_bucket or decisions.TokenBucket(
                share.requests_per_s, share.burst, share.burst, now
            )
            bucket = attrs.evolve(bucket.refill(now), rate=share.requests_per_s)
            has_token = bucket.wait_s() == 0
            state.cold_bucket = bucket.take() if has_token else bucket
            return has_token

    def count_states(self, view, now):
        """Count the registered upstreams by service and what is believed of them.

        Parameters
        ----------
        view : View
            Lists the upstreams.
        now : float
            Present time, seconds of the boot clock.

        Returns
        -------
        dict of (str, str) to int
            By service and state, one of `STATES`; 0 for states that none is in.
        """
        upstreams = (view.upstreams_by_id or {}).values()
        states_by_boot = self.read(upstreams)
        counts = {
            (upstream.service, state): 0 for upstream in upstreams for state in STATES
        }
        for upstream in upstreams:
            state = _judge(upstream, states_by_boot[upstream.boot_id], view, now)
            counts[upstream.service, state] += 1
        return counts

    def retain(self, boot_ids):
        """Forget the upstreams that are listed no more and have no request."""
        with self._lock:
            for boot_id in list(self._states_by_boot):
                if (
                    boot_id not in boot_ids
                    and not self._states_by_boot[boot_id].requests
                ):
                    del self._states_by_boot[boot_id]

    def dump(self, now):
        """Return the states as JSON values, by start."""
        with self._lock:
            return {
                boot_id: {
                    "requests": state.requests,
                    "work": round(state.work, 1),
                    "failure_rate": round(state.faults.failure_rate, 3),
                    "ejected": state.faults.is_ejected(now),
                    "versions": dict(state.versions_by_model),
                }
                for boot_id, state in self._states_by_boot.items()
            }

    def _state(self, boot_id):
        state = self._states_by_boot.get(boot_id)
        if state is None:
            state = self._states_by_boot[boot_id] = UpstreamState()
        return state


def _judge(upstream, state, view, now):
    """Return the state of an upstream that matters most for choosing it."""
    if upstream.is_draining:
        return DRAINING
    if state.faults.is_ejected(now):
        return EJECTED
    if view.is_loading(upstream, now):
        return LOADING
    if upstream.is_cold(now):
        return COLD
    return FULL if now < state.full_until_s else READY
