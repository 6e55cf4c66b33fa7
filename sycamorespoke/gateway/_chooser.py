"""Chooses the upstream of each attempt from the view and what was seen."""

import random

import attrs

from sycamorespoke import decisions, world

# Prompt tokens that cost an engine as much as one generated token.
PROMPT_TOKENS_PER_OUTPUT_TOKEN = 10.0
AFFINITY_BOUND = 1.3
# Requests above the bound that this host alone may have at an upstream, where the
# work of the others is not known, and that all hosts may have together, where it is.
AFFINITY_SLACK_REQUESTS = 4.0
AFFINITY_SLACK_ALL_REQUESTS = 8.0
NEAR_ADVANTAGE = 0.25
# Before the time from which no request may begin on older weights, this long is
# left for requests that wait at an engine.
OLD_WEIGHTS_MARGIN_S = 2.0
DEFAULT_CONNECTIONS = 64
# Left of an upstream's connections for hosts that have not registered yet.
CONNECTION_SHARE = 0.9


@attrs.frozen
class Choice:
    """Where an attempt goes.

    Parameters
    ----------
    upstream : Upstream
        The upstream.
    weight_version : int or None
        Weights that it must hold.
    connections : int
        Most connections of this host to it.
    """

    upstream: object
    weight_version: int | None
    connections: int


@attrs.frozen
class UpstreamLimits:
    """What the deployment states of its upstreams.

    Parameters
    ----------
    cold_tolerated : float
        Times its rate that a cold upstream bears for one second.
    cold_slack : float
        Requests beyond that in one second.
    version_grace_s : float
        Time after which no request may begin on older weights, seconds.
    """

    cold_tolerated: float
    cold_slack: float
    version_grace_s: float


class Chooser:
    """Chooses upstreams.

    Parameters
    ----------
    host : str
        Name of this host.
    data_centre : str
        Where it stands.
    table : UpstreamTable
        What was seen of the upstreams.
    limits : UpstreamLimits
        What upstreams bear.
    loads : PeerLoads
        Work of the other hosts.
    generator : random.Random or None, default=None
        Breaks ties.
    """

    def __init__(self, host, data_centre, table, limits, loads, generator=None):
        self.host = host
        self.data_centre = data_centre
        self.table = table
        self.limits = limits
        self.loads = loads
        self.generator = generator or random.Random()

    def choose(self, view, route, request, excluded, now):
        """Choose the upstream of the next attempt.

        Parameters
        ----------
        view : View
            The present view.
        route : Route
            Route of the call.
        request : Request
            The call.
        excluded : set of str
            Starts of upstreams that are not tried again.
        now : float
            Present time, seconds of the boot clock.

        Returns
        -------
        Choice or world.Refusal
            The refusal says why there is no upstream.
        """
        refusal = world.Refusal(
            world.ErrorKind.NO_UPSTREAM, "no upstream takes the request"
        )
        for service in self._order_services(route, request):
            result = self._choose_of(view, service, request, excluded, now)
            if isinstance(result, Choice):
                return result
            refusal = result or refusal
        return refusal

    def _order_services(self, route, request):
        weights_by_service = route.weights_by_service
        if len(weights_by_service) == 1:
            return list(weights_by_service)
        first = decisions.pick_weighted(self._split_key(request), weights_by_service)
        rest = [name for name in weights_by_service if name != first]
        return [first, *sorted(rest, key=weights_by_service.get, reverse=True)]

    def _split_key(self, request):
        if request.prompt is None:
            return request.id
        return affinity_key(request.prompt)

    def _choose_of(self, view, service, request, excluded, now):
        upstreams = [
            upstream
            for upstream in view.list_upstreams(service)
            if upstream.boot_id not in excluded
        ]
        states_by_boot = self.table.read(upstreams)
        upstreams = self._keep_current(view, upstreams, states_by_boot, request, now)
        if upstreams is None:
            return world.Refusal(
                world.ErrorKind.VERSION_LOADING, "upstreams load new weights"
            )
        idle = [each for each in upstreams if not view.is_loading(each, now)]
        upstreams = _keep_sound(idle or upstreams, states_by_boot, now)
        while upstreams:
            upstream = self._place(view, upstreams, states_by_boot, request, now)
            if self._bears(view, upstream, now):
                return self._make_choice(view, upstream, states_by_boot, request)
            upstreams = [other for other in upstreams if other is not upstream]
        return None

    def _keep_current(self, view, upstreams, states_by_boot, request, now):
        """Keep those that may begin a call; ``None`` if all have old weights."""
        named = self._named_version(view, request)
        if named is None or not upstreams or not self._is_due(named, now):
            return upstreams
        current = [
            upstream
            for upstream in upstreams
            if latest_weight_version(upstream, states_by_boot, named.model)
            >= named.version
        ]
        return current or None

    def _named_version(self, view, request):
        model = request.prompt.model if request.prompt else ""
        return (view.versions_by_model or {}).get(model)

    def _is_due(self, named, now):
        return now - named.seen_s >= self.limits.version_grace_s - OLD_WEIGHTS_MARGIN_S

    def _place(self, view, upstreams, states_by_boot, request, now):
        if request.prompt is None:
            candidates = self._make_candidates(upstreams, states_by_boot, {})
            chosen = decisions.place_by_load(
                candidates, NEAR_ADVANTAGE, self.generator.choice
            )
        else:
            others_by_boot = self.loads.estimate_others(len(view.hosts), now)
            candidates = self._make_candidates(
                upstreams, states_by_boot, others_by_boot or {}
            )
            slack_requests = AFFINITY_SLACK_REQUESTS
            if others_by_boot is not None:
                slack_requests = AFFINITY_SLACK_ALL_REQUESTS
            work = estimate_work(request.prompt)
            chosen = decisions.place_by_key(
                affinity_key(request.prompt),
                candidates,
                work,
                AFFINITY_BOUND,
                slack_requests * work,
            )
        return next(each for each in upstreams if each.boot_id == chosen.name)

    def _make_candidates(self, upstreams, states_by_boot, others_by_boot):
        return [
            decisions.PlacementCandidate(
                name=upstream.boot_id,
                load=states_by_boot[upstream.boot_id].work
                + others_by_boot.get(upstream.boot_id, 0.0),
                capacity=float(upstream.slots),
                is_near=upstream.data_centre == self.data_centre,
            )
            for upstream in upstreams
        ]

    def _bears(self, view, upstream, now):
        service = view.configuration.services_by_name.get(upstream.service)
        if service is None or not upstream.is_cold(now):
            return True
        if service.cold_requests_per_s <= 0:
            return True
        rate = decisions.ColdRateLimit(
            service.cold_requests_per_s,
            self.limits.cold_tolerated,
            self.limits.cold_slack,
        )
        share = decisions.compute_cold_share(
            rate, self.host, view.hosts, upstream.boot_id
        )
        return self.table.acquire_cold_token(upstream, share, now)

    def _make_choice(self, view, upstream, states_by_boot, request):
        version = None
        if request.prompt is not None:
            version = (
                latest_weight_version(upstream, states_by_boot, request.prompt.model)
                or None
            )
        service = view.configuration.services_by_name.get(upstream.service)
        limit = service.connection_limit if service else 0
        hosts = max(len(view.hosts), 1)
        connections = int(limit * CONNECTION_SHARE / hosts) or 1
        return Choice(
            upstream,
            version,
            connections if limit else DEFAULT_CONNECTIONS,
        )


def affinity_key(prompt):
    """Return what requests that share most of their prompt have in common.

    Parameters
    ----------
    prompt : Prompt
        The prompt.

    Returns
    -------
    str
        Id of the last part but the request's own; of the only one if there is
        no other.
    """
    shared = prompt.blocks[:-1] or prompt.blocks
    return shared[-1].id


def estimate_work(prompt):
    """Estimate the work of a request, in generated tokens."""
    output = max(prompt.output_tokens, 1)
    return prompt.input_tokens / PROMPT_TOKENS_PER_OUTPUT_TOKEN + output


def latest_weight_version(upstream, states_by_boot, model):
    """Return the newest weights of a model that an upstream has shown.

    Parameters
    ----------
    upstream : Upstream
        As it registered.
    states_by_boot : dict of str to UpstreamState
        What was seen of it.
    model : str
        The model.

    Returns
    -------
    int
        0 if unknown.
    """
    seen = states_by_boot[upstream.boot_id].versions_by_model.get(model, 0)
    return max(seen, upstream.versions_by_model.get(model, 0))


def _keep_sound(upstreams, states_by_boot, now):
    records = {each.boot_id: states_by_boot[each.boot_id].faults for each in upstreams}
    kept = set(decisions.select_not_ejected(records, now))
    sound = [each for each in upstreams if each.boot_id in kept]
    with_room = [
        each for each in sound if states_by_boot[each.boot_id].full_until_s <= now
    ]
    return with_room or sound
