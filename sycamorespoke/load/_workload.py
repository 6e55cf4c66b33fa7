"""Classes of a workload file."""

import typing

import attrs


def number(low, high, default=attrs.NOTHING):
    """Define a numeric field with its range.

    Parameters
    ----------
    low, high : float
        Smallest and largest allowed value.
    default : float, optional
        Value if the key is absent; without a default the key is required.

    Returns
    -------
    attrs.Attribute
        Field definition.
    """
    return attrs.field(default=default, metadata={"low": low, "high": high})


@attrs.frozen
class Distribution:
    """Distribution of a size or a time.

    Parameters
    ----------
    kind : {"fixed", "uniform", "exponential", "lognormal"}
        Family of the distribution.
    median : float, default=1.0
        Value of ``fixed``, median of ``exponential`` and ``lognormal``, 0 to 1e9.
    sigma : float, default=0.5
        Standard deviation of the logarithm; ``lognormal`` only, 0 to 5.
    low : float, default=0.0
        Lower bound of the values, 0 to 1e9.
    high : float, default=1e9
        Upper bound of the values, 0 to 1e9.
    """

    kind: typing.Literal["fixed", "uniform", "exponential", "lognormal"]
    median: float = number(0, 1e9, 1.0)
    sigma: float = number(0, 5, 0.5)
    low: float = number(0, 1e9, 0.0)
    high: float = number(0, 1e9, 1e9)


@attrs.frozen
class Threads:
    """Conversation threads, whose prompts grow from turn to turn.

    Parameters
    ----------
    model : str
        Name of the requested model.
    rate : float
        New threads per second, 0 to 10000.
    turns : int, default=3
        Requests per thread, 1 to 1000.
    first_tokens : Distribution
        Length of a thread's first prompt, in tokens.
    growth_tokens : Distribution
        Tokens that each further turn adds to the prompt.
    gap_s : Distribution
        Time between the starts of two successive requests of a thread, in seconds.
    answer_tokens : Distribution
        Maximum length of an answer, in tokens.
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
    """Requests to a plain service.

    Parameters
    ----------
    path : str
        Request path; ``{n}`` in it is replaced by a random number.
    rate : float
        Requests per second, 0 to 10000.
    numbers : int, default=100
        Largest random number, 1 to 1e9; the smallest is 1.
    """

    path: str
    rate: float = number(0, 10000)
    numbers: int = number(1, 1e9, 100)


@attrs.frozen
class Account:
    """Load of one client account.

    Parameters
    ----------
    name : str
        Name of the client account.
    api_key : str
        API key of the client account; it is never written to a report.
    threads : tuple of Threads, default=()
        Conversation threads.
    bookings : tuple of ServiceRequests, default=()
        Non-idempotent requests, each with its own idempotency key.
    lookups : tuple of ServiceRequests, default=()
        Idempotent ``GET`` requests.
    """

    name: str
    api_key: str
    threads: tuple[Threads, ...] = ()
    bookings: tuple[ServiceRequests, ...] = ()
    lookups: tuple[ServiceRequests, ...] = ()


@attrs.frozen
class Burst:
    """A period in which the rates of all client accounts are multiplied.

    Parameters
    ----------
    at_s : float
        Start, in seconds from the start of the run, 0 to 1e6.
    duration_s : float
        Duration, in seconds, 0.001 to 1e6.
    factor : float
        Factor by which the rates are multiplied, 0 to 1000.
    """

    at_s: float = number(0, 1e6)
    duration_s: float = number(0.001, 1e6)
    factor: float = number(0, 1000)


@attrs.frozen
class HttpRequest:
    """HTTP request that an event sends.

    Parameters
    ----------
    url : str
        URL, for example ``"http://127.0.0.1:7401/faults"``.
    method : {"PUT", "POST", "DELETE"}, default="PUT"
        HTTP method.
    body : str, default="{}"
        Request body, JSON.
    """

    url: str
    method: typing.Literal["PUT", "POST", "DELETE"] = "PUT"
    body: str = "{}"


@attrs.frozen
class Event:
    """An event at a fixed time of the run.

    Parameters
    ----------
    at_s : float
        Time of the event, in seconds from the start of the run, 0 to 1e6.
    name : str
        Name in the output and the plot.
    http : HttpRequest, optional
        HTTP request to send.
    command : str, default=""
        Command that the operator is to run now; it is printed as due, since the
        load tool starts no process.
    """

    name: str
    at_s: float = number(0, 1e6)
    http: HttpRequest | None = None
    command: str = ""


@attrs.frozen
class Workload:
    """Content of a workload file.

    Parameters
    ----------
    name : str
        Name of the workload in the report.
    duration_s : float
        Period in which requests start, in seconds, 0.1 to 1e6.
    accounts : tuple of Account
        Load of each client account.
    seed : int, default=1
        Seed of all random values, 0 to 2**63.
    not_run_retries : int, default=0
        Maximum number of retries, at other entry hosts, of a request that was
        refused as not run, 0 to 10.
    timeout_s : float, default=30.0
        Read timeout of a request, in seconds, 0.1 to 3600.
    client_delay_s : float, default=0.0
        Simulated one-way network delay between clients and entry hosts, in seconds,
        0 to 1; each request is sent after the delay of one round trip.
    in_flight : int, default=500
        Maximum number of concurrent requests, 1 to 5000; further requests wait, and
        their latency includes the wait.
    bursts : tuple of Burst, default=()
        Periods in which the rates are multiplied.
    events : tuple of Event, default=()
        Events at fixed times.
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
