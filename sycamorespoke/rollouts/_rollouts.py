"""What this host knows of all rollouts, and which upstreams its requests may use."""

import collections
import secrets
import threading

import attrs

from sycamorespoke import clients
from sycamorespoke.rollouts import (
    _durations,
    _host_rollout,
    _known_rollouts,
    _listed_versions,
    _orders,
    _plan,
    _reports,
    _verdict,
)


@attrs.frozen
class SentRequest:
    """A request that is under way at an upstream.

    Parameters
    ----------
    upstream : Upstream
        The upstream.
    route : str
        Name of the route.
    begun_s : float
        When it was sent, seconds of the boot clock.
    """

    upstream: object
    route: str
    begun_s: float


class Rollouts:
    """Rollouts as one host knows them; thread-safe.

    Parameters
    ----------
    host : str
        Name of this host.
    limits : Limits
        Limits on the use of a version on trial.
    history : clients.StoreHistory or None, default=None
        Tells the era of the store.
    """

    def __init__(self, host, limits, history=None):
        self.host = host
        self.limits = limits
        self.boot_id = secrets.token_hex(4)
        self._lock = threading.Lock()
        self._current_by_service = {}
        self._known = _known_rollouts.KnownRollouts(history or clients.StoreHistory())
        self._listed = _listed_versions.ListedVersions()
        self._durations = _durations.Durations()
        self._in_flight_by_version = collections.Counter()

    def record_upstreams(self, upstreams, now):
        """Record the upstreams that are listed at ``now``, seconds."""
        with self._lock:
            self._listed.record(upstreams, now)

    def record_orders(self, orders, now):
        """Record the orders that the store holds.

        An order that is no longer listed stays in force: it may only be unreadable.

        Parameters
        ----------
        orders : collection of RolloutOrder
            All of the orders.
        now : float
            Current time, seconds of the boot clock.
        """
        with self._lock:
            for order in orders:
                self._record_order(order, now)
            self._known.record_list(orders)

    def record_order(self, order, now):
        """Record one order as the store holds it, see `record_orders`."""
        with self._lock:
            self._record_order(order, now)

    def _record_order(self, order, now):
        self._continue_known(order, now)
        current = self._current_by_service.get(order.id.service)
        if current is not None and order.revision < current.order.revision:
            return
        rollout = self._known.get(order.id)
        if rollout is None:
            rollout = _host_rollout.HostRollout(order, now)
            self._known.add(order.id, rollout)
            _reports.log(
                "rollout began", order, duration_s=order.duration_s, state=order.state
            )
        elif rollout is not current and order.revision <= rollout.order.revision:
            # It was replaced by the current one, also if the store lacks that one.
            return
        self._current_by_service[order.id.service] = rollout
        self._adopt(rollout, order, now)
        self._known.record_last(rollout)

    def _continue_known(self, order, now):
        """Let a known rollout go on with an order of a later era of the store."""
        if self._known.get(order.id) is not None:
            return
        rollout = self._known.find_continued(order, now)
        if rollout is None:
            return
        self._known.add(order.id, rollout)
        _reports.log("rollout goes on in a new era", order, state=order.state)
        self._adopt(rollout, order, now)

    def _adopt(self, rollout, order, now):
        if rollout.adopt_order(order, now):
            _reports.log("rollout ended", order, state=order.state, told_by="store")

    def plan(self, request, upstreams, hosts_by_name, confirmed_s, now):
        """Decide which upstreams of a service a request may use, in which order.

        Parameters
        ----------
        request : PlannedRequest
            What counts of the request.
        upstreams : list of Upstream
            Upstreams of the service that may get it otherwise.
        hosts_by_name : dict of str to Host
            Registered entry hosts.
        confirmed_s : float
            When the orders were last confirmed, seconds of the boot clock.
        now : float
            Current time, seconds of the boot clock.

        Returns
        -------
        Plan
            Groups of upstreams; each is used only if those before it cannot be.
        """
        with self._lock:
            rollout = self._current_by_service.get(request.service)
            usable = [
                upstream
                for upstream in upstreams
                if self._listed.may_use(upstream, confirmed_s)
                or self._is_old(upstream, rollout)
            ]
            if rollout is None:
                return _plan.Plan((usable,))
            usable = self._leave_out_left(usable, rollout)
            patience_s = self.limits.compute_patience_s(len(hosts_by_name))
            situation = _plan.Situation(
                is_judged=now - rollout.judged_s <= patience_s,
                may_reserve=lambda: rollout.reserve(
                    self.host,
                    hosts_by_name,
                    self.limits.share,
                    self.limits.slack,
                    request.route,
                    now,
                ),
                share=self.limits.share,
            )
            return _plan.make_plan(rollout, request, usable, situation, now)

    def _is_old(self, upstream, rollout):
        """Return whether a version was there beside the one that is brought in.

        A host that starts during a rollout finds both on its first list.
        """
        if rollout is None or rollout.end is not None or rollout.is_trial(upstream):
            return False
        return self._listed.was_listed_first(upstream)

    def _leave_out_left(self, upstreams, current):
        """Leave out the versions that earlier orders of a service did not complete.

        Of an order that was replaced, the end may not be known here. Its version was
        completed if, besides the one that is brought in, no other is left.
        """
        ends_by_version = self._known.list_earlier_ends(current)
        kept = [
            each
            for each in upstreams
            if ends_by_version.get(each.software_version)
            is not _orders.RolloutState.ROLLED_BACK
        ]
        completed = [
            each
            for each in kept
            if ends_by_version.get(
                each.software_version, _orders.RolloutState.COMPLETED
            )
            is _orders.RolloutState.COMPLETED
        ]
        has_old = any(not current.is_trial(each) for each in completed)
        return completed if has_old else kept

    def cancel_reservation(self, plan):
        """Take back what a plan reserved and its request did not use."""
        if plan.reserved_for is not None:
            with self._lock:
                plan.reserved_for.cancel_reservation()

    def begin(self, upstream, route, now):
        """Count a request that is sent to an upstream; returns a `SentRequest`."""
        with self._lock:
            key = upstream.service, upstream.software_version
            self._in_flight_by_version[key] += 1
            rollout = self._current_by_service.get(upstream.service)
            if rollout is not None and rollout.end is None:
                rollout.count_sent(upstream)
        return SentRequest(upstream, route, now)

    def end(self, sent, outcome, now):
        """Count the end of a request.

        Parameters
        ----------
        sent : SentRequest
            What `begin` returned.
        outcome : Outcome
            How it ended.
        now : float
            Current time, seconds of the boot clock.
        """
        upstream = sent.upstream
        key = upstream.service, upstream.software_version
        with self._lock:
            self._in_flight_by_version[key] -= 1
            if self._in_flight_by_version[key] <= 0:
                del self._in_flight_by_version[key]
            rollout = self._current_by_service.get(upstream.service)
            if rollout is None or rollout.end is not None:
                rollout = None
            is_trial = rollout is not None and rollout.is_trial(upstream)
            is_cold = upstream.is_cold(sent.begun_s)
            duration_s = now - sent.begun_s
            sample = upstream.service, sent.route
            is_slow = not is_cold and self._durations.is_slow(sample, duration_s)
            if outcome is _durations.Outcome.WHOLE and not (is_trial or is_cold):
                self._durations.record(sample, duration_s)
            if rollout is None:
                return
            if outcome is _durations.Outcome.LOST:
                rollout.count_lost(upstream, now)
            elif outcome is not _durations.Outcome.CANCELLED or is_slow:
                is_failed = outcome is _durations.Outcome.FAILED
                rollout.count_end(upstream, sent.route, is_failed or is_slow)
            if is_trial:
                self._stop_if_bad(rollout)

    def _stop_if_bad(self, rollout):
        """End the trial at this host at once if what it has seen itself is enough."""
        if rollout.has_stopped:
            return
        evidence = rollout.make_evidence()
        finding = _verdict.find_bad(evidence, evidence, _verdict.LOCAL_FALSE_ALARM)
        if finding is None:
            return
        rollout.has_stopped = True
        _reports.log(
            "trial stopped", rollout.order, **_reports.describe_finding(finding)
        )

    def list_pending(self):
        """Return the orders whose end the store does not hold yet."""
        with self._lock:
            return [
                rollout.order
                for rollout in self._current_by_service.values()
                if not rollout.order.is_ended
            ]

    def get_end(self, rollout_id):
        """Return how a rollout ended; ``None`` if it goes on or is not known."""
        with self._lock:
            rollout = self._known.get(rollout_id)
            return rollout and rollout.end

    def make_reports(self, now):
        """Return a `messages.RolloutReport` for each rollout that is under way."""
        with self._lock:
            return [
                _reports.make_report(
                    rollout, self.host, self.boot_id, self._in_flight_by_version, now
                )
                for rollout in self._current_by_service.values()
                if not rollout.order.is_ended
            ]

    def apply_reply(self, reply, now):
        """Adopt what the holder of the task says; from then on it binds this host.

        Parameters
        ----------
        reply : messages.RolloutReply
            Reply of the holder to a request that was sent after ``now``, or at it.
        now : float
            Seconds of the boot clock.
        """
        rollout_id = _orders.RolloutId(reply.service, reply.version, reply.created)
        with self._lock:
            rollout = self._known.get(rollout_id)
            if rollout is None or not reply.is_holder:
                return
            rollout.judged_s = max(rollout.judged_s, now)
            rollout.wanted_routes = frozenset(reply.wanted_routes)
            if reply.is_moving and not rollout.is_moving:
                _reports.log("rollout phase", rollout.order, phase="moving")
            rollout.is_moving = rollout.is_moving or reply.is_moving
            rollout.fraction = reply.fraction
            end = _orders.RolloutState.parse_end(reply.end)
            if rollout.set_end(end, now):
                _reports.log(
                    "rollout ended", rollout.order, state=end, told_by="holder"
                )

    def dump(self, now):
        """Return the rollouts as JSON values by service."""
        with self._lock:
            return {
                service: _reports.describe(rollout, now)
                for service, rollout in self._current_by_service.items()
            }
