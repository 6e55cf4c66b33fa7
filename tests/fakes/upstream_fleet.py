"""Upstreams of one service, with troubles, and the platform's store that lists them."""

import threading
import time

import attrs

from tests.fakes import in_process_gateway, object_store, scripted_upstream

ROUTE = "prompts"
# Routes of plain services, whose requests have no prompt.
SAFE_ROUTE = "lookups"
UNSAFE_ROUTE = "bookings"
# Routes whose streams may resume: within a response, or only by their callers.
RESUMABLE_ROUTE = "drafts"
BROKEN_ROUTE = "letters"
EVENTS = 4
PROMPT_PREFIX = "X-Sycamorespoke-Prompt-Prefix"
REQUEST_ID = "X-Sycamorespoke-Request-Id"
# Between the first bytes of the response and the end of the process.
CRASH_DELAY_S = 0.02
ANSWER_S = 0.05


@attrs.frozen
class Arrival:
    """A request that reached an upstream.

    Parameters
    ----------
    upstream : str
        ID of the upstream.
    blocks : tuple of str
        IDs of the blocks of its prompt, if it has one.
    at_s : float
        Monotonic time, seconds.
    request_id : str
        ID that the caller chose.
    body : bytes
        Body of the request.
    resumed_after : str or None, default=None
        ID of the event after which a stream goes on.
    """

    upstream: str
    blocks: tuple[str, ...]
    at_s: float
    request_id: str
    body: bytes
    resumed_after: str | None = None


@attrs.frozen
class Crash:
    """End of an upstream.

    Parameters
    ----------
    upstream : str
        ID of the upstream.
    at_s : float
        Monotonic time, seconds.
    """

    upstream: str
    at_s: float


class UpstreamFleet:
    """Upstreams of one service, which may end, leave and state rate limits.

    Parameters
    ----------
    count : int
        Number of upstreams.
    fatal_blocks : frozenset of str
        Blocks that end each upstream that begins a response.
    fatal_bodies : frozenset of bytes
        Bodies of requests that end each upstream that begins to run them, before it
        responds.
    restart_s : float
        Time after which an upstream is back, under another ID, seconds.
    answer_s : float
        Time from the head of a response to its end, seconds.
    software_versions : sequence of str
        Versions of the upstreams' software, which they have in turn.

    Attributes
    ----------
    rate_limits_by_id : dict of str to str
        Rate limits that upstreams state in their responses, requests per second.
    leaving_ids : set of str
        Upstreams that state in their responses that they are leaving; the store lists
        them as ready.
    backoffs_by_id : dict of str to str
        Times that upstreams name when they refuse requests, which they do with all.
    failing_versions : set of str
        Software versions that respond to every second plain request with an error.
    """

    def __init__(
        self,
        count,
        fatal_blocks=frozenset(),
        fatal_bodies=frozenset(),
        restart_s=1.0,
        answer_s=ANSWER_S,
        software_versions=("v1",),
    ):
        self.software_versions = software_versions
        self.versions_by_id = {}
        self.fatal_blocks = fatal_blocks
        self.fatal_bodies = fatal_bodies
        self.restart_s = restart_s
        self.answer_s = answer_s
        self.rate_limits_by_id = {}
        self.leaving_ids = set()
        self.backoffs_by_id = {}
        self.failing_versions = set()
        self.arrivals = []
        self.crashes = []
        self.store = object_store.FakeObjectStore()
        self.store.put("config", "main", _make_configuration())
        self._lock = threading.Lock()
        self._closed = False
        self._starts = 0
        self._servers_by_id = {}
        for _ in range(count):
            self._start_one()

    def list_ids(self):
        """Return the IDs of the upstreams that run."""
        with self._lock:
            return list(self._servers_by_id)

    def list_addresses(self):
        """Return the addresses of the upstreams that run."""
        with self._lock:
            return [server.address for server in self._servers_by_id.values()]

    def crash(self, upstream_id):
        """End an upstream; it is back after ``restart_s``."""
        with self._lock:
            server = self._servers_by_id.pop(upstream_id, None)
        if server is None:
            return
        self.crashes.append(Crash(upstream_id, time.monotonic()))
        server.crash()
        restart = threading.Timer(self.restart_s, self._restart, (upstream_id,))
        restart.daemon = True
        restart.start()

    def list_body_arrivals(self, body, since_s=float("-inf")):
        """Return the arrivals of requests with a body after a time."""
        return [
            each
            for each in list(self.arrivals)
            if each.body == body and each.at_s > since_s
        ]

    def list_arrivals(self, block, since_s=float("-inf")):
        """Return the arrivals of requests with a block after a time."""
        return [
            each
            for each in list(self.arrivals)
            if block in each.blocks and each.at_s > since_s
        ]

    def list_arrival_times(self, upstream_id, since_s):
        """Return when requests reached an upstream after a time."""
        return [
            each.at_s
            for each in list(self.arrivals)
            if each.upstream == upstream_id and each.at_s > since_s
        ]

    def start_version(self, version, count):
        """Start upstreams of another software version beside those that run."""
        self.software_versions = (version,)
        for _ in range(count):
            self._start_one()

    def stop_version(self, version):
        """Stop all upstreams of a software version at once, without draining."""
        for upstream_id in self.list_ids():
            if self.versions_by_id[upstream_id] == version:
                with self._lock:
                    server = self._servers_by_id.pop(upstream_id)
                server.crash()
                self.store.delete("servers", upstream_id)

    def close(self):
        """Close the upstreams and the store."""
        with self._lock:
            self._closed = True
            servers = list(self._servers_by_id.values())
            self._servers_by_id.clear()
        for server in servers:
            server.close()
        self.store.close()

    def _restart(self, ended_id):
        self.store.delete("servers", ended_id)
        self._start_one()

    def _start_one(self):
        with self._lock:
            if self._closed:
                return
            self._starts += 1
            upstream_id = f"i-{self._starts}"
            server = scripted_upstream.ScriptedUpstream(
                lambda request: self._serve(upstream_id, request), upstream_id
            )
            self._servers_by_id[upstream_id] = server
        spec = {"Service": "s", "Address": server.address, "Zone": "dc-1", "Slots": 8}
        version = self.software_versions[self._starts % len(self.software_versions)]
        self.versions_by_id[upstream_id] = version
        ready = {"State": "ready", "Version": version, "ColdRemainingMs": 0}
        self.store.put("servers", upstream_id, {**spec, **ready})

    def _serve(self, upstream_id, request):
        prefix = request.headers.get(PROMPT_PREFIX, "")
        blocks = tuple(entry.partition(":")[0] for entry in prefix.split(","))
        request_id = request.headers[REQUEST_ID]
        at_s = time.monotonic()
        self.arrivals.append(
            Arrival(
                upstream_id,
                blocks,
                at_s,
                request_id,
                request.body,
                request.headers.get("Last-Event-Id"),
            )
        )
        if request.path.startswith((f"/{RESUMABLE_ROUTE}/", f"/{BROKEN_ROUTE}/")):
            _serve_resumable(request)
            return
        if upstream_id in self.backoffs_by_id:
            backoff = self.backoffs_by_id[upstream_id]
            refusal = {"X-Sycamorespoke-Not-Run": "1", "Retry-After": backoff}
            scripted_upstream.respond(request, 503, b"", **refusal)
            return
        if request.body in self.fatal_bodies:
            time.sleep(CRASH_DELAY_S)
            self.crash(upstream_id)
            return
        is_failing = self.versions_by_id[upstream_id] in self.failing_versions
        if not prefix and is_failing and len(self.arrivals) % 2:
            scripted_upstream.respond(request, 500, b"failed")
            return
        if not prefix:
            time.sleep(self.answer_s)
            scripted_upstream.respond(request)
            return
        headers = {}
        if upstream_id in self.rate_limits_by_id:
            headers["Server-Limit"] = self.rate_limits_by_id[upstream_id]
        if upstream_id in self.leaving_ids:
            headers["Server-Leaving"] = "1"
        scripted_upstream.start_stream(request, **headers)
        if self.fatal_blocks.intersection(blocks[:-1]):
            time.sleep(CRASH_DELAY_S)
            self.crash(upstream_id)
            return
        time.sleep(self.answer_s)
        scripted_upstream.send_events(request, 1, 2)
        scripted_upstream.send_chunk(request, b"")


def _serve_resumable(request):
    """Break a stream off after half of its events; send the rest if it goes on."""
    first = int(request.headers.get("Last-Event-Id") or 0) + 1
    scripted_upstream.start_stream(request)
    if first == 1:
        scripted_upstream.send_events(request, 1, EVENTS // 2)
        scripted_upstream.abort(request)
        return
    scripted_upstream.send_events(request, first, EVENTS)
    scripted_upstream.send_chunk(request, b"")


def _make_route(name, kind, **changes):
    return {
        "Name": name,
        "Host": in_process_gateway.HOST,
        "PathPrefix": f"/{name}/",
        "Kind": kind,
        "TimeoutMs": 3000,
        "TargetLatencyMs": 500,
        "Priority": 0,
        "Service": "s",
        "MaxAttempts": 1,
        **changes,
    }


def _make_configuration():
    return {
        "Version": 1,
        "Routes": [
            _make_route(ROUTE, "streaming", Sticky=True),
            _make_route(SAFE_ROUTE, "safe", MaxAttempts=2),
            _make_route(UNSAFE_ROUTE, "unsafe"),
            _make_route(RESUMABLE_ROUTE, "streaming", Resumable=True, MaxAttempts=5),
            _make_route(BROKEN_ROUTE, "streaming", Resumable=True),
        ],
        "Services": [{"Name": "s", "MaxConns": 200}],
        "Tenants": [{"Name": "t", "ApiKeys": [in_process_gateway.API_KEY]}],
    }
