"""Admission decisions of one entry host; the caller passes in the current time."""

import collections
import itertools

from sycamorespoke import decisions, domain
from sycamorespoke.admission import _group, _ticket

# Share of the remaining time until the deadline that a request may wait.
DEADLINE_SHARE_FOR_WAITING = 0.5
# Shares of the wait limit that the estimated wait may reach, with a short-lived
# queue and with one that has not been empty for STANDING_QUEUE_S.
ESTIMATE_SHARE = 0.5
STANDING_QUEUE_SHARE = 0.2
STANDING_QUEUE_S = 1.0
# Capacity of an account's token bucket, in seconds of its rate.
BURST_S = 1.0
FULL_QUEUE_RETRY_S = 1.0


class SlotTable:
    """Allocate the slots of the upstream groups; not thread-safe.

    Parameters
    ----------
    configuration : domain.Configuration
        Client accounts, routes, upstream groups and limits.

    Notes
    -----
    A request is refused on arrival if its client account exceeds its rate or
    concurrency limit, or if its estimated wait exceeds half of the wait limit (a
    fifth if the queue is standing). Otherwise it waits in the fair queue of its group
    for at most the wait limit.
    """

    def __init__(self, configuration):
        self._groups_by_name = {}
        self._buckets_by_account = {}
        self._budgets_by_route = {}
        self._active_by_account = collections.Counter()
        self._refusals_by_kind = collections.Counter()
        self._admitted = 0
        self._refusal_numbers = itertools.count()
        self.configure(configuration)

    def configure(self, configuration):
        """Apply another revision of the configuration."""
        self.configuration = configuration
        for name, group in configuration.groups_by_name.items():
            if name in self._groups_by_name:
                self._groups_by_name[name].set_max_limit(group.limit)
            else:
                self._groups_by_name[name] = _group.GroupSlots(group.limit)
        self._buckets_by_account = {
            name: bucket
            for name, bucket in self._buckets_by_account.items()
            if name in configuration.accounts_by_name
            and bucket.rate == configuration.accounts_by_name[name].rate
        }

    def set_upstreams(self, group, names, now, hosts=1):
        """Set the upstreams of a group that accept new requests.

        Returns
        -------
        list of Ticket
            Waiting requests that were granted a slot by this change.
        """
        slots = self._groups_by_name[group]
        slots.set_upstreams(names, hosts)
        return self._grant_waiting(slots, now)

    def request_slot(self, account, route, deadline_s, now):
        """Request a slot of the route's upstream group.

        Parameters
        ----------
        account, route : str
            Names; both are in the configuration.
        deadline_s : float
            Seconds left until the deadline of the request.
        now : float
            Current monotonic time, in seconds.

        Returns
        -------
        Ticket or Queued or domain.Refusal
            A slot, a place in the queue, or a refusal.
        """
        client_account = self.configuration.accounts_by_name[account]
        group = self.configuration.routes_by_name[route].group
        slots = self._groups_by_name[group]
        self._deposit_retry(route)
        refusal = self._check_account(client_account, now)
        wait_limit_s = self._wait_limit_s(deadline_s)
        refusal = refusal or self._check_queue(client_account, slots, wait_limit_s, now)
        if refusal is not None:
            self._refusals_by_kind[refusal.kind.value] += 1
            return refusal
        bucket = self._buckets_by_account[account]
        self._buckets_by_account[account] = bucket.take()
        self._active_by_account[account] += 1
        ticket = _ticket.Ticket(account, route, group, now)
        if slots.has_free_slot() and not len(slots.queue):
            self._grant(slots, ticket, now)
            return ticket
        if not len(slots.queue):
            slots.last_empty_s = now
        slots.queue.push(account, client_account.share, ticket)
        return _ticket.Queued(ticket, wait_limit_s)

    def time_out(self, ticket, now):
        """Remove a request from the queue after its wait limit.

        Returns
        -------
        domain.Refusal or None
            ``None`` if a slot was granted in the meantime.
        """
        if ticket.granted_s is not None:
            return None
        slots = self._groups_by_name[ticket.group]
        slots.queue.remove(ticket)
        self._active_by_account[ticket.account] -= 1
        waited_s = now - ticket.arrived_s
        return self._make_refusal(
            domain.ErrorKind.OVERLOADED, "no upstream became free in time", waited_s
        )

    def assign(self, ticket, upstream):
        """Assign a request to an upstream, unless the upstream's limit is reached.

        Returns
        -------
        bool
            Whether the request may be sent to the upstream.
        """
        slots = self._groups_by_name[ticket.group]
        if slots.free_by_upstream().get(upstream, 0) == 0:
            return False
        slots.record_start(upstream)
        ticket.upstream = upstream
        return True

    def unassign(self, ticket, outcome, delay_s, now):
        """Record the end of an attempt at an upstream; the slot stays granted."""
        slots = self._groups_by_name[ticket.group]
        if ticket.upstream:
            slots.record_end(ticket.upstream, outcome, delay_s, now)
            ticket.upstream = ""

    def release(self, ticket, outcome, delay_s, now):
        """Return a slot and grant it to the next waiting request.

        Returns
        -------
        list of Ticket
            Waiting requests that were granted a slot.
        """
        slots = self._groups_by_name[ticket.group]
        self.unassign(ticket, outcome, delay_s, now)
        if outcome is decisions.AttemptOutcome.ANSWERED:
            slots.record_hold(now - ticket.granted_s)
        slots.running -= 1
        self._active_by_account[ticket.account] -= 1
        return self._grant_waiting(slots, now)

    def acquire_retry(self, route):
        """Withdraw a retry from the retry budget of a route.

        Returns
        -------
        bool
            Whether the budget allowed a retry.
        """
        budget = self._get_budget(route)
        if not budget.has_retry():
            return False
        self._budgets_by_route[route] = budget.withdraw()
        return True

    def free_by_upstream(self, group):
        """Return the number of free slots of each upstream of a group."""
        return self._groups_by_name[group].free_by_upstream()

    def stats(self, now):
        """Return the state for the dump at the monotonic time ``now``, in seconds."""
        return _ticket.AdmissionStats(
            admitted=self._admitted,
            refusals_by_kind=dict(self._refusals_by_kind),
            retries_by_route={
                name: budget.retries for name, budget in self._budgets_by_route.items()
            },
            active_by_account=dict(self._active_by_account),
            tokens_by_account={
                name: bucket.refill(now).tokens
                for name, bucket in self._buckets_by_account.items()
            },
            groups_by_name={
                name: _make_group_stats(slots)
                for name, slots in self._groups_by_name.items()
            },
        )

    def _check_account(self, account, now):
        bucket = self._refill(account, now)
        if bucket.wait_s() > 0.0:
            return self._make_refusal(
                domain.ErrorKind.RATE_LIMITED,
                "the client account exceeds its request rate",
                bucket.wait_s(),
            )
        if self._active_by_account[account.name] >= account.concurrency:
            return self._make_refusal(
                domain.ErrorKind.CONCURRENCY_LIMITED,
                "the client account has too many requests running",
            )
        return None

    def _check_queue(self, account, slots, wait_limit_s, now):
        if slots.slots() == 0:
            return domain.Refusal(
                domain.ErrorKind.NO_UPSTREAM, "no upstream is eligible"
            )
        wait_s = slots.estimate_wait_s(account.name, account.share)
        estimate_limit_s = wait_limit_s * _choose_estimate_share(slots, now)
        if wait_s > estimate_limit_s:
            return self._make_refusal(
                domain.ErrorKind.OVERLOADED,
                "the estimated wait for an upstream is too long",
                wait_s - estimate_limit_s,
            )
        if wait_s and slots.queue.length(account.name) >= self._queue_length(account):
            return self._make_refusal(
                domain.ErrorKind.OVERLOADED,
                "the queue of the client account is full",
                FULL_QUEUE_RETRY_S,
            )
        return None

    def _queue_length(self, account):
        # The queue is divided by share, so that no account can fill it alone.
        accounts = self.configuration.accounts_by_name.values()
        shares = sum(other.share for other in accounts)
        return self.configuration.limits.queue_length * account.share / shares

    def _wait_limit_s(self, deadline_s):
        queue_wait_s = self.configuration.limits.queue_wait_s
        return min(queue_wait_s, deadline_s * DEADLINE_SHARE_FOR_WAITING)

    def _refill(self, account, now):
        bucket = self._buckets_by_account.get(account.name)
        if bucket is None:
            burst = max(account.rate * BURST_S, 1.0)
            bucket = decisions.TokenBucket(account.rate, burst, burst, now)
        bucket = bucket.refill(now)
        self._buckets_by_account[account.name] = bucket
        return bucket

    def _get_budget(self, route):
        ratio = self.configuration.limits.retry_ratio
        return self._budgets_by_route.get(route, decisions.RetryBudget(ratio))

    def _deposit_retry(self, route):
        self._budgets_by_route[route] = self._get_budget(route).deposit()

    def _make_refusal(self, kind, reason, wait_s=0.0):
        retry_after_s = decisions.choose_retry_after_s(
            wait_s, next(self._refusal_numbers)
        )
        return domain.Refusal(kind, reason, retry_after_s)

    def _grant(self, slots, ticket, now):
        slots.running += 1
        self._admitted += 1
        ticket.grant(now)

    def _grant_waiting(self, slots, now):
        granted = []
        while len(slots.queue) and slots.has_free_slot():
            ticket = slots.queue.pop()
            self._grant(slots, ticket, now)
            granted.append(ticket)
        if not len(slots.queue):
            slots.last_empty_s = now
        return granted


def _choose_estimate_share(slots, now):
    # A standing queue does not absorb a burst: it delays every response without
    # raising utilization. The rest of the wait limit is a margin for estimation
    # errors, so that a request is refused on arrival and not after it has waited.
    is_standing = len(slots.queue) and now - slots.last_empty_s > STANDING_QUEUE_S
    return STANDING_QUEUE_SHARE if is_standing else ESTIMATE_SHARE


def _make_group_stats(slots):
    return _ticket.GroupStats(
        slots=slots.slots(),
        running=slots.running,
        hold_s=slots.mean_hold_s,
        waiting_by_account=slots.queue.lengths_by_account(),
        limits_by_upstream={
            name: limit.limit for name, limit in slots.limits_by_upstream.items()
        },
        running_by_upstream=dict(slots.running_by_upstream),
    )
