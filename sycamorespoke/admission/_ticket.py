"""Tickets of admitted and waiting requests, and the admission state for the dump."""

import threading

import attrs


@attrs.define(eq=False)
class Ticket:
    """A granted slot for one request, or its place in the queue.

    Parameters
    ----------
    account, route, group : str
        Names of the client account, the route and the upstream group.
    arrived_s : float
        Monotonic time at which the request arrived, in seconds.
    granted_s : float or None
        Monotonic time at which the slot was granted, in seconds; ``None`` while
        the request waits.
    upstream : str
        Name of the upstream that the request is assigned to, empty if none.
    """

    account: str
    route: str
    group: str
    arrived_s: float
    granted_s: float | None = None
    upstream: str = ""
    _granted: threading.Event = attrs.field(factory=threading.Event, init=False)

    def grant(self, now):
        """Grant the slot at the monotonic time ``now``, in seconds."""
        self.granted_s = now
        self._granted.set()

    def wait(self, timeout_s):
        """Wait until the slot is granted, for at most ``timeout_s`` seconds."""
        return self._granted.wait(timeout_s)


@attrs.frozen
class Queued:
    """Result of a slot request that has to wait in the queue.

    Parameters
    ----------
    ticket : Ticket
        Place of the request in the queue.
    wait_limit_s : float
        Seconds after which the request is refused.
    """

    ticket: Ticket
    wait_limit_s: float


@attrs.frozen
class GroupStats:
    """State of one upstream group for the dump."""

    slots: int
    running: int
    hold_s: float
    waiting_by_account: dict[str, int]
    limits_by_upstream: dict[str, float]
    running_by_upstream: dict[str, int]


@attrs.frozen
class AdmissionStats:
    """State of admission control for the dump."""

    admitted: int
    refusals_by_kind: dict[str, int]
    retries_by_route: dict[str, float]
    active_by_account: dict[str, int]
    tokens_by_account: dict[str, float]
    groups_by_name: dict[str, GroupStats]
