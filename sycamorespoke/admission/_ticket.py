"""Tickets of admitted and waiting requests, and the state for the dump."""

import threading

import attrs


@attrs.define(eq=False)
class Ticket:
    """The right to send one request, or a place in the queue for it.

    Parameters
    ----------
    account, route, group : str
        Names.
    asked_s : float
        Monotonic seconds at which the request came.
    granted_s : float or None
        Monotonic seconds at which it might be sent, ``None`` while it waits.
    upstream : str
        Name of the upstream it was sent to, empty before.
    """

    account: str
    route: str
    group: str
    asked_s: float
    granted_s: float | None = None
    upstream: str = ""
    _granted: threading.Event = attrs.field(factory=threading.Event, init=False)

    def grant(self, now):
        """Let the request be sent, at ``now`` of the monotonic clock."""
        self.granted_s = now
        self._granted.set()

    def wait(self, timeout_s):
        """Wait until the request may be sent, at most ``timeout_s`` seconds."""
        return self._granted.wait(timeout_s)


@attrs.frozen
class Queued:
    """The request waits for a slot.

    Parameters
    ----------
    ticket : Ticket
        Its place.
    wait_limit_s : float
        Seconds after which it is refused.
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
    """State of the admission for the dump."""

    admitted: int
    refusals_by_kind: dict[str, int]
    retries_by_route: dict[str, float]
    active_by_account: dict[str, int]
    tokens_by_account: dict[str, float]
    groups_by_name: dict[str, GroupStats]
