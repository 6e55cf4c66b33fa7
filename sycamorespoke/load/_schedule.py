"""Schedule of a workload's requests, determined by the workload and its seed."""

import enum
import math
import random

import attrs

WORDS = (
    "runner",
    "start",
    "bib",
    "marshal",
    "club",
    "waiver",
    "lane",
    "street",
    "shutter",
    "crew",
    "wall",
    "paint",
    "request",
    "thread",
    "surface",
    "queue",
    "morning",
    "number",
    "photo",
    "answer",
    "north",
    "south",
)


class RequestKind(enum.Enum):
    """Kinds of requests."""

    PROMPT = "prompt"
    BOOKING = "booking"
    LOOKUP = "lookup"


@attrs.frozen
class Arrival:
    """One request of the schedule.

    Parameters
    ----------
    at_s : float
        Intended start, in seconds from the start of the run.
    kind : RequestKind
        Kind of the request.
    account : int
        Index of the client account in the workload.
    key : str
        Unique in the run; a booking's idempotency key is derived from it.
    path : str, default=""
        Path of a booking or look-up.
    model : str, default=""
        Model of a prompt.
    thread : str, default=""
        Conversation thread of a prompt; each prompt of a thread is a prefix of the
        same text.
    prompt_tokens : int, default=0
        Length of the prompt, in tokens.
    answer_tokens : int, default=0
        Maximum length of the answer, in tokens.
    """

    at_s: float
    kind: RequestKind
    account: int
    key: str
    path: str = ""
    model: str = ""
    thread: str = ""
    prompt_tokens: int = 0
    answer_tokens: int = 0


def make_schedule(workload):
    """Draw the requests of a workload from its distributions.

    Parameters
    ----------
    workload : Workload
        The workload, with the seed of all random values.

    Returns
    -------
    list of Arrival
        Requests ordered by time; equal workloads give equal lists.
    """
    arrivals = []
    for index, account in enumerate(workload.accounts):
        for number, threads in enumerate(account.threads):
            name = f"{workload.seed}-{account.name}-threads-{number}"
            arrivals += _draw_threads(workload, index, threads, name)
        for kind, all_requests in (
            (RequestKind.BOOKING, account.bookings),
            (RequestKind.LOOKUP, account.lookups),
        ):
            for number, service_requests in enumerate(all_requests):
                name = f"{workload.seed}-{account.name}-{kind.value}-{number}"
                arrivals += _draw_service_requests(
                    workload, index, kind, service_requests, name
                )
    return sorted(arrivals, key=lambda arrival: (arrival.at_s, arrival.key))


def make_prompt(thread, tokens):
    """Make a prompt of a conversation thread.

    Parameters
    ----------
    thread : str
        Name of the thread, which determines its text.
    tokens : int
        Length in tokens of four characters, 1 or more.

    Returns
    -------
    str
        Prefix of the thread's text.

    Examples
    --------
    >>> make_prompt("a", 100).startswith(make_prompt("a", 10))
    True
    """
    rng = random.Random(thread)
    words = rng.choices(WORDS, k=tokens)
    return " ".join(words)[: tokens * 4].ljust(tokens * 4)


def draw(distribution, rng):
    """Draw a value from a distribution.

    Parameters
    ----------
    distribution : Distribution
        The distribution.
    rng : random.Random
        Random number generator.

    Returns
    -------
    float
        Value, clipped to ``low`` and ``high``.
    """
    value = distribution.median
    if distribution.kind == "uniform":
        value = rng.uniform(distribution.low, distribution.high)
    elif distribution.kind == "exponential":
        value = rng.expovariate(math.log(2) / max(distribution.median, 1e-9))
    elif distribution.kind == "lognormal":
        median = max(distribution.median, 1e-9)
        value = rng.lognormvariate(math.log(median), distribution.sigma)
    return min(max(value, distribution.low), distribution.high)


def _draw_threads(workload, account, threads, name):
    rng = random.Random(name)
    arrivals = []
    for number, start_s in enumerate(_draw_starts(workload, threads.rate, rng)):
        thread = f"{name}-{number}"
        at_s = start_s
        tokens = draw(threads.first_tokens, rng)
        for turn in range(threads.turns):
            answer = draw(threads.answer_tokens, rng)
            if at_s < workload.duration_s:
                arrivals.append(
                    Arrival(
                        at_s,
                        RequestKind.PROMPT,
                        account,
                        key=f"{thread}-{turn}",
                        model=threads.model,
                        thread=thread,
                        prompt_tokens=max(1, int(tokens)),
                        answer_tokens=max(1, int(answer)),
                    )
                )
            at_s += draw(threads.gap_s, rng)
            tokens += draw(threads.growth_tokens, rng)
    return arrivals


def _draw_service_requests(workload, account, kind, service_requests, name):
    rng = random.Random(name)
    arrivals = []
    for number, at_s in enumerate(_draw_starts(workload, service_requests.rate, rng)):
        path = service_requests.path.replace(
            "{n}", str(rng.randint(1, service_requests.numbers))
        )
        key = f"{name}-{number}"
        arrivals.append(Arrival(at_s, kind, account, key=key, path=path))
    return arrivals


def _draw_starts(workload, rate, rng):
    """Draw start times from a Poisson process with rate bursts, by thinning."""
    highest = rate * max([1.0] + [burst.factor for burst in workload.bursts])
    if highest <= 0:
        return []
    starts = []
    at_s = rng.expovariate(highest)
    while at_s < workload.duration_s:
        if rng.random() * highest < rate * _get_burst_factor(workload, at_s):
            starts.append(at_s)
        at_s += rng.expovariate(highest)
    return starts


def _get_burst_factor(workload, at_s):
    for burst in workload.bursts:
        if burst.at_s <= at_s < burst.at_s + burst.duration_s:
            return burst.factor
    return 1.0
