"""Places a request on one of the upstreams that may get it."""

import random

import attrs

from sycamorespoke import decisions, placement
from sycamorespoke.gateway import _prompt_work

AFFINITY_BOUND = 1.3
# Requests that an upstream may have in addition to the bound: requests of this host
# where the load of the other hosts is not known, of all hosts where it is.
LOCAL_AFFINITY_SLACK_REQUESTS = 4.0
GLOBAL_AFFINITY_SLACK_REQUESTS = 8.0
NEAR_UTILISATION_BONUS = 0.25
# Shares of the latency target that a request may wait: at the engine that probably has
# its blocks, and at those that it is sent to next.
FIRST_WAIT_RATIO = 0.3
ANY_WAIT_RATIO = 0.4


@attrs.frozen
class Placed:
    """Where a request is placed.

    Parameters
    ----------
    upstream : Upstream
        The upstream.
    expected_wait_s : float or None, default=None
        Estimated time until the upstream begins to work on the request, seconds;
        ``None`` if it is not estimated.
    work_ahead : float or None, default=None
        Estimated work of all hosts at the upstream, see `_prompt_work`.
    memory_wait_s : float, default=0.0
        Part of the expected wait that is for memory, seconds.
    """

    upstream: object
    expected_wait_s: float | None = None
    work_ahead: float | None = None
    memory_wait_s: float = 0.0


@attrs.frozen
class LoadSummary:
    """What a host knows of the unread prompts at the engines of a service.

    Parameters
    ----------
    mean_wait_s, max_wait_s : float
        Time until the prompts are read, mean of the engines and longest, seconds.
    s_per_unit : float
        Time for a unit of work, as learnt, seconds.
    """

    mean_wait_s: float
    max_wait_s: float
    s_per_unit: float


class Placer:
    """Places requests by what this host knows of the load of the upstreams.

    Parameters
    ----------
    data_centre : str
        Data centre of this host.
    loads : PeerLoads
        Loads that other hosts put on the upstreams.
    shared_load_hosts : int, default=0
        Number of entry hosts from which on requests are placed by the expected wait;
        0 for never.
    far_s : float, default=0.0
        Wait that is accepted to avoid an engine in another data centre, seconds.
    generator : random.Random or None, default=None
        Breaks ties and draws.

    Attributes
    ----------
    paces : placement.PaceTable
        How long the engines of each service take for a unit of work.
    """

    def __init__(
        self, data_centre, loads, shared_load_hosts=0, far_s=0.0, generator=None
    ):
        self.data_centre = data_centre
        self.loads = loads
        self.shared_load_hosts = shared_load_hosts
        self.far_s = far_s
        self.generator = generator or random.Random()
        self.paces = placement.PaceTable()

    def is_load_shared(self, view):
        """Return whether requests are placed by what the hosts know together."""
        return 0 < self.shared_load_hosts <= len(view.hosts)

    def place(self, view, upstreams, states_by_boot, request, route, now):
        """Choose the upstream for a request.

        Parameters
        ----------
        view : View
            Current view of the deployment.
        upstreams : list of Upstream
            Upstreams that may get the request, at least one.
        states_by_boot : dict of str to UpstreamState
            Their states by boot ID.
        request : Request
            The request.
        route : Route
            Its route.
        now : float
            Current time, seconds of the boot clock.

        Returns
        -------
        Placed
            The upstream, with the expected wait where loads are shared.
        """
        if not self.is_load_shared(view):
            return self._place_alone(view, upstreams, states_by_boot, request, now)
        others_by_boot = self.loads.estimate_others(len(view.hosts), now) or {}
        work_by_boot = {
            each.boot_id: states_by_boot[each.boot_id].work
            + others_by_boot.get(each.boot_id, 0.0)
            for each in upstreams
        }
        if request.prompt is None:
            return self._draw(upstreams, work_by_boot)
        full_s_by_boot = self._estimate_full_s(
            view, upstreams, states_by_boot, request, now
        )
        return self._place_by_wait(
            upstreams, work_by_boot, full_s_by_boot, request, route, now
        )

    def summarize(self, view, table, now):
        """Summarize what this host knows of the unread prompts by service.

        Parameters
        ----------
        view : View
            Current view of the deployment.
        table : UpstreamTable
            Holds this host's work.
        now : float
            Current time, seconds of the boot clock.

        Returns
        -------
        dict of str to LoadSummary
            By service with engines; empty where loads are not shared.
        """
        if not self.is_load_shared(view) or view.configuration is None:
            return {}
        others_by_boot = self.loads.estimate_others(len(view.hosts), now) or {}
        own_by_boot = table.get_work_by_boot()
        summaries = {}
        for name, service in view.configuration.services_by_name.items():
            work = [
                own_by_boot.get(each.boot_id, 0.0)
                + others_by_boot.get(each.boot_id, 0.0)
                for each in view.list_upstreams(name)
            ]
            if service.engine is not None and work:
                s_per_unit = self.paces.get_s_per_unit(name, now)
                waits_s = (sum(work) / len(work) * s_per_unit, max(work) * s_per_unit)
                summaries[name] = LoadSummary(*waits_s, s_per_unit)
        return summaries

    def record_begun(self, service, work_ahead, waited_s, now):
        """Learn from the wait of a request for its first event.

        Parameters
        ----------
        service : str
            Service of its upstream.
        work_ahead : float
            Work that was ahead of its first event, its own prompt included.
        waited_s : float
            Time since it was sent, seconds.
        now : float
            Current time, seconds of the boot clock.
        """
        self.paces.observe(service, work_ahead, waited_s, now)

    def _estimate_full_s(self, view, upstreams, states_by_boot, request, now):
        """Estimate how long the request waits for memory at each engine, seconds."""
        service = view.configuration.services_by_name.get(upstreams[0].service)
        if service is None or service.engine is None:
            return {}
        others_by_boot = self.loads.tokens.estimate_others(len(view.hosts), now) or {}
        needed_tokens = _prompt_work.estimate_held_tokens(request.prompt)
        return {
            each.boot_id: placement.estimate_memory_wait_s(
                states_by_boot[each.boot_id].tokens
                + others_by_boot.get(each.boot_id, 0.0)
                + needed_tokens,
                service.engine.cache_tokens,
            )
            for each in upstreams
        }

    def _place_by_wait(
        self, upstreams, work_by_boot, full_s_by_boot, request, route, now
    ):
        s_per_unit = self.paces.get_s_per_unit(upstreams[0].service, now)
        candidates = [
            placement.EngineCandidate(
                each.boot_id,
                work_by_boot[each.boot_id] * s_per_unit
                + full_s_by_boot.get(each.boot_id, 0.0),
                is_near=each.data_centre == self.data_centre,
            )
            for each in upstreams
        ]
        shared_tokens = _prompt_work.count_shared_tokens(request.prompt)
        chosen = placement.choose_engine(
            _prompt_work.affinity_key(request.prompt),
            candidates,
            _prompt_work.estimate_read_work(shared_tokens) * s_per_unit,
            placement.WaitLimits(
                route.target_latency_s * FIRST_WAIT_RATIO,
                route.target_latency_s * ANY_WAIT_RATIO,
            ),
            self.far_s,
        )
        work_ahead = work_by_boot[chosen.name]
        memory_wait_s = full_s_by_boot.get(chosen.name, 0.0)
        upstream = _find(upstreams, chosen.name)
        return Placed(upstream, chosen.wait_s, work_ahead, memory_wait_s)

    def _draw(self, upstreams, work_by_boot):
        candidates = [
            placement.ServiceCandidate(
                each.boot_id,
                work_by_boot[each.boot_id],
                each.slots,
                each.data_centre == self.data_centre,
            )
            for each in upstreams
        ]
        chosen = placement.choose_by_draw(
            candidates, NEAR_UTILISATION_BONUS, self.generator.sample
        )
        return Placed(_find(upstreams, chosen.name))

    def _place_alone(self, view, upstreams, states_by_boot, request, now):
        if request.prompt is None:
            candidates = self._build_candidates(upstreams, states_by_boot, {})
            chosen = decisions.place_by_load(
                candidates, NEAR_UTILISATION_BONUS, self.generator.choice
            )
            return Placed(_find(upstreams, chosen.name))
        others_by_boot = self.loads.estimate_others(len(view.hosts), now)
        candidates = self._build_candidates(
            upstreams, states_by_boot, others_by_boot or {}
        )
        slack_requests = LOCAL_AFFINITY_SLACK_REQUESTS
        if others_by_boot is not None:
            slack_requests = GLOBAL_AFFINITY_SLACK_REQUESTS
        work = _prompt_work.estimate_work(request.prompt)
        chosen = decisions.place_by_key(
            _prompt_work.affinity_key(request.prompt),
            candidates,
            work,
            AFFINITY_BOUND,
            slack_requests * work,
        )
        return Placed(_find(upstreams, chosen.name))

    def _build_candidates(self, upstreams, states_by_boot, others_by_boot):
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


def _find(upstreams, boot_id):
    return next(each for each in upstreams if each.boot_id == boot_id)
