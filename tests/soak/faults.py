"""Seeded faults: which, where, when and for how long."""

import enum
import random
import signal

import attrs

from tests.soak import proxy, upstreams

FIRST_START_S = 0.5
MIN_DURATION_S = 0.3
MAX_DURATION_S = 2.0
MAX_GAP_S = 0.8


class Fault(enum.Enum):
    """What is done to the world, by its target."""

    HOST_STOP = "host stop"
    HOST_KILL = "host kill"
    HOST_PAUSE = "host pause"
    STORE_LINK = "store link"
    STORE_UNAVAILABLE = "store away"
    STORE_DROPS_RESPONSES = "store loses answers"
    STORE_DISCARDS_HISTORY = "store forgets its history"
    UPSTREAM_LINK = "upstream link"
    UPSTREAM_MISBEHAVES = "upstream misbehaves"
    UPSTREAM_RESTART = "upstream restart"
    UPSTREAM_DRAINS = "upstream leaves"
    CONFIGURATION = "configuration change"


LINK_MODES = [mode for mode in proxy.Mode if mode is not proxy.Mode.PASS]
BEHAVIOURS = [
    each for each in upstreams.Behaviour if each is not upstreams.Behaviour.NORMAL
]


@attrs.frozen
class PlannedFault:
    """One fault of a run.

    Parameters
    ----------
    fault : Fault
        Which.
    at_s : float
        When it begins, seconds from the start of the run.
    duration_s : float
        How long it lasts, seconds.
    target : int
        Number of the host or upstream.
    variant : object
        Mode of a link or behaviour of an upstream; else ``None``.
    """

    fault: Fault
    at_s: float
    duration_s: float
    target: int
    variant: object = None

    @property
    def ends_s(self):
        """When it ends, seconds from the start of the run."""
        return self.at_s + self.duration_s

    def __str__(self):
        variant = f" ({self.variant.value})" if self.variant else ""
        return (
            f"{self.at_s:6.2f} to {self.ends_s:6.2f} s  "
            f"{self.fault.value} {self.target}{variant}"
        )


def plan_faults(seed, ends_s, hosts, upstream_count):
    """Plan the faults of a run; equal arguments give equal plans.

    Parameters
    ----------
    seed : int
        Any number.
    ends_s : float
        No fault lasts longer, seconds from the start of the run.
    hosts, upstream_count : int
        Targets, 1 or more.

    Returns
    -------
    list of PlannedFault
        By their beginning; they come in series and overlap.
    """
    generator = random.Random(seed)
    planned = []
    at_s = FIRST_START_S
    while at_s + MIN_DURATION_S < ends_s:
        fault = generator.choice(list(Fault))
        duration_s = min(
            generator.uniform(MIN_DURATION_S, MAX_DURATION_S), ends_s - at_s
        )
        count = hosts if fault.value.startswith(("host", "store link")) else None
        target = generator.randrange(count or upstream_count)
        planned.append(
            PlannedFault(
                fault, at_s, duration_s, target, _choose_variant(fault, generator)
            )
        )
        at_s += generator.uniform(0.0, MAX_GAP_S)
    return planned


def inject(deployment, planned):
    """Begin a fault in the world."""
    fault, target, variant = planned.fault, planned.target, planned.variant
    if fault is Fault.HOST_STOP:
        deployment.hosts[target].signal(signal.SIGTERM)
    elif fault is Fault.HOST_KILL:
        deployment.hosts[target].signal(signal.SIGKILL)
    elif fault is Fault.HOST_PAUSE:
        deployment.hosts[target].signal(signal.SIGSTOP)
    elif fault is Fault.STORE_LINK:
        deployment.hosts[target].proxy.set_mode(variant)
    elif fault is Fault.STORE_UNAVAILABLE:
        deployment.store.is_unavailable = True
    elif fault is Fault.STORE_DROPS_RESPONSES:
        deployment.store.drops_responses = True
    elif fault is Fault.STORE_DISCARDS_HISTORY:
        deployment.store.discard_history()
    elif fault is Fault.UPSTREAM_LINK:
        deployment.upstreams[target].proxy.set_mode(variant)
    elif fault is Fault.UPSTREAM_MISBEHAVES:
        deployment.upstreams[target].behaviour = variant
    elif fault is Fault.UPSTREAM_RESTART:
        deployment.restart(deployment.upstreams[target])
    elif fault is Fault.UPSTREAM_DRAINS:
        deployment.register(deployment.upstreams[target], "draining")
    else:
        deployment.change_configuration()


def end(deployment, planned):
    """End a fault; a host that has gone is started again."""
    fault, target = planned.fault, planned.target
    if fault is Fault.HOST_PAUSE:
        deployment.hosts[target].signal(signal.SIGCONT)
    elif fault is Fault.STORE_LINK:
        deployment.hosts[target].proxy.set_mode(proxy.Mode.PASS)
    elif fault is Fault.STORE_UNAVAILABLE:
        deployment.store.is_unavailable = False
    elif fault is Fault.STORE_DROPS_RESPONSES:
        deployment.store.drops_responses = False
    elif fault is Fault.UPSTREAM_LINK:
        deployment.upstreams[target].proxy.set_mode(proxy.Mode.PASS)
    elif fault is Fault.UPSTREAM_MISBEHAVES:
        deployment.upstreams[target].behaviour = upstreams.Behaviour.NORMAL
    elif fault is Fault.UPSTREAM_DRAINS:
        deployment.restart(deployment.upstreams[target])


def _choose_variant(fault, generator):
    if fault in (Fault.STORE_LINK, Fault.UPSTREAM_LINK):
        return generator.choice(LINK_MODES)
    if fault is Fault.UPSTREAM_MISBEHAVES:
        return generator.choice(BEHAVIOURS)
    return None
