"""What a workload file holds."""

import typing

import attrs


def number(low, high, default=attrs.NOTHING):
    """Declare a number of a workload file with its range.

    Parameters
    ----------
    low, high : float
        Smallest and largest value allowed.
    default : float, optional
        Value of an absent key; without it the key is required.

    Returns
    -------
    attrs.Attribute
        Field definition.
    """
    return attrs.field(default=default, metadata={"low": low, "high": high})


@attrs.frozen
class Distribution:
    """A distribution of a size or a time.

    Parameters
    ----------
    kind : {"fixed", "uniform", "exponential", "lognormal"}
        Its shape.
    median : float, default=1.0
        Value of ``fixed``, median of ``exponential`` and ``lognormal``, 0 to 1e9.
    sigma : float, default=0.5
        Standard deviation of the logarithm; ``lognormal`` only, 0 to 5.
    low : float, default=0.0
        Smallest value drawn, 0 to 1e9.
    high : float, default=1e9
        Largest value drawn, 0 to 1e9.
    """

    kind: typing.Literal["fixed", "uniform", "exponential", "lognormal"]
    median: float = number(0, 1e9, 1.0)
    sigma: float = number(0, 5, 0.5)
    low: float = number(0, 1e9, 0.0)
    high: float = number(0, 1e9, 1e9)


@attrs.frozen
class Threads:
    """Prompts that grow and return after gaps.

    Parameters
    ----------
    model : str
        Model asked for.
    rate : float
        New threads per second, 0 to 10000.
    turns : int, default=3
        Requests of one thread, 1 to 1000.
    first_tokens : Distribution
        Tokens of the first prompt.
    growth_tokens : Distribution
        Tokens that each further prompt has more.
    gap_s : Distribution
        Seconds between the starts of two requests of a thread.
    answer_tokens : Distribution
        Tokens asked for.
    """

    model: str
    rate: float = number(0, 10000)
    turns: int = number(1, 1000, 3)
    first_tokens: Distribution = Distribution("fixed", 8000)
    growth_tokens: Distribution = Distribution("fixed", 2000)
    gap_s: Distribution = Distribution("exponential", 10)
    answer_tokens: Distribution = Distribution("fixed", 64)


@attrs.frozen
class ServiceRequests:
    """Calls of a plain service.

    Parameters
    ----------
    path : str
        Path at the entry hosts; ``{n}`` in it stands for a number drawn.
    rate : float
        Calls per second, 0 to 10000.
    numbers : int, default=100
        Numbers drawn are 1 to this, 1 to 1e9.
    """

    path: str
    rate: float = number(0, 10000)
    numbers: int = number(1, 1e9, 100)


@attrs.frozen
class Account:
    """The load of one client account.

    Parameters
    ----------
    name : str
        Name of the client account.
    api_key : str
        Its API key; it goes into no report.
    threads : tuple of Threads, default=()
        Prompts sent.
    bookings : tuple of ServiceRequests, default=()
        Non-idempotent calls, each sent with an idempotency key of its own.
    lookups : tuple of ServiceRequests, default=()
        Idempotent ``GET`` calls.
    """

    name: str
    api_key: str
    threads: tuple[Threads, ...] = ()
    bookings: tuple[ServiceRequests, ...] = ()
    lookups: tuple[ServiceRequests, ...] = ()


@attrs.frozen
class Burst:
    """A time in which the rates of all accounts are multiplied.

    Parameters
    ----------
    at_s : float
        Start, seconds from the start of the run, 0 to 1e6.
    duration_s : float
        Length in seconds, 0.001 to 1e6.
    factor : float
        Factor on the rates, 0 to 1000.
    """

    at_s: float = number(0, 1e6)
    duration_s: float = number(0.001, 1e6)
    factor: float = number(0, 1000)


@attrs.frozen
class HttpRequest:
    """An HTTP call of an event.

    Parameters
    ----------
    url : str
        Address, ``"http://127.0.0.1:7401/faults"``.
    method : {"PUT", "POST", "DELETE"}, default="PUT"
        HTTP method.
    body : str, default="{}"
        JSON text sent.
    """

    url: str
    method: typing.Literal["PUT", "POST", "DELETE"] = "PUT"
    body: str = "{}"


@attrs.frozen
class Event:
    """Something that happens at a set time.

    Parameters
    ----------
    at_s : float
        Seconds from the start of the run, 0 to 1e6.
    name : str
        Shown in the output and the plot.
    http : HttpRequest, optional
        Call made.
    command : str, default=""
        Operators' command, printed as due; the load tool starts no process.
    """

    name: str
    at_s: float = number(0, 1e6)
    http: HttpRequest | None = None
    command: str = ""


@attrs.frozen
class Workload:
    """A workload file.

    Parameters
    ----------
    name : str
        Shown in the report.
    duration_s : float
        Seconds in which requests start, 0.1 to 1e6.
    accounts : tuple of Account
        Load by client account.
    seed : int, default=1
        Seed of all that is drawn, 0 to 2**63.
    not_run_retries : int, default=0
        Retries at another entry host of a request refused as not run, 0 to 10.
    timeout_s : float, default=30.0
        Seconds of silence after which a request is given up, 0.1 to 3600.
    client_delay_s : float, default=0.0
        One-way delay between clients and entry hosts, 0 to 1; a round trip is
        waited before each request is sent.
    in_flight : int, default=500
        Most requests at once, 1 to 5000; more wait, and their wait counts.
    bursts : tuple of Burst, default=()
        Times of higher rates.
    events : tuple of Event, default=()
        What happens at set times.
    """

    name: str
    accounts: tuple[Account, ...]
    duration_s: float = number(0.1, 1e6)
    seed: int = number(0, 2**63, 1)
    not_run_retries: int = number(0, 10, 0)
    timeout_s: float = number(0.1, 3600, 30.0)
    client_delay_s: float = number(0, 1, 0.0)
    in_flight: int = number(1, 5000, 500)
    bursts: tuple[Burst, ...] = ()
    events: tuple[Event, ...] = ()
