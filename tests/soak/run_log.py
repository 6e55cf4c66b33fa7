"""Log of the requests that the upstreams of a soak ran or refused."""

import threading

import attrs


@attrs.frozen
class Run:
    """Request that an upstream started to run.

    Parameters
    ----------
    request_id : str
        ID of the request.
    upstream : str
        ID of the upstream.
    at_s : float
        Monotonic time of the start, in seconds.
    says_leaving : bool
        Whether the response says that the upstream leaves.
    weight_version : int, default=0
        Weight version on which it starts, at an engine.
    arrived_s : float, default=0.0
        Monotonic time at which it reached the engine, where it may wait, in seconds.
    account : str, default=""
        Client account that the host named.
    cache_scope : str, default=""
        Scope of the cache that the host named; empty for requests without a prompt.
    """

    request_id: str
    upstream: str
    at_s: float
    says_leaving: bool = False
    weight_version: int = 0
    arrived_s: float = 0.0
    account: str = ""
    cache_scope: str = ""


@attrs.frozen
class Refusal:
    """Request that an upstream refused, with a time for which it wants no others.

    Parameters
    ----------
    request_id : str
        ID of the request.
    upstream : str
        ID of the upstream.
    at_s : float
        Monotonic time, in seconds.
    """

    request_id: str
    upstream: str
    at_s: float


@attrs.frozen
class Order:
    """Order that an engine received, also if it refused it.

    Parameters
    ----------
    upstream : str
        ID of the engine.
    at_s : float
        Monotonic time, in seconds.
    holder : str
        Host that sent it.
    fence : int
        Fencing number.
    """

    upstream: str
    at_s: float
    holder: str
    fence: int


class RunLog:
    """Thread-safe log of the runs, refusals and orders of all upstreams."""

    def __init__(self):
        self._lock = threading.Lock()
        self._runs = []
        self._refusals = []
        self._orders = []

    def add_order(self, order):
        """Add an order."""
        with self._lock:
            self._orders.append(order)

    def list_orders(self):
        """Return a copy of the orders so far."""
        with self._lock:
            return list(self._orders)

    def add_refusal(self, refusal):
        """Add a refusal."""
        with self._lock:
            self._refusals.append(refusal)

    def list_refusals(self):
        """Return a copy of the refusals so far."""
        with self._lock:
            return list(self._refusals)

    def add(self, run):
        """Add a run."""
        with self._lock:
            self._runs.append(run)

    def list(self):
        """Return a copy of the runs so far."""
        with self._lock:
            return list(self._runs)
