"""Plans of random faults, and their injection into the deployment."""

import enum
import random
import signal
import time

import attrs

from tests.soak import engines, proxy, store_copies, upstreams

FIRST_START_S = 0.5
MIN_DURATION_S = 0.3
MAX_DURATION_S = 2.0
MAX_GAP_S = 0.8
# Hosts are in touch for a while between the faults of a rollout.
MAX_ROLLOUT_GAP_S = 2.5
# The next version is named before or after the grace period of the first one ends.
MIN_NEXT_VERSION_S = 2.0
MAX_NEXT_VERSION_S = 9.0
# Hosts have to avoid a leaving upstream only from a while after it has told them.
MAX_STORE_AWAY_S = 1.5
EXTRA_DURATION_S_BY_FAULT = {"upstream says that it leaves": 3.0, "host links": 2.0}


class Fault(enum.Enum):
    """Kinds of faults; the first word of the value names the target."""

    HOST_STOP = "host stop"
    HOST_KILL = "host kill"
    HOST_PAUSE = "host pause"
    HOST_LINKS = "host links"
    HOLDER_STOP = "holder stop"
    STORE_LINK = "store link"
    STORE_UNAVAILABLE = "store unavailable"
    STORE_DROPS_RESPONSES = "store drops responses"
    STORE_DISCARDS_HISTORY = "store discards its history"
    STORE_RETURNS = "store comes back from an older copy"
    UPSTREAM_LINK = "upstream link"
    UPSTREAM_MISBEHAVES = "upstream misbehaves"
    UPSTREAM_RESTART = "upstream restart"
    UPSTREAM_DRAINS = "upstream drains"
    UPSTREAM_SAYS_IT_LEAVES = "upstream says that it leaves"
    CONFIGURATION = "configuration change"
    CONFIGURATION_STORM = "configuration storm"
    ISOLATION = "isolation change"
    DATA_CENTRE = "data centre out"
    WEIGHT_VERSION = "weight version"
    ENGINE_ORDERS = "engine orders"
    ENGINE_WAITS = "engine waits"


ROLLOUT_FAULTS = (
    Fault.HOST_STOP,
    Fault.HOST_KILL,
    Fault.HOST_PAUSE,
    Fault.ENGINE_WAITS,
)
STORE_FAULTS = frozenset(
    {
        Fault.STORE_UNAVAILABLE,
        Fault.STORE_DROPS_RESPONSES,
        Fault.STORE_DISCARDS_HISTORY,
        Fault.STORE_RETURNS,
    }
)

CUT_MODES = [
    proxy.Mode.REFUSE,
    proxy.Mode.REFUSE_NEW,
    proxy.Mode.HANG,
    proxy.Mode.RESET,
    proxy.Mode.SILENCE,
]
LINK_MODES = [mode for mode in proxy.Mode if mode is not proxy.Mode.PASS]
BEHAVIOURS = [
    each for each in upstreams.Behaviour if each is not upstreams.Behaviour.NORMAL
]
ORDERS = [each for each in engines.Orders if each is not engines.Orders.ANSWERED]
STORE_AWAY = list(store_copies.Away)
WAITS = [each for each in engines.Wait if each is not engines.Wait.NONE]


@attrs.frozen
class PlannedFault:
    """Fault with its time and target.

    Parameters
    ----------
    fault : Fault
        Kind of the fault.
    at_s : float
        Start, in seconds since the start of the run.
    duration_s : float
        Duration, in seconds.
    target : int
        Index of the host or upstream.
    variant : object
        Mode of a proxy or behaviour of an upstream; ``None`` for other faults.
    """

    fault: Fault
    at_s: float
    duration_s: float
    target: int
    variant: object = None

    @property
    def ends_s(self):
        """End of the fault, in seconds since the start of the run."""
        return self.at_s + self.duration_s

    def __str__(self):
        variant = f" ({self.variant.value})" if self.variant else ""
        return (
            f"{self.at_s:6.2f} to {self.ends_s:6.2f} s  "
            f"{self.fault.value} {self.target}{variant}"
        )


def plan_faults(seed, ends_s, host_count, upstream_count):
    """Plan the faults of a run; equal arguments give equal plans.

    Parameters
    ----------
    seed : int
        Seed of the random choices.
    ends_s : float
        Time by which all faults have ended, in seconds since the start of the run.
    host_count, upstream_count : int
        Numbers of hosts and upstreams, 1 or more.

    Returns
    -------
    list of PlannedFault
        Faults ordered by their start; they may overlap.
    """
    counts = host_count, upstream_count
    return _plan(random.Random(seed), list(Fault), ends_s, counts, MAX_GAP_S)


def plan_rollout(seed, ends_s, host_count):
    """Plan a rollout of weights with late orders, under faults of the hosts.

    Neither the store nor a link is disturbed.

    Parameters
    ----------
    seed : int
        Seed of the random choices.
    ends_s : float
        Time by which all faults have ended, in seconds since the start of the run.
    host_count : int
        Number of hosts, 1 or more.

    Returns
    -------
    list of PlannedFault
        Faults, the first of which name two versions; they may overlap.
    """
    generator = random.Random(f"rollout {seed}")
    named_s = generator.uniform(FIRST_START_S, FIRST_START_S + MAX_ROLLOUT_GAP_S)
    next_s = generator.uniform(MIN_NEXT_VERSION_S, MAX_NEXT_VERSION_S)
    named = [
        PlannedFault(Fault.ENGINE_ORDERS, 0.0, ends_s, 0, engines.Orders.LATE),
        PlannedFault(Fault.WEIGHT_VERSION, named_s, 0.0, 0),
        PlannedFault(Fault.WEIGHT_VERSION, named_s + next_s, 0.0, 0),
    ]
    counts = host_count, 1
    return named + _plan(generator, ROLLOUT_FAULTS, ends_s, counts, MAX_ROLLOUT_GAP_S)


def _plan(generator, kinds, ends_s, counts, max_gap_s):
    host_count, upstream_count = counts
    planned = []
    at_s = FIRST_START_S
    while at_s + MIN_DURATION_S < ends_s:
        fault = generator.choice(kinds)
        extra_s = EXTRA_DURATION_S_BY_FAULT.get(fault.value, 0.0)
        duration_s = generator.uniform(MIN_DURATION_S, MAX_DURATION_S) + extra_s
        if fault is Fault.STORE_RETURNS:
            duration_s = min(duration_s, MAX_STORE_AWAY_S)
        duration_s = min(duration_s, ends_s - at_s)
        is_at_host = fault.value.startswith(("host", "holder", "store link"))
        count = host_count if is_at_host else None
        target = generator.randrange(count or upstream_count)
        variant = _choose_variant(fault, generator)
        planned.append(PlannedFault(fault, at_s, duration_s, target, variant))
        at_s += generator.uniform(0.0, max_gap_s)
    return planned


def inject(deployment, planned):
    """Start a fault in the deployment."""
    fault, target, variant = planned.fault, planned.target, planned.variant
    _record_store_fault(deployment, fault)
    if fault is Fault.HOST_STOP:
        deployment.hosts[target].signal(signal.SIGTERM)
    elif fault is Fault.HOST_KILL:
        deployment.hosts[target].signal(signal.SIGKILL)
    elif fault is Fault.HOST_PAUSE:
        deployment.hosts[target].signal(signal.SIGSTOP)
    elif fault is Fault.HOLDER_STOP:
        deployment.find_holder(target).signal(signal.SIGTERM)
    elif fault is Fault.HOST_LINKS:
        deployment.hosts[target].set_links(variant)
    elif fault is Fault.STORE_LINK:
        deployment.hosts[target].set_store_link(variant)
    elif fault is Fault.STORE_UNAVAILABLE:
        deployment.store.is_unavailable = True
    elif fault is Fault.STORE_DROPS_RESPONSES:
        deployment.store.drops_responses = True
    elif fault is Fault.STORE_DISCARDS_HISTORY:
        deployment.store.discard_history()
    elif fault is Fault.STORE_RETURNS:
        deployment.store_returns.go_away(planned)
    elif fault is Fault.UPSTREAM_LINK:
        deployment.upstreams[target].disturb_link(variant)
    elif fault is Fault.UPSTREAM_MISBEHAVES:
        deployment.upstreams[target].behaviour = variant
    elif fault is Fault.UPSTREAM_RESTART:
        deployment.restart(deployment.upstreams[target])
    elif fault is Fault.UPSTREAM_DRAINS:
        deployment.drain(deployment.upstreams[target])
    elif fault is Fault.UPSTREAM_SAYS_IT_LEAVES:
        deployment.upstreams[target].is_leaving = True
    elif fault is Fault.WEIGHT_VERSION:
        deployment.name_weight_version()
    elif fault is Fault.ENGINE_ORDERS:
        for engine in deployment.engines:
            engine.orders = variant
    elif fault is Fault.ENGINE_WAITS:
        for engine in deployment.engines:
            engine.wait = variant
    elif fault is Fault.CONFIGURATION_STORM:
        deployment.storm_configurations()
    elif fault is Fault.ISOLATION:
        deployment.change_isolation()
    elif fault is Fault.DATA_CENTRE:
        deployment.change_data_centres_out()
    else:
        deployment.change_configuration()


def end(deployment, planned):
    """End a fault; the caller restarts hosts that have exited."""
    fault, target = planned.fault, planned.target
    _record_store_fault(deployment, fault)
    if fault is Fault.HOST_PAUSE:
        deployment.hosts[target].signal(signal.SIGCONT)
    elif fault is Fault.HOST_LINKS:
        deployment.hosts[target].set_links(proxy.Mode.PASS)
    elif fault is Fault.STORE_LINK:
        deployment.hosts[target].set_store_link(proxy.Mode.PASS)
    elif fault is Fault.STORE_UNAVAILABLE:
        deployment.store.is_unavailable = False
    elif fault is Fault.STORE_DROPS_RESPONSES:
        deployment.store.drops_responses = False
    elif fault is Fault.STORE_RETURNS:
        deployment.store_returns.come_back(planned)
    elif fault is Fault.UPSTREAM_LINK:
        deployment.upstreams[target].restore_link()
    elif fault is Fault.UPSTREAM_MISBEHAVES:
        deployment.upstreams[target].behaviour = upstreams.Behaviour.NORMAL
    elif fault in (Fault.UPSTREAM_DRAINS, Fault.UPSTREAM_SAYS_IT_LEAVES):
        deployment.restart(deployment.upstreams[target])
    elif fault is Fault.ENGINE_ORDERS:
        for engine in deployment.engines:
            engine.orders = engines.Orders.ANSWERED
    elif fault is Fault.ENGINE_WAITS:
        for engine in deployment.engines:
            engine.wait = engines.Wait.NONE


def _record_store_fault(deployment, fault):
    if fault in STORE_FAULTS:
        deployment.store_disturbed_s.append(time.monotonic())


def _choose_variant(fault, generator):
    if fault is Fault.STORE_RETURNS:
        return generator.choice(STORE_AWAY)
    if fault in (Fault.STORE_LINK, Fault.UPSTREAM_LINK):
        return generator.choice(LINK_MODES)
    if fault is Fault.HOST_LINKS:
        return generator.choice(CUT_MODES)
    if fault is Fault.UPSTREAM_MISBEHAVES:
        return generator.choice(BEHAVIOURS)
    if fault is Fault.ENGINE_ORDERS:
        return generator.choice(ORDERS)
    if fault is Fault.ENGINE_WAITS:
        return generator.choice(WAITS)
    return None
