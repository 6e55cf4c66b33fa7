"""Chooses the upstream of each attempt from the view and the upstreams' state."""

import collections

import attrs

from sycamorespoke import decisions, domain, rollouts
from sycamorespoke.gateway import (
    _candidates,
    _placing,
    _prompt_work,
    _rate_limiter,
    _upstream_state,
    _version_plan,
)

# Requests stop going to engines with older weights this long before the grace period
# ends, or earlier by as much as requests wait there.
OLD_VERSION_MARGIN_S = 2.0
DEFAULT_CONNECTION_LIMIT = 64
# The rest of an upstream's connections is left for hosts that have not registered yet.
USABLE_CONNECTION_SHARE = 0.9


@attrs.frozen
class Choice:
    """Upstream that was chosen for an attempt.

    Parameters
    ----------
    upstream : Upstream
        The upstream.
    weight_version : int or None
        Weight version that the upstream is expected to hold.
    connections : int
        Maximum number of connections of this host to the upstream.
    expected_wait_s : float or None, default=None
        Estimated time until the upstream begins to work on the request, seconds;
        ``None`` if it is not estimated.
    work_ahead : float or None, default=None
        Estimated work of all hosts at the upstream, see `_prompt_work`.
    """

    upstream: object
    weight_version: int | None
    connections: int
    expected_wait_s: float | None = None
    work_ahead: float | None = None


@attrs.frozen
class UpstreamLimits:
    """Limits on the use of upstreams from the settings.

    Parameters
    ----------
    cold_burst_factor : float
        Multiple of its request rate that a cold upstream sustains for one second.
    cold_slack : float
        Requests that it sustains in addition to that in one second.
    version_grace_s : float
        Time after a new target version from which no request may begin on older
        weights, seconds.
    """

    cold_burst_factor: float
    cold_slack: float
    version_grace_s: float


class Chooser:
    """Chooses the upstream of each attempt.

    Requests with a prompt go to the upstream that is ranked first for the blocks they
    share with other requests, unless its load exceeds a bound. Other requests go to
    the least utilised upstream.

    Parameters
    ----------
    host : str
        Name of this host.
    data_centre : str
        Data centre of this host.
    table : UpstreamTable
        Observed state of the upstreams.
    limits : UpstreamLimits
        Limits on the use of upstreams.
    loads : PeerLoads
        Loads that other hosts put on the upstreams.
    generator : random.Random or None, default=None
        Breaks ties.
    shared_load_hosts : int, default=0
        Number of entry hosts from which on requests are placed by the expected wait;
        0 for never.
    known_rollouts : rollouts.Rollouts or None, default=None
        Rollouts of software versions, if they are followed.

    Attributes
    ----------
    placer : Placer
        Places requests on one of the upstreams that may get them.
    """

    def __init__(
        self,
        host,
        data_centre,
        table,
        limits,
        loads,
        generator=None,
        shared_load_hosts=0,
        known_rollouts=None,
    ):
        self.host = host
        self.table = table
        self.limits = limits
        self.known_rollouts = known_rollouts
        self.rate_limiter = _rate_limiter.RateLimiter(host, limits)
        self.placer = _placing.Placer(
            data_centre, loads, shared_load_hosts, generator=generator
        )

    def choose(self, view, route, request, excluded, now, origin=None, contacts=None):
        """Choose the upstream of the next attempt.

        Parameters
        ----------
        view : View
            Current view of the deployment.
        route : Route
            Route of the request.
        request : Request
            The request.
        excluded : set of str
            Boot IDs of upstreams that are not tried again.
        now : float
            Current time, seconds of the boot clock.
        origin : decisions.StreamOrigin or None, default=None
            Upstreams that may continue the stream, if the request continues one.
        contacts : retries.Contacts or None, default=None
            Contacts with the upstreams, if the request is sent again: upstreams that
            leave no request waiting go before all others, also before those that do
            not fail, and among the rest those that were heard of lately.

        Returns
        -------
        Choice or domain.Refusal
            The refusal states why no upstream is available.
        """
        refusal = None
        reasons = collections.Counter()
        for service in self._rank_services(route, request):
            upstreams = [
                upstream
                for upstream in view.list_upstreams(service)
                if _candidates.is_candidate(upstream, excluded, origin, reasons)
            ]
            planned = rollouts.PlannedRequest(
                service, route.name, request.id, bool(excluded), origin is not None
            )
            plan = _version_plan.make(
                self.known_rollouts, planned, view, upstreams, reasons, now
            )
            for group in plan.groups:
                result = self._choose_among(
                    view, group, request, route, now, reasons, contacts
                )
                if isinstance(result, Choice):
                    _version_plan.settle(self.known_rollouts, plan, result.upstream)
                    return result
                refusal = result or refusal
            _version_plan.settle(self.known_rollouts, plan, None)
        return refusal or _candidates.make_refusal(reasons)

    def preview(self, view, upstreams, request, route, now):
        """Place a request without reserving anything for it, as `choose` does.

        Parameters
        ----------
        view : View
            Current view of the deployment.
        upstreams : list of Upstream
            Upstreams of one service that come into question.
        request : Request
            The request.
        route : Route
            Its route.
        now : float
            Current time, seconds of the boot clock.

        Returns
        -------
        Placed or None
            ``None`` if none of them may get requests.
        """
        states_by_boot = self.table.read(upstreams)
        availability_by_boot = _candidates.assess_all(
            view, upstreams, states_by_boot, now
        )
        upstreams = [
            each
            for each in upstreams
            if availability_by_boot[each.boot_id].find_bar() is None
        ]
        upstreams = _candidates.select_preferred(
            upstreams, states_by_boot, availability_by_boot, now
        )
        if not upstreams:
            return None
        return self.placer.place(view, upstreams, states_by_boot, request, route, now)

    def find_opening_s(self, view, route, now):
        """Find when an upstream of a route may get requests.

        Parameters
        ----------
        view : View
            Current view of the deployment.
        route : Route
            The route.
        now : float
            Current time, seconds of the boot clock.

        Returns
        -------
        float
            Seconds of the boot clock; ``inf`` if that is not known.
        """
        upstreams = [
            upstream
            for service in route.weights_by_service
            for upstream in view.list_upstreams(service)
        ]
        states_by_boot = self.table.read(upstreams)
        availability_by_boot = _candidates.assess_all(
            view, upstreams, states_by_boot, now
        )
        return min(
            (each.compute_opening_s() for each in availability_by_boot.values()),
            default=float("inf"),
        )

    def _rank_services(self, route, request):
        weights_by_service = route.weights_by_service
        if len(weights_by_service) == 1:
            return list(weights_by_service)
        first = decisions.pick_weighted(
            self._get_split_key(request), weights_by_service
        )
        rest = [name for name in weights_by_service if name != first]
        return [first, *sorted(rest, key=weights_by_service.get, reverse=True)]

    def _get_split_key(self, request):
        if request.prompt is None:
            return request.id
        return _prompt_work.affinity_key(request.prompt)

    def _choose_among(self, view, upstreams, request, route, now, reasons, contacts):
        states_by_boot = self.table.read(upstreams)
        availability_by_boot = _candidates.assess_all(
            view, upstreams, states_by_boot, now
        )
        bars_by_boot = {
            boot_id: availability.find_bar()
            for boot_id, availability in availability_by_boot.items()
        }
        reasons.update(bar.value for bar in bars_by_boot.values() if bar is not None)
        # No fallback below may return an upstream that must not get the request.
        upstreams = [each for each in upstreams if bars_by_boot[each.boot_id] is None]
        upstreams = self._filter_by_target_version(
            view, upstreams, states_by_boot, request, now
        )
        if upstreams is None:
            return domain.Refusal(
                domain.ErrorKind.VERSION_LOADING,
                "the upstreams are loading a new weight version",
            )
        if contacts is not None:
            heard = _candidates.select_heard(contacts, upstreams, now)
            upstreams = heard or upstreams
        upstreams = _candidates.select_preferred(
            upstreams, states_by_boot, availability_by_boot, now
        )
        if contacts is not None:
            recent = _candidates.select_recent(contacts, upstreams, now)
            upstreams = recent or upstreams
        while upstreams:
            placed = self.placer.place(
                view, upstreams, states_by_boot, request, route, now
            )
            upstream = placed.upstream
            limit_per_s = states_by_boot[upstream.boot_id].rate_limit_per_s
            if self.rate_limiter.acquire(view, upstream, limit_per_s, now):
                return self._build_choice(view, placed, states_by_boot, request)
            reasons[_candidates.RATE_LIMITED] += 1
            upstreams = [other for other in upstreams if other is not upstream]
        return None

    def _filter_by_target_version(self, view, upstreams, states_by_boot, request, now):
        """Return upstreams whose weights may be used; ``None`` if all are too old."""
        target = self._get_target_version(view, request)
        if target is None or not upstreams:
            return upstreams
        usable = [
            upstream
            for upstream in upstreams
            if self._may_begin(target, upstream, states_by_boot, now)
        ]
        return usable or None

    def _get_target_version(self, view, request):
        model = request.prompt.model if request.prompt else ""
        return (view.targets_by_model or {}).get(model)

    def _may_begin(self, target, upstream, states_by_boot, now):
        """Decide whether a request that is sent now may begin on the weights there."""
        version = _upstream_state.latest_weight_version(
            upstream, states_by_boot, target.model
        )
        replacement = target.find_replacement(version)
        if replacement is None:
            return True
        state = states_by_boot[upstream.boot_id]
        expected_s = state.expected_s_by_request.values()
        wait_s = max(state.wait_estimate.read(now, expected_s), OLD_VERSION_MARGIN_S)
        return decisions.may_begin_on_older_weights(
            replacement.named, now + wait_s, self.limits.version_grace_s
        )

    def _build_choice(self, view, placed, states_by_boot, request):
        upstream = placed.upstream
        version = None
        if request.prompt is not None:
            version = (
                _upstream_state.latest_weight_version(
                    upstream, states_by_boot, request.prompt.model
                )
                or None
            )
        service = view.configuration.services_by_name.get(upstream.service)
        limit = service.connection_limit if service else 0
        hosts = max(len(view.hosts), 1)
        connections = int(limit * USABLE_CONNECTION_SHARE / hosts) or 1
        return Choice(
            upstream,
            version,
            connections if limit else DEFAULT_CONNECTION_LIMIT,
            placed.expected_wait_s,
            placed.work_ahead,
        )
