"""Discrete-event model of engines, links and a store.

An engine prefills prompts one at a time and generates tokens concurrently; its
cache evicts the least recently used blocks. Load reports arrive late. After a
request ends, the blocks of its prompt are exported over the engine's link.
"""

import collections
import heapq
import itertools

import attrs

from sycamorespoke import decisions, domain

REPORT_INTERVAL_S = 0.25
REPORT_LAG_S = 0.25
BLOCK_BYTES = 4_000_000
TOKEN_S = 0.02


@attrs.frozen
class Site:
    """Size and workload of a deployment.

    Parameters
    ----------
    name : str
        Name in the table.
    engines_by_name : dict of str to str
        Data centres by name of the engine.
    cost_weights : domain.CostWeights
        Weights of the cost terms.
    arrivals_per_s : float
        Requests per second.
    conversations : int
        Number of concurrent conversations, whose prompts grow.
    cache_blocks : int, default=60
        Blocks that the cache of each engine holds.
    prefill_tokens_per_s : float, default=20000.0
        Prefill speed of each engine.
    limit : int, default=8
        Maximum number of requests that run on an engine.
    link_bytes_per_s : float, default=400e6
        Bandwidth of each engine's link.
    """

    name: str
    engines_by_name: dict
    cost_weights: domain.CostWeights
    arrivals_per_s: float
    conversations: int
    cache_blocks: int = 60
    prefill_tokens_per_s: float = 20000.0
    limit: int = 8
    link_bytes_per_s: float = 400e6


@attrs.define
class Engine:
    """State of one engine."""

    host: domain.Host
    running: int = 0
    prefill_free_s: float = 0.0
    link_free_s: float = 0.0
    queue: collections.deque = attrs.field(factory=collections.deque)
    cache: collections.OrderedDict = attrs.field(factory=collections.OrderedDict)
    report: domain.LoadReport | None = None
    sent_since_report: int = 0
    running_here: int = 0
    pending_tokens: int = 0


@attrs.define
class Request:
    """One request of a conversation."""

    conversation: int
    blocks: int
    tail_tokens: int
    output_tokens: int
    arrived_s: float
    returning_blocks: int
    uncached_tokens: int = 0

    @property
    def prompt_tokens(self):
        """Number of tokens of the prompt."""
        return self.blocks * domain.BLOCK_TOKENS + self.tail_tokens

    def list_keys(self):
        """Return the keys of the prompt's full blocks, in order."""
        return [(self.conversation, number) for number in range(self.blocks)]


class Model:
    """Model of a site with one routing policy.

    Parameters
    ----------
    site : Site
        Simulated deployment.
    requests : list of Request
        Requests in order of arrival.
    policy : callable
        Routing policy. Takes the model, a request and the time; returns an engine
        and whether to import the stored blocks to it.
    """

    def __init__(self, site, requests, policy):
        self.site = site
        self.requests = requests
        self.policy = policy
        self.group = domain.UpstreamGroup(
            "scribe",
            domain.UpstreamKind.MODEL,
            limit=site.limit,
            prefill_tokens_per_s=site.prefill_tokens_per_s,
        )
        self.engines = [
            Engine(domain.Host(name, centre, domain.HostRole.UPSTREAM, ""))
            for name, centre in site.engines_by_name.items()
        ]
        self.stored_s_by_key = {}
        self.first_token_waits_s = []
        self.recomputed_tokens = 0
        self.returning_tokens = 0
        self.link_bytes = 0
        self._events = []
        self._numbers = itertools.count()

    def run(self):
        """Run every request to its end and return the model."""
        for request in self.requests:
            self._schedule(request.arrived_s, self._handle_arrival, request)
        self._schedule(0.0, self._send_reports)
        while self._events:
            now, _, function, args = heapq.heappop(self._events)
            function(now, *args)
        return self

    def count_cached(self, engine, request):
        """Return the number of leading blocks that an engine caches."""
        for number, key in enumerate(request.list_keys()):
            if key not in engine.cache:
                return number
        return request.blocks

    def count_stored(self, request, now):
        """Return the number of leading blocks that the store holds."""
        for number, key in enumerate(request.list_keys()):
            if self.stored_s_by_key.get(key, float("inf")) > now:
                return number
        return request.blocks

    def estimate_transfer_s(self, engine, blocks, now):
        """Return the seconds to import blocks, including the wait for the link."""
        wait_s = max(0.0, engine.link_free_s - now)
        return wait_s + blocks * BLOCK_BYTES / self.site.link_bytes_per_s

    def make_candidate(self, engine, request, now, use_store):
        """Return the routing candidate of an engine, from what an entry host knows."""
        cached = self.count_cached(engine, request)
        stored = self.count_stored(request, now) if use_store else 0
        stored = max(stored, cached)
        return decisions.Candidate(
            host=engine.host,
            group=self.group,
            report=engine.report,
            sent_since_report=engine.sent_since_report,
            running_here=engine.running_here,
            pending_prefill_tokens=engine.pending_tokens,
            cached_blocks=cached,
            stored_blocks=stored,
            transfer_s=self.estimate_transfer_s(engine, stored - cached, now),
            delay_s=0.001,
        )

    def _schedule(self, at_s, function, *args):
        heapq.heappush(self._events, (at_s, next(self._numbers), function, args))

    def _send_reports(self, now):
        for engine in self.engines:
            report = domain.LoadReport(
                "boot", engine.running, len(engine.queue), "v1", True, now
            )
            self._schedule(now + REPORT_LAG_S, self._handle_report, engine, report)
        if now < self.requests[-1].arrived_s:
            self._schedule(now + REPORT_INTERVAL_S, self._send_reports)

    def _handle_report(self, now, engine, report):
        engine.report = report
        engine.sent_since_report = 0

    def _handle_arrival(self, now, request):
        engine, imports = self.policy(self, request, now)
        engine.sent_since_report += 1
        engine.running_here += 1
        ready_s = now
        if imports:
            ready_s = self._import(engine, request, now)
        engine.pending_tokens += self._count_uncached(engine, request)
        self._schedule(ready_s, self._enqueue, engine, request)

    def _import(self, engine, request, now):
        cached = self.count_cached(engine, request)
        stored = self.count_stored(request, now)
        size_bytes = (stored - cached) * BLOCK_BYTES
        ready_s = now + self.estimate_transfer_s(engine, stored - cached, now)
        engine.link_free_s = ready_s
        self.link_bytes += size_bytes
        self._mark_used(engine, request.list_keys()[:stored])
        return ready_s

    def _enqueue(self, now, engine, request):
        engine.queue.append(request)
        self._start_queued(now, engine)

    def _start_queued(self, now, engine):
        while engine.queue and engine.running < self.site.limit:
            request = engine.queue.popleft()
            engine.running += 1
            cached = self.count_cached(engine, request)
            request.uncached_tokens = self._count_uncached(engine, request)
            recomputed_blocks = max(0, request.returning_blocks - cached)
            self.recomputed_tokens += recomputed_blocks * domain.BLOCK_TOKENS
            self.returning_tokens += request.returning_blocks * domain.BLOCK_TOKENS
            start_s = max(now, engine.prefill_free_s)
            first_s = start_s + request.uncached_tokens / self.site.prefill_tokens_per_s
            engine.prefill_free_s = first_s
            self._schedule(first_s, self._handle_first_token, engine, request)

    def _handle_first_token(self, now, engine, request):
        self.first_token_waits_s.append(now - request.arrived_s)
        engine.pending_tokens = max(0, engine.pending_tokens - request.uncached_tokens)
        self._mark_used(engine, request.list_keys())
        end_s = now + request.output_tokens * TOKEN_S
        self._schedule(end_s, self._handle_end, engine, request)

    def _handle_end(self, now, engine, request):
        engine.running -= 1
        engine.running_here -= 1
        self._export(now, engine, request)
        self._start_queued(now, engine)

    def _export(self, now, engine, request):
        missing_keys = [
            key for key in request.list_keys() if key not in self.stored_s_by_key
        ]
        size_bytes = len(missing_keys) * BLOCK_BYTES
        engine.link_free_s = max(now, engine.link_free_s)
        engine.link_free_s += size_bytes / self.site.link_bytes_per_s
        self.link_bytes += size_bytes
        for key in missing_keys:
            self.stored_s_by_key[key] = engine.link_free_s

    def _count_uncached(self, engine, request):
        cached_tokens = self.count_cached(engine, request) * domain.BLOCK_TOKENS
        return request.prompt_tokens - cached_tokens

    def _mark_used(self, engine, keys):
        for key in keys:
            engine.cache[key] = None
            engine.cache.move_to_end(key)
        while len(engine.cache) > self.site.cache_blocks:
            engine.cache.popitem(last=False)
