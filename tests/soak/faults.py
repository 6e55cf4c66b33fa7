"""Seeded faults: which, where, when and for how long."""

import enum
import random
import signal

import attrs

from tests.soak import proxy, upstreams

FIRST_S = 0.5
SHORTEST_S = 0.3
LONGEST_S = 2.0
LONGEST_GAP_S = 0.8


class Fault(enum.Enum):
    """What is done to the world, by its target."""

    HOST_STOP = "host stop"
    HOST_KILL = "host kill"
    HOST_PAUSE = "host pause"
    STORE_LINK = "store link"
    STORE_AWAY = "store away"
    STORE_LOSES_ANSWERS = "store loses answers"
    STORE_FORGETS = "store forgets its history"
    UPSTREAM_LINK = "upstream link"
    UPSTREAM_MISBEHAVES = "upstream misbehaves"
    UPSTREAM_RESTART = "upstream restart"
    UPSTREAM_LEAVES = "upstream leaves"
    CONFIGURATION = "configuration change"


LINK_MODES = [mode for mode in proxy.Mode if mode is not proxy.Mode.PASS]
BEHAVIOURS = [
    each for each in upstreams.Behaviour if each is not upstreams.Behaviour.SOUND
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
    for_s : float
        How long it lasts, seconds.
    target : int
        Number of the host or upstream.
    how : object
        Mode of a link or behaviour of an upstream; else ``None``.
    """

    fault: Fault
    at_s: float
    for_s: float
    target: int
    how: object = None

    @property
    def ends_s(self):
        """When it ends, seconds from the start of the run."""
        return self.at_s + self.for_s

    def __str__(self):
        how = f" ({self.how.value})" if self.how else ""
        return (
            f"{self.at_s:6.2f} to {self.ends_s:6.2f} s  "
            f"{self.fault.value} {self.target}{how}"
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
    at_s = FIRST_S
    while at_s + SHORTEST_S < ends_s:
        fault = generator.choice(list(Fault))
        for_s = min(generator.uniform(SHORTEST_S, LONGEST_S), ends_s - at_s)
        count = hosts if fault.value.startswith(("host", "store link")) else None
        target = generator.randrange(count or upstream_count)
        planned.append(
            PlannedFault(fault, at_s, for_s, target, _choose_how(fault, generator))
        )
        at_s += generator.uniform(0.0, LONGEST_GAP_S)
    return planned


def begin(world, planned):
    """Begin a fault in the world."""
    fault, target, how = planned.fault, planned.target, planned.how
    if fault is Fault.HOST_STOP:
        world.hosts[target].signal(signal.SIGTERM)
    elif fault is Fault.HOST_KILL:
        world.hosts[target].signal(signal.SIGKILL)
    elif fault is Fault.HOST_PAUSE:
        world.hosts[target].signal(signal.SIGSTOP)
    elif fault is Fault.STORE_LINK:
        world.hosts[target].proxy.set_mode(how)
    elif fault is Fault.STORE_AWAY:
        world.store.is_unavailable = True
    elif fault is Fault.STORE_LOSES_ANSWERS:
        world.store.drops_responses = True
    elif fault is Fault.STORE_FORGETS:
        world.store.discard_history()
    elif fault is Fault.UPSTREAM_LINK:
        world.upstreams[target].proxy.set_mode(how)
    elif fault is Fault.UPSTREAM_MISBEHAVES:
        world.upstreams[target].behaviour = how
    elif fault is Fault.UPSTREAM_RESTART:
        world.restart(world.upstreams[target])
    elif fault is Fault.UPSTREAM_LEAVES:
        world.register(world.upstreams[target], "draining")
    else:
        world.change_configuration()


def end(world, planned):
    """End a fault; a host that has gone is started again."""
    fault, target = planned.fault, planned.target
    if fault is Fault.HOST_PAUSE:
        world.hosts[target].signal(signal.SIGCONT)
    elif fault is Fault.STORE_LINK:
        world.hosts[target].proxy.set_mode(proxy.Mode.PASS)
    elif fault is Fault.STORE_AWAY:
        world.store.is_unavailable = False
    elif fault is Fault.STORE_LOSES_ANSWERS:
        world.store.drops_responses = False
    elif fault is Fault.UPSTREAM_LINK:
        world.upstreams[target].proxy.set_mode(proxy.Mode.PASS)
    elif fault is Fault.UPSTREAM_MISBEHAVES:
        world.upstreams[target].behaviour = upstreams.Behaviour.SOUND
    elif fault is Fault.UPSTREAM_LEAVES:
        world.restart(world.upstreams[target])


def _choose_how(fault, generator):
    if fault in (Fault.STORE_LINK, Fault.UPSTREAM_LINK):
        return generator.choice(LINK_MODES)
    if fault is Fault.UPSTREAM_MISBEHAVES:
        return generator.choice(BEHAVIOURS)
    return None
