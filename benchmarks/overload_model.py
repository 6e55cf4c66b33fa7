"""Discrete-event model of upstreams, entry hosts and callers under overload.

Each entry host uses the real `admission.SlotTable`. Upstreams and callers are
modelled and time is simulated, so a seed determines the result.
"""

import heapq
import itertools
import random

import attrs

from sycamorespoke import admission, decisions, domain

ROUTE = "jobs"
GROUP = "agenda"
UPSTREAMS = 3
ENTRY_HOSTS = 3
BEST_CONCURRENCY = 10
REFUSAL_THRESHOLD = 20
REFUSAL_WORK_S = 0.002
WORK_S = 0.2
WORK_SPREAD_RATIO = 0.5
CAPACITY_PER_S = UPSTREAMS * BEST_CONCURRENCY / WORK_S
CONFIGURED_LIMIT = 32
DEADLINE_S = 2.0
CALLER_ATTEMPTS = 3
ENTRY_RETRIES = 2
RETRY_DELAY_S = 0.1
NETWORK_DELAY_S = 0.001
SHARES_BY_ACCOUNT = {"large": 0.85, "small-1": 0.05, "small-2": 0.05, "small-3": 0.05}


@attrs.frozen
class Mechanisms:
    """Mechanisms that are enabled.

    Parameters
    ----------
    admission : bool, default=True
        Entry hosts admit requests with a slot table; without it, they send each
        request at once to a random upstream.
    fair_queue : bool, default=True
        Each client account has its own queue; without it, all share one.
    upstream_limits : bool, default=True
        The limit of each upstream adapts to refusals and delays.
    immediate_refusal : bool, default=True
        Requests whose estimated wait is too long are refused on arrival, and waits
        are limited; without it, requests wait without a limit.
    retry_budget : bool, default=True
        Retries of entry hosts are limited to a share of the requests.
    """

    admission: bool = True
    fair_queue: bool = True
    upstream_limits: bool = True
    immediate_refusal: bool = True
    retry_budget: bool = True


@attrs.define(eq=False)
class Request:
    """One attempt of a caller; ``send_count`` counts the attempts of its entry host."""

    account: str
    requested_s: float
    attempt: int
    send_count: int = 0
    ticket: object = None
    is_finished: bool = False


@attrs.frozen
class AnsweredRequest:
    """Request that was answered before its deadline.

    ``delay_s`` is the time since the request arrived, and ``wait_s`` the part of it
    before the request was sent to an upstream.
    """

    account: str
    attempt: int
    requested_s: float
    at_s: float
    delay_s: float
    wait_s: float


@attrs.frozen
class RefusedRequest:
    """Request that was refused ``delay_s`` seconds after it arrived."""

    account: str
    at_s: float
    delay_s: float
    retry_after_s: int


class Upstream:
    """Processor-sharing queue that loses throughput above `BEST_CONCURRENCY`."""

    def __init__(self, name):
        self.name = name
        self.running = []
        self.work_done_s = 0.0
        self.updated_s = 0.0
        self.schedule_number = 0

    def advance(self, now):
        """Add the work done by the running requests until ``now``."""
        self.work_done_s += (now - self.updated_s) * self.compute_rate()
        self.updated_s = now

    def record_refusal(self, now):
        """Subtract the work that a refusal costs."""
        self.advance(now)
        self.work_done_s -= REFUSAL_WORK_S

    def compute_rate(self):
        """Return the work done per second for each running request."""
        count = len(self.running)
        if count <= BEST_CONCURRENCY:
            return 1.0
        loss = 1.0 + (count - BEST_CONCURRENCY) / (2.0 * BEST_CONCURRENCY)
        return BEST_CONCURRENCY / count / loss

    def compute_next_end_s(self):
        """Return the time at which the next running request ends, in seconds."""
        remaining_work_s = max(self.running[0][0] - self.work_done_s, 0.0)
        return self.updated_s + remaining_work_s / self.compute_rate()


class Model:
    """One run of the model.

    Parameters
    ----------
    mechanisms : Mechanisms
        Mechanisms that are enabled.
    rate_at : callable
        Returns the rate of first attempts, per second, at a time in seconds.
    duration_s : float
        Time after which there are no more first attempts, seconds.
    seed : int
        Seed of the arrivals and of the work per request.
    """

    def __init__(self, mechanisms, rate_at, duration_s, seed):
        self.mechanisms = mechanisms
        self.rate_at = rate_at
        self.duration_s = duration_s
        self.random = random.Random(seed)
        self.answered = []
        self.refusals = []
        self.total_sends = 0
        self.arrivals = []
        self._events = []
        self._requests_by_ticket = {}
        self._numbers = itertools.count()
        self.upstreams = {
            f"agenda-{number}": Upstream(f"agenda-{number}")
            for number in range(UPSTREAMS)
        }
        self.tables = [self._make_table() for _ in range(ENTRY_HOSTS)]
        budget = decisions.RetryBudget(domain.Limits().retry_ratio)
        self._budgets_by_table = dict.fromkeys(self.tables, budget)

    def run(self):
        """Run until no events remain, and return the model."""
        self._schedule(0.0, self._handle_arrival)
        while self._events:
            now, _, function, args = heapq.heappop(self._events)
            function(now, *args)
        return self

    def _make_table(self):
        queue_wait_s = 0.5 if self.mechanisms.immediate_refusal else 3600.0
        accounts = [domain.ClientAccount(name, name) for name in SHARES_BY_ACCOUNT]
        unlimited = {"rate": 1e9, "concurrency": 10**9}
        configuration = domain.Configuration(
            limits=domain.Limits(queue_wait_s=queue_wait_s, queue_length=10**6),
            groups_by_name={
                GROUP: domain.UpstreamGroup(
                    GROUP, domain.UpstreamKind.SERVICE, limit=CONFIGURED_LIMIT
                )
            },
            routes_by_name={ROUTE: domain.Route(ROUTE, GROUP)},
            accounts_by_name={
                account.name: attrs.evolve(account, **unlimited) for account in accounts
            },
        )
        table = admission.SlotTable(configuration)
        table.set_upstreams(GROUP, list(self.upstreams), 0.0, ENTRY_HOSTS)
        return table

    def _schedule(self, at_s, function, *args):
        heapq.heappush(self._events, (at_s, next(self._numbers), function, args))

    def _handle_arrival(self, now):
        if now >= self.duration_s:
            return
        names, weights = zip(*SHARES_BY_ACCOUNT.items(), strict=True)
        account = self.random.choices(names, weights)[0]
        self.arrivals.append(now)
        self._start_attempt(now, account, 1)
        self._schedule(
            now + self.random.expovariate(self.rate_at(now)), self._handle_arrival
        )

    def _start_attempt(self, now, account, attempt):
        request = Request(account, now, attempt)
        table = self.random.choice(self.tables)
        self._budgets_by_table[table] = self._budgets_by_table[table].deposit()
        self._schedule(now + DEADLINE_S, self._handle_deadline, table, request)
        if not self.mechanisms.admission:
            self._send(now, table, request)
            return
        effective_account = account if self.mechanisms.fair_queue else "large"
        deadline_s = DEADLINE_S if self.mechanisms.immediate_refusal else 1e9
        result = table.request_slot(effective_account, ROUTE, deadline_s, now)
        if isinstance(result, domain.Refusal):
            self._refuse_request(now, request, result)
        elif isinstance(result, admission.Queued):
            request.ticket = result.ticket
            self._requests_by_ticket[result.ticket] = request
            self._schedule(now + result.wait_limit_s, self._time_out, table, request)
        else:
            request.ticket = result
            self._send(now, table, request)

    def _time_out(self, now, table, request):
        refusal = table.time_out(request.ticket, now)
        if refusal is not None:
            self._refuse_request(now, request, refusal)

    def _refuse_request(self, now, request, refusal):
        if request.is_finished:
            return
        request.is_finished = True
        retry_after_s = refusal.error_response().retry_after_s
        delay_s = now - request.requested_s
        self.refusals.append(
            RefusedRequest(request.account, now, delay_s, retry_after_s)
        )
        self._schedule_retry(now + retry_after_s, request)

    def _handle_deadline(self, now, table, request):
        # The caller disconnects; a request already at an upstream keeps running.
        if request.is_finished:
            return
        request.is_finished = True
        self._schedule_retry(now + RETRY_DELAY_S, request)

    def _schedule_retry(self, at_s, request):
        if request.attempt < CALLER_ATTEMPTS:
            self._schedule(
                at_s, self._start_attempt, request.account, request.attempt + 1
            )

    def _send(self, now, table, request):
        request.send_count += 1
        self.total_sends += 1
        upstream = self._choose_upstream(table, request)
        if upstream is None or len(upstream.running) >= REFUSAL_THRESHOLD:
            if upstream is not None:
                upstream.record_refusal(now)
            self._end_send(now, table, request, admission.AttemptOutcome.REFUSED, None)
            return
        upstream.advance(now)
        work_s = WORK_S * self.random.uniform(
            1 - WORK_SPREAD_RATIO, 1 + WORK_SPREAD_RATIO
        )
        running_request = (
            upstream.work_done_s + work_s,
            next(self._numbers),
            now,
            table,
            request,
        )
        heapq.heappush(upstream.running, running_request)
        self._schedule_next_end(upstream)

    def _choose_upstream(self, table, request):
        if not self.mechanisms.admission:
            return self.random.choice(list(self.upstreams.values()))
        free = table.free_by_upstream(GROUP)
        name = max(free, key=lambda each: (free[each], self.random.random()))
        return self.upstreams[name] if table.assign(request.ticket, name) else None

    def _schedule_next_end(self, upstream):
        upstream.schedule_number += 1
        if upstream.running:
            at_s = upstream.compute_next_end_s()
            self._schedule(
                at_s, self._handle_upstream_end, upstream, upstream.schedule_number
            )

    def _handle_upstream_end(self, now, upstream, schedule_number):
        if schedule_number != upstream.schedule_number:
            return
        upstream.advance(now)
        if upstream.running[0][0] > upstream.work_done_s + 1e-9:
            self._schedule_next_end(upstream)
            return
        _, _, sent_s, table, request = heapq.heappop(upstream.running)
        self._schedule_next_end(upstream)
        if not request.is_finished:
            request.is_finished = True
            self.answered.append(
                AnsweredRequest(
                    request.account,
                    request.attempt,
                    request.requested_s,
                    now,
                    now - request.requested_s,
                    sent_s - request.requested_s,
                )
            )
        self._end_send(
            now, table, request, admission.AttemptOutcome.ANSWERED, now - sent_s
        )

    def _end_send(self, now, table, request, outcome, delay_s):
        if outcome is admission.AttemptOutcome.REFUSED and self._may_retry(
            table, request
        ):
            if self.mechanisms.admission:
                table.unassign(request.ticket, outcome, None, now)
            self._schedule(now + RETRY_DELAY_S, self._send, table, request)
            return
        if outcome is admission.AttemptOutcome.REFUSED:
            kind = domain.ErrorKind.UPSTREAM_REFUSED
            self._refuse_request(
                now, request, domain.Refusal(kind, "the upstream is full")
            )
        if self.mechanisms.admission:
            self._release(now, table, request, outcome, delay_s)

    def _may_retry(self, table, request):
        if request.is_finished or request.send_count > ENTRY_RETRIES:
            return False
        if not self.mechanisms.retry_budget:
            return True
        budget = self._budgets_by_table[table]
        if budget.has_retry():
            self._budgets_by_table[table] = budget.withdraw()
        return budget.has_retry()

    def _release(self, now, table, request, outcome, delay_s):
        if not self.mechanisms.upstream_limits:
            outcome = admission.AttemptOutcome.ANSWERED
            delay_s = None
        for ticket in table.release(request.ticket, outcome, delay_s, now):
            queued = self._requests_by_ticket.pop(ticket)
            self._schedule(now + NETWORK_DELAY_S, self._send, table, queued)
