"""Event-driven model of upstreams, entry hosts and callers under overload.

The admission of each entry host is the real `admission.SlotTable`; upstreams and
callers are modelled, and the time is given, so that a seed gives one result.
"""

import heapq
import itertools
import random

import attrs

from sycamorespoke import admission, decisions, world

ROUTE = "jobs"
GROUP = "agenda"
UPSTREAMS = 3
ENTRY_HOSTS = 3
BEST_CONCURRENCY = 10
REFUSES_ABOVE = 20
REFUSAL_WORK_S = 0.002
WORK_S = 0.2
WORK_SPREAD = 0.5
CAPACITY = UPSTREAMS * BEST_CONCURRENCY / WORK_S
CONFIGURED_LIMIT = 32
DEADLINE_S = 2.0
CALLER_ATTEMPTS = 3
ENTRY_RETRIES = 2
RETRY_PAUSE_S = 0.1
NETWORK_DELAY_S = 0.001
SHARES_BY_ACCOUNT = {"large": 0.85, "small-1": 0.05, "small-2": 0.05, "small-3": 0.05}


@attrs.frozen
class Mechanisms:
    """Which mechanisms are on."""

    admission: bool = True
    fair_queue: bool = True
    upstream_limits: bool = True
    refusal_at_once: bool = True
    retry_budget: bool = True


@attrs.define(eq=False)
class Request:
    """One attempt of a caller; ``sends`` counts those of its entry host."""

    account: str
    asked_s: float
    attempt: int
    sends: int = 0
    ticket: object = None
    is_settled: bool = False


@attrs.frozen
class Answered:
    """An answer in time, with the wait before it was sent."""

    account: str
    attempt: int
    asked_s: float
    at_s: float
    delay_s: float
    wait_s: float


@attrs.frozen
class Refused:
    """A refusal, with its delay since the request came."""

    account: str
    at_s: float
    delay_s: float
    retry_after_s: int


class Upstream:
    """Processor sharing that loses throughput above its best concurrency."""

    def __init__(self, name):
        self.name = name
        self.running = []
        self.work_done = 0.0
        self.updated_s = 0.0
        self.version = 0

    def advance(self, now):
        """Let the running requests work until ``now``."""
        self.work_done += (now - self.updated_s) * self.rate()
        self.updated_s = now

    def refuse(self, now):
        """Spend work on a refusal."""
        self.advance(now)
        self.work_done -= REFUSAL_WORK_S

    def rate(self):
        """Return the work per second that each running request gets."""
        count = len(self.running)
        if count <= BEST_CONCURRENCY:
            return 1.0
        loss = 1.0 + (count - BEST_CONCURRENCY) / (2.0 * BEST_CONCURRENCY)
        return BEST_CONCURRENCY / count / loss

    def next_end_s(self):
        """Return when the first of the running requests ends."""
        left = max(self.running[0][0] - self.work_done, 0.0)
        return self.updated_s + left / self.rate()


class Model:
    """One run of the model.

    Parameters
    ----------
    mechanisms : Mechanisms
        What is on.
    rate_at : callable
        Offered first attempts per second at a time in seconds.
    duration_s : float
        Seconds until no further first attempts come.
    seed : int
        Seed of the arrivals and the work.
    """

    def __init__(self, mechanisms, rate_at, duration_s, seed):
        self.mechanisms = mechanisms
        self.rate_at = rate_at
        self.duration_s = duration_s
        self.random = random.Random(seed)
        self.answers = []
        self.refusals = []
        self.sent = 0
        self.arrivals = []
        self._events = []
        self._requests_by_ticket = {}
        self._numbers = itertools.count()
        self.upstreams = {
            f"agenda-{number}": Upstream(f"agenda-{number}")
            for number in range(UPSTREAMS)
        }
        self.tables = [self._make_table() for _ in range(ENTRY_HOSTS)]
        budget = decisions.RetryBudget(world.Limits().retry_ratio)
        self._budgets_by_table = dict.fromkeys(self.tables, budget)

    def run(self):
        """Run until every event is over."""
        self._at(0.0, self._arrive)
        while self._events:
            now, _, function, args = heapq.heappop(self._events)
            function(now, *args)
        return self

    def _make_table(self):
        queue_wait_s = 0.5 if self.mechanisms.refusal_at_once else 3600.0
        accounts = [world.ClientAccount(name, name) for name in SHARES_BY_ACCOUNT]
        unbound = {"rate": 1e9, "concurrency": 10**9}
        configuration = world.Configuration(
            limits=world.Limits(queue_wait_s=queue_wait_s, queue_length=10**6),
            groups_by_name={
                GROUP: world.UpstreamGroup(
                    GROUP, world.UpstreamKind.SERVICE, limit=CONFIGURED_LIMIT
                )
            },
            routes_by_name={ROUTE: world.Route(ROUTE, GROUP)},
            accounts_by_name={
                account.name: attrs.evolve(account, **unbound) for account in accounts
            },
        )
        table = admission.SlotTable(configuration)
        table.set_upstreams(GROUP, list(self.upstreams), 0.0, ENTRY_HOSTS)
        return table

    def _at(self, at_s, function, *args):
        heapq.heappush(self._events, (at_s, next(self._numbers), function, args))

    def _arrive(self, now):
        if now >= self.duration_s:
            return
        names, weights = zip(*SHARES_BY_ACCOUNT.items(), strict=True)
        account = self.random.choices(names, weights)[0]
        self.arrivals.append(now)
        self._ask(now, account, 1)
        self._at(now + self.random.expovariate(self.rate_at(now)), self._arrive)

    def _ask(self, now, account, attempt):
        request = Request(account, now, attempt)
        table = self.random.choice(self.tables)
        self._budgets_by_table[table] = self._budgets_by_table[table].deposit()
        self._at(now + DEADLINE_S, self._expire, table, request)
        if not self.mechanisms.admission:
            self._send(now, table, request)
            return
        asked_as = account if self.mechanisms.fair_queue else "large"
        deadline_s = DEADLINE_S if self.mechanisms.refusal_at_once else 1e9
        result = table.request_slot(asked_as, ROUTE, deadline_s, now)
        if isinstance(result, world.Refusal):
            self._refuse(now, request, result)
        elif isinstance(result, admission.Queued):
            request.ticket = result.ticket
            self._requests_by_ticket[result.ticket] = request
            self._at(now + result.wait_limit_s, self._give_up, table, request)
        else:
            request.ticket = result
            self._send(now, table, request)

    def _give_up(self, now, table, request):
        refusal = table.time_out(request.ticket, now)
        if refusal is not None:
            self._refuse(now, request, refusal)

    def _refuse(self, now, request, refusal):
        if request.is_settled:
            return
        request.is_settled = True
        retry_after_s = refusal.error_response().retry_after_s
        delay_s = now - request.asked_s
        self.refusals.append(Refused(request.account, now, delay_s, retry_after_s))
        self._come_again(now + retry_after_s, request)

    def _expire(self, now, table, request):
        # The caller gives up; what runs for it runs on.
        if request.is_settled:
            return
        request.is_settled = True
        self._come_again(now + RETRY_PAUSE_S, request)

    def _come_again(self, at_s, request):
        if request.attempt < CALLER_ATTEMPTS:
            self._at(at_s, self._ask, request.account, request.attempt + 1)

    def _send(self, now, table, request):
        request.sends += 1
        self.sent += 1
        upstream = self._choose(table, request)
        if upstream is None or len(upstream.running) >= REFUSES_ABOVE:
            if upstream is not None:
                upstream.refuse(now)
            self._end(now, table, request, admission.AttemptOutcome.REFUSED, None)
            return
        upstream.advance(now)
        work_s = WORK_S * self.random.uniform(1 - WORK_SPREAD, 1 + WORK_SPREAD)
        item = (upstream.work_done + work_s, next(self._numbers), now, table, request)
        heapq.heappush(upstream.running, item)
        self._schedule_end(upstream)

    def _choose(self, table, request):
        if not self.mechanisms.admission:
            return self.random.choice(list(self.upstreams.values()))
        free = table.free_by_upstream(GROUP)
        name = max(free, key=lambda each: (free[each], self.random.random()))
        return self.upstreams[name] if table.assign(request.ticket, name) else None

    def _schedule_end(self, upstream):
        upstream.version += 1
        if upstream.running:
            at_s = upstream.next_end_s()
            self._at(at_s, self._finish, upstream, upstream.version)

    def _finish(self, now, upstream, version):
        if version != upstream.version:
            return
        upstream.advance(now)
        if upstream.running[0][0] > upstream.work_done + 1e-9:
            self._schedule_end(upstream)
            return
        _, _, sent_s, table, request = heapq.heappop(upstream.running)
        self._schedule_end(upstream)
        if not request.is_settled:
            request.is_settled = True
            self.answers.append(
                Answered(
                    request.account,
                    request.attempt,
                    request.asked_s,
                    now,
                    now - request.asked_s,
                    sent_s - request.asked_s,
                )
            )
        self._end(now, table, request, admission.AttemptOutcome.ANSWERED, now - sent_s)

    def _end(self, now, table, request, outcome, delay_s):
        if outcome is admission.AttemptOutcome.REFUSED and self._may_retry(
            table, request
        ):
            if self.mechanisms.admission:
                table.unassign(request.ticket, outcome, None, now)
            self._at(now + RETRY_PAUSE_S, self._send, table, request)
            return
        if outcome is admission.AttemptOutcome.REFUSED:
            kind = world.ErrorKind.UPSTREAM_REFUSED
            self._refuse(now, request, world.Refusal(kind, "the upstream is full"))
        if self.mechanisms.admission:
            self._release(now, table, request, outcome, delay_s)

    def _may_retry(self, table, request):
        if request.is_settled or request.sends > ENTRY_RETRIES:
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
            self._at(now + NETWORK_DELAY_S, self._send, table, queued)
