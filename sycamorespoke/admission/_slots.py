"""Admission of one entry host, driven by a given time."""

import collections
import itertools

from sycamorespoke import decisions, world
from sycamorespoke.admission import _group, _ticket

DEADLINE_SHARE_FOR_WAITING = 0.5
ESTIMATE_SHARE = 0.5
STANDING_QUEUE_SHARE = 0.2
STANDING_QUEUE_S = 1.0
BURST_S = 1.0
FULL_QUEUE_RETRY_S = 1.0


class SlotTable:
    """Hands out the slots of the upstream groups; not safe among threads.

    Parameters
    ----------
    configuration : world.Configuration
        Accounts, routes, groups and limits.

    Notes
    -----
    A request is refused when it comes if its account is over its rate or
    concurrency, or if its estimated wait is over half of the bound; otherwise it
    waits in the fair queue of its group, at most for the whole bound.
    """

    def __init__(self, configuration):
        self._groups_by_name = {}
        self._buckets_by_account = {}
        self._budgets_by_route = {}
        self._active_by_account = collections.Counter()
        self._refusals_by_kind = collections.Counter()
        self._admitted = 0
        self._numbers = itertools.count()
        self.configure(configuration)

    def configure(self, configuration):
        """Take the rules of another revision into force."""
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
        """Set the upstreams of a group that take new work.

        Returns
        -------
        list of Ticket
            Requests that may be sent from now on.
        """
        slots = self._groups_by_name[group]
        slots.set_upstreams(names, hosts)
        return self._grant_waiting(slots, now)

    def request_slot(self, account, route, deadline_s, now):
        """Ask for a slot.

        Parameters
        ----------
        account, route : str
            Names.
        deadline_s : float
            Seconds left until the request is given up.
        now : float
            Monotonic seconds.

        Returns
        -------
        Ticket or Waiting or world.Refusal
            A slot, a place in the queue, or why there is neither.
        """
        settings = self.configuration.accounts_by_name[account]
        group = self.configuration.routes_by_name[route].group
        slots = self._groups_by_name[group]
        self._deposit(route)
        refusal = self._check_account(settings, now)
        wait_limit_s = self._wait_limit_s(deadline_s)
        refusal = refusal or self._check_queue(settings, slots, wait_limit_s, now)
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
            slots.emptied_s = now
        slots.queue.push(account, settings.share, ticket)
        return _ticket.Queued(ticket, wait_limit_s)

    def time_out(self, ticket, now):
        """Refuse a request that waited its bound.

        Returns
        -------
        world.Refusal or None
            ``None`` if it may be sent after all.
        """
        if ticket.granted_s is not None:
            return None
        slots = self._groups_by_name[ticket.group]
        slots.queue.remove(ticket)
        self._active_by_account[ticket.account] -= 1
        waited_s = now - ticket.asked_s
        return self._refuse(
            world.ErrorKind.OVERLOADED, "no upstream became free in time", waited_s
        )

    def assign(self, ticket, upstream):
        """Count a request as sent to an upstream, unless its limit is reached.

        Returns
        -------
        bool
            Whether it may be sent there.
        """
        slots = self._groups_by_name[ticket.group]
        if slots.free_by_upstream().get(upstream, 0) == 0:
            return False
        slots.start(upstream)
        ticket.upstream = upstream
        return True

    def unassign(self, ticket, outcome, delay_s, now):
        """Count an attempt at an upstream as ended, and keep the slot."""
        slots = self._groups_by_name[ticket.group]
        if ticket.upstream:
            slots.end(ticket.upstream, outcome, delay_s, now)
            ticket.upstream = ""

    def release(self, ticket, outcome, delay_s, now):
        """Give a slot back.

        Returns
        -------
        list of Ticket
            Requests that may be sent from now on.
        """
        slots = self._groups_by_name[ticket.group]
        self.unassign(ticket, outcome, delay_s, now)
        if outcome is decisions.AttemptOutcome.ANSWERED:
            slots.follow_hold(now - ticket.granted_s)
        slots.running -= 1
        self._active_by_account[ticket.account] -= 1
        return self._grant_waiting(slots, now)

    def acquire_retry(self, route):
        """Take a retry from the budget of a route.

        Returns
        -------
        bool
            Whether there was one.
        """
        budget = self._budget(route)
        if not budget.has_retry():
            return False
        self._budgets_by_route[route] = budget.withdraw()
        return True

    def free_by_upstream(self, group):
        """Return the free slots of each upstream of a group."""
        return self._groups_by_name[group].free_by_upstream()

    def stats(self, now):
        """Return the state for the dump at ``now``, monotonic seconds."""
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
                name: _group_stats(slots)
                for name, slots in self._groups_by_name.items()
            },
        )

    def _check_account(self, account, now):
        bucket = self._refill(account, now)
        if bucket.wait_s() > 0.0:
            return self._refuse(
                world.ErrorKind.RATE_LIMITED,
                "the client account is over its rate",
                bucket.wait_s(),
            )
        if self._active_by_account[account.name] >= account.concurrency:
            return self._refuse(
                world.ErrorKind.CONCURRENCY_LIMITED,
                "the client account has too many requests running",
            )
        return None

    def _check_queue(self, account, slots, wait_limit_s, now):
        if slots.slots() == 0:
            return world.Refusal(world.ErrorKind.NO_UPSTREAM, "no upstream is there")
        wait_s = slots.estimate_wait_s(account.name, account.share)
        estimate_limit_s = wait_limit_s * _estimate_share(slots, now)
        if wait_s > estimate_limit_s:
            return self._refuse(
                world.ErrorKind.OVERLOADED,
                "the wait for an upstream is too long",
                wait_s - estimate_limit_s,
            )
        if wait_s and slots.queue.length(account.name) >= self._queue_length(account):
            return self._refuse(
                world.ErrorKind.OVERLOADED,
                "the queue of the client account is full",
                FULL_QUEUE_RETRY_S,
            )
        return None

    def _queue_length(self, account):
        # A fixed part of the queue per account, so that none can fill it alone.
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

    def _budget(self, route):
        ratio = self.configuration.limits.retry_ratio
        return self._budgets_by_route.get(route, decisions.RetryBudget(ratio))

    def _deposit(self, route):
        self._budgets_by_route[route] = self._budget(route).deposit()

    def _refuse(self, kind, reason, wait_s=0.0):
        retry_after_s = decisions.choose_retry_after_s(wait_s, next(self._numbers))
        return world.Refusal(kind, reason, retry_after_s)

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
            slots.emptied_s = now
        return granted


def _estimate_share(slots, now):
    # A queue that stays is no burst: it adds its wait to every answer and keeps
    # no slot busier. The rest of the bound is for errors of the estimate, so that
    # a request is refused when it comes and not after it has waited.
    is_standing = len(slots.queue) and now - slots.emptied_s > STANDING_QUEUE_S
    return STANDING_QUEUE_SHARE if is_standing else ESTIMATE_SHARE


def _group_stats(slots):
    return _ticket.GroupStats(
        slots=slots.slots(),
        running=slots.running,
        hold_s=slots.hold_s,
        waiting_by_account=slots.queue.lengths_by_account(),
        limits_by_upstream={
            name: limit.limit for name, limit in slots.limits_by_upstream.items()
        },
        running_by_upstream=dict(slots.running_by_upstream),
    )
