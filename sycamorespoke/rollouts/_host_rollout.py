"""What one host knows of one rollout: its requests, their outcomes, the phase."""

import collections

import attrs

from sycamorespoke import decisions
from sycamorespoke.rollouts import _orders, _share, _verdict

# A request that was allowed and not sent within this time counts no longer.
RESERVED_S = 2.0
# Connections to one upstream that end within this time count as one failure.
LOST_TOGETHER_S = 0.5


@attrs.define
class HostRollout:
    """State of a rollout at this host; used under a lock.

    Parameters
    ----------
    order : RolloutOrder
        The order.
    seen_s : float
        When this host first saw it, seconds of the boot clock.

    Attributes
    ----------
    end : RolloutState or None
        How it ended; ``None`` if it goes on as far as this host knows.
    ended_s : float
        When this host heard that, seconds of the boot clock.
    judged_s : float
        When the holder of the task last replied, seconds of the boot clock.
    is_moving : bool
        Whether the holder said that the service moves.
    fraction : float
        Fraction of the requests that the new version gets then.
    has_stopped : bool
        Whether this host has ended its own trial because of what it saw.
    wanted_routes : frozenset of str
        Routes of which too few requests were tried.
    sent, tried : int
        Requests to the service, and those to the version on trial.
    """

    order: _orders.RolloutOrder
    seen_s: float
    end: _orders.RolloutState | None = None
    ended_s: float = float("-inf")
    judged_s: float = float("-inf")
    is_moving: bool = False
    fraction: float = 0.0
    has_stopped: bool = False
    wanted_routes: frozenset = frozenset()
    sent: int = 0
    tried: int = 0
    trial_by_route: dict = attrs.field(factory=dict)
    old_by_route: dict = attrs.field(factory=dict)
    trial_lost_by_boot: dict = attrs.field(factory=collections.Counter)
    old_lost_by_boot: dict = attrs.field(factory=collections.Counter)
    _lost_s_by_boot: dict = attrs.field(factory=dict)
    _reserved_s: collections.deque = attrs.field(factory=collections.deque)
    _credit: tuple = (None, 0)

    @property
    def key(self):
        """Text that identifies the rollout for rankings."""
        return f"{self.order.id.service} {self.order.id.version}"

    def is_trial(self, upstream):
        """Return whether an upstream has the version that is brought in."""
        return upstream.software_version == self.order.id.version

    def reserve(self, host, hosts_by_name, share, slack, route, now):
        """Reserve one request for the version on trial; return whether that may be."""
        while self._reserved_s and now - self._reserved_s[0] > RESERVED_S:
            self._reserved_s.popleft()
        is_wanted = not self.wanted_routes or route in self.wanted_routes
        credit = self._get_credit(host, hosts_by_name, slack)
        tried = self.tried + len(self._reserved_s)
        if not _share.may_try(self.sent, tried, share, credit, is_wanted):
            return False
        self._reserved_s.append(now)
        return True

    def cancel_reservation(self):
        """Take back one reservation, if there is any."""
        if self._reserved_s:
            self._reserved_s.popleft()

    def count_sent(self, upstream):
        """Count a request that is sent to an upstream."""
        self.sent += 1
        if self.is_trial(upstream):
            self.tried += 1
            self.cancel_reservation()

    def count_end(self, upstream, route, is_bad):
        """Count a request that has ended with a response, or slowly without one."""
        is_trial = self.is_trial(upstream)
        by_route = self.trial_by_route if is_trial else self.old_by_route
        tally = by_route.get(route, _verdict.Tally())
        by_route[route] = tally + _verdict.Tally(1, int(is_bad))

    def count_lost(self, upstream, now):
        """Count a request whose connection ended; several at once are one failure."""
        boot_id = upstream.boot_id
        if now - self._lost_s_by_boot.get(boot_id, float("-inf")) < LOST_TOGETHER_S:
            return
        self._lost_s_by_boot[boot_id] = now
        is_trial = self.is_trial(upstream)
        lost = self.trial_lost_by_boot if is_trial else self.old_lost_by_boot
        lost[boot_id] += 1

    def make_evidence(self):
        """Return the outcomes that this host has seen."""
        return make_evidence(
            self.trial_by_route,
            self.old_by_route,
            sum(self.trial_lost_by_boot.values()),
            sum(self.old_lost_by_boot.values()),
        )

    def set_end(self, end, now):
        """Adopt how the rollout ended; return whether that is new.

        A version that was found to be bad stays so; only what the store holds may
        say otherwise, see `adopt_order`.
        """
        if end is None or not end.is_final or self.end is end:
            return False
        if self.end is _orders.RolloutState.ROLLED_BACK:
            return False
        self.end, self.ended_s = end, now
        return True

    def adopt_order(self, order, now):
        """Adopt a copy of the order unless it is older; return whether it has ended."""
        if order.revision < self.order.revision:
            return False
        self.order = order
        if not order.is_ended or self.end is order.state:
            return False
        self.end, self.ended_s = order.state, now
        return True

    def _get_credit(self, host, hosts_by_name, slack):
        known, credit = self._credit
        if known is not hosts_by_name:
            credit = _share.compute_start_credit(host, hosts_by_name, self.key, slack)
            self._credit = hosts_by_name, credit
        return credit


def make_evidence(trial_by_route, old_by_route, trial_lost, old_lost):
    """Return outcomes by route together with lost connections.

    Lost connections belong to no route: a crash ends the requests of all.
    """

    def add_lost(by_route, lost):
        if not lost:
            return dict(by_route)
        return {**by_route, _verdict.ALL_ROUTES: _verdict.Tally(lost, lost)}

    return _verdict.Evidence(
        add_lost(trial_by_route, trial_lost), add_lost(old_by_route, old_lost)
    )


def is_chosen_by_hash(key, fraction):
    """Return whether a request is among a fraction of all, by a hash of its key.

    Examples
    --------
    >>> sum(is_chosen_by_hash(f"r-{number}", 0.25) for number in range(400)) in range(
    ...     70, 130
    ... )
    True
    """
    if fraction >= 1.0:
        return True
    weights_by_side = {"new": fraction, "old": 1.0 - fraction}
    return decisions.pick_weighted(f"rollout {key}", weights_by_side) == "new"
