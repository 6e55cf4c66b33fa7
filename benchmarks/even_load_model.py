"""Many choosers before many engines, with sums of the load that are a little old.

The engines serve one request after the other; the choosers are the real decisions.
"""

import heapq
import random

import attrs

from sycamorespoke import decisions, placement

LONG_TOKENS = 12000
SHORT_TOKENS = 2400
LONG_SHARE = 0.125
TOKENS_PER_S = 66000.0
SLOW_FACTOR = 1.3
SLOW_SHARE = 1 / 3
PROMPTS = 3000
# Share of a prompt that its usual engine has in its cache.
CACHED_SHARE = 0.75
CACHE_PROMPTS = 25
UNITS_PER_TOKEN = 0.1
SHORT_TARGET_S = 0.5
LONG_TARGET_S = 1.5
# Interval at which the work of all is kept for hosts that are told of it later.
SNAPSHOT_S = 0.01


@attrs.frozen
class Wait:
    """How long a request waited for its first event.

    Parameters
    ----------
    is_long : bool
        Whether its prompt is a long one.
    wait_s : float
        The wait, seconds.
    is_read_again : bool
        Whether its shared blocks were read again.
    """

    is_long: bool
    wait_s: float
    is_read_again: bool


@attrs.frozen
class Sent:
    """Work that a host has sent to an engine."""

    sent_s: float
    engine: int
    work: float


@attrs.define
class Engine:
    """An engine that reads one prompt after the other, urgent ones first in time.

    Parameters
    ----------
    slowness : float
        Time for the same work, as a multiple of that of an ordinary engine.
    """

    slowness: float
    free_at_s: float = 0.0
    prompts: dict = attrs.field(factory=dict)

    def read(self, prompt, tokens, now):
        """Read a prompt after those before; return when it is read, and if cached."""
        is_cached = self.prompts.pop(prompt, None) is not None
        self.prompts[prompt] = True
        if len(self.prompts) > CACHE_PROMPTS:
            del self.prompts[next(iter(self.prompts))]
        left = tokens * (1.0 - CACHED_SHARE) if is_cached else tokens
        self.free_at_s = max(self.free_at_s, now)
        self.free_at_s += left / TOKENS_PER_S * self.slowness
        return self.free_at_s, is_cached


def place_by_wait(key, tokens, works, slots):
    """Choose as hosts do that share their loads; return the number of the engine."""
    s_per_unit = placement.Pace().get_s_per_unit(0.0)
    candidates = [
        placement.EngineCandidate(str(number), work * s_per_unit)
        for number, work in enumerate(works)
    ]
    shared_units = tokens * CACHED_SHARE * UNITS_PER_TOKEN
    target_s = LONG_TARGET_S if tokens == LONG_TOKENS else SHORT_TARGET_S
    limits = placement.WaitLimits(target_s * 0.3, target_s * 0.4)
    chosen = placement.choose_engine(key, candidates, shared_units * s_per_unit, limits)
    return int(chosen.name)


def place_by_key(key, tokens, works, slots):
    """Choose by affinity within a bound that is a number of requests."""
    candidates = [
        decisions.PlacementCandidate(str(number), work, slots)
        for number, work in enumerate(works)
    ]
    work = tokens * UNITS_PER_TOKEN
    return int(decisions.place_by_key(key, candidates, work, 1.3, 8.0 * work).name)


def place_by_least(key, tokens, works, slots):
    """Choose the engine with the least work."""
    return min(range(len(works)), key=lambda number: (works[number], number))


def run(place, hosts, engines, load, age_s, duration_s, seed=1):
    """Play requests of both kinds and return their waits.

    Parameters
    ----------
    place : callable
        Takes the key and the tokens of a prompt, the known work of each engine, and
        the slots of an engine; returns the number of an engine.
    hosts : int
        Number of hosts that choose.
    engines : int
        Number of engines, of which a third is slower.
    load : float
        Prompt tokens that arrive, over those that the engines read if none is cached.
    age_s : float
        Interval at which hosts learn the work of the others, seconds.
    duration_s : float
        Duration, seconds.
    seed : int, default=1
        Seed of the arrivals.

    Returns
    -------
    list of Wait
        One for each request.
    """
    generator = random.Random(seed)
    fleet = [
        Engine(SLOW_FACTOR if number < engines * SLOW_SHARE else 1.0)
        for number in range(engines)
    ]
    capacity = sum(TOKENS_PER_S / engine.slowness for engine in fleet)
    mean_tokens = LONG_SHARE * LONG_TOKENS + (1 - LONG_SHARE) * SHORT_TOKENS
    rate_per_s = load * capacity / mean_tokens
    total = [0.0] * engines
    snapshots = [list(total)]
    sent_by_host = [[] for _ in range(hosts)]
    phases_s = [generator.random() * age_s for _ in range(hosts)]
    ends, waits = [], []
    now = 0.0
    while now < duration_s:
        now += generator.expovariate(rate_per_s)
        while len(snapshots) * SNAPSHOT_S <= now:
            _remove_ended(ends, total, len(snapshots) * SNAPSHOT_S)
            snapshots.append(list(total))
        _remove_ended(ends, total, now)
        host = generator.randrange(hosts)
        told_s = max((now - phases_s[host]) // age_s * age_s + phases_s[host], 0.0)
        known = list(snapshots[int(told_s / SNAPSHOT_S)])
        sent_by_host[host] = [
            each for each in sent_by_host[host] if each.sent_s >= told_s
        ]
        for each in sent_by_host[host]:
            known[each.engine] += each.work
        is_long = generator.random() < LONG_SHARE
        tokens = LONG_TOKENS if is_long else SHORT_TOKENS
        prompt = (is_long, generator.randrange(PROMPTS))
        number = place(str(prompt), tokens, known, 64.0)
        done_s, is_cached = fleet[number].read(prompt, tokens, now)
        work = tokens * UNITS_PER_TOKEN
        total[number] += work
        sent_by_host[host].append(Sent(now, number, work))
        heapq.heappush(ends, (done_s, number, work))
        waits.append(Wait(is_long, done_s - now, not is_cached))
    return waits


def _remove_ended(ends, total, now):
    while ends and ends[0][0] <= now:
        _, engine, work = heapq.heappop(ends)
        total[engine] -= work


def compute_late_share(waits):
    """Return the share of requests that waited longer than their target."""
    late = sum(
        wait.wait_s > (LONG_TARGET_S if wait.is_long else SHORT_TARGET_S)
        for wait in waits
    )
    return late / len(waits)
