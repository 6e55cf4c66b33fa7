"""Upstreams that log the requests they run and can misbehave."""

import enum
import random
import re
import time
import weakref

from tests.fakes import scripted_upstream
from tests.soak import proxy, run_log

EVENT_COUNT = 4
STREAM_PATHS = ("/stream/", "/once/", "/prompt/", "/prompt-once/")
EVENT_PAUSE_S = 0.05
WORK_S = 0.02
SLOW_S = 0.4


class Behaviour(enum.Enum):
    """Behaviour of an upstream towards its requests."""

    NORMAL = "normal"
    ERROR = "error"
    FULL = "full"
    CUT = "cut"
    SLOW = "slow"
    UNFRAMED = "unframed"
    CUT_UNFRAMED = "cut unframed"
    CUT_HEAD = "cut head"
    ENDLESS_HEAD = "endless head"
    ENDLESS_BODY = "endless body"
    ENDLESS_FAST_BODY = "endless fast body"
    RATE_LIMIT = "rate limit"
    OVERLOADED = "overloaded"
    ERROR_IN_STREAM = "error in stream"
    ERROR_FOR_CONTINUATION = "error for continuation"
    COPIED_REFUSAL = "copied refusal"


ENDLESS_BEHAVIOURS = frozenset(
    {
        Behaviour.ENDLESS_HEAD,
        Behaviour.ENDLESS_BODY,
        Behaviour.ENDLESS_FAST_BODY,
    }
)
ENDLESS_PAUSE_S = 0.005
FAST_BLOCK = b"x" * 65536
RATE_LIMIT_PER_S = "3.5"
BACKOFF_S = 4.0
CONTINUATION_STATUSES = (200, 404, 500)
FATAL_NAME = "fatal"
LEAVING_HEADER = "Server-Leaving"
ERROR_IN_STREAM = b"HTTP/1.1 500 Fault\r\nContent-Length: 5\r\n\r\nfault"
UNFRAMED_BEHAVIOURS = frozenset({Behaviour.UNFRAMED, Behaviour.CUT_UNFRAMED})


class Upstream:
    """Upstream behind a proxy.

    Parameters
    ----------
    number : int
        Number of the upstream. Its ID also has the number of the start, so each
        restart has another ID.
    log : run_log.RunLog
        Log to which the upstream adds its runs.
    end : callable
        Called with the upstream when a request ends it.
    """

    service = "s"

    def __init__(self, number, log, end):
        self.number = number
        self.log = log
        self.end = end
        self.starts = 1
        self.state = "ready"
        self.behaviour = Behaviour.NORMAL
        self.is_leaving = False
        # Connections whose first request got a refusal that names no request.
        self._refused = weakref.WeakSet()
        # Start and end of each fault of the link, monotonic times in seconds.
        self.link_faults = []
        self.server = scripted_upstream.ScriptedUpstream(self._handle_request)
        self.proxy = proxy.LoopbackProxy(self.server.address)

    @property
    def id(self):
        """ID of the upstream since its last restart."""
        return f"i-{self.number}-{self.starts}"

    @property
    def software_version(self):
        """Software version, which changes with each start."""
        return f"v{(self.number + self.starts) % 2 + 1}"

    def restart(self):
        """Begin the next start, which has another ID."""
        self.proxy.reset_all()
        self.is_leaving = False
        self.state = "ready"
        self.starts += 1

    def make_registration(self):
        """Return the object that registers the upstream in the platform's store."""
        return {
            "Service": self.service,
            "Address": self.proxy.address,
            "Zone": "dc-1",
            "Slots": 16,
            "State": self.state,
            "Version": self.software_version,
            "ColdRemainingMs": 0,
            "born": self.starts,
        }

    def disturb_link(self, mode):
        """Begin a fault of the link."""
        self.link_faults.append([time.monotonic(), float("inf")])
        self.proxy.set_mode(mode)

    def restore_link(self):
        """End the faults of the link."""
        self.proxy.set_mode(proxy.Mode.PASS)
        for fault in self.link_faults:
            fault[1] = min(fault[1], time.monotonic())

    def close(self):
        """Close the proxy and the server."""
        self.proxy.close()
        self.server.close()

    def _handle_request(self, request):
        upstream_id = self.id
        expected = request.headers.get("X-Sycamorespoke-Expect-Instance", upstream_id)
        if expected != upstream_id:
            scripted_upstream.respond(request, 421, b"", X_Sycamorespoke_Not_Run="1")
            return
        if request.path.endswith(FATAL_NAME):
            self.end(self)
            scripted_upstream.abort(request)
        headers = self._make_headers()
        if self.behaviour is Behaviour.FULL:
            headers["X-Sycamorespoke-Not-Run"] = "1"
            scripted_upstream.respond(request, 503, b"", **headers)
            return
        request_id = request.headers["X-Sycamorespoke-Request-Id"]
        if self.behaviour is Behaviour.OVERLOADED:
            refusal = run_log.Refusal(request_id, upstream_id, time.monotonic())
            self.log.add_refusal(refusal)
            headers |= {"X-Sycamorespoke-Not-Run": "1", "Retry-After": str(BACKOFF_S)}
            scripted_upstream.respond(request, 503, b"", **headers)
            return
        is_copying = self.behaviour is Behaviour.COPIED_REFUSAL
        if is_copying and request not in self._refused:
            self._refused.add(request)
            _refuse_unnamed(request)
            return
        says_leaving = LEAVING_HEADER in headers
        self.log.add(self._make_run(request, upstream_id, says_leaving))
        if is_copying:
            _refuse_unnamed(request)
        if self.behaviour is Behaviour.ERROR:
            scripted_upstream.respond(request, 500, b"fault", **headers)
            return
        if self.behaviour is Behaviour.ERROR_FOR_CONTINUATION and _is_resent(request):
            status = random.Random(request_id).choice(CONTINUATION_STATUSES)
            scripted_upstream.respond(request, status, b"fault", **headers)
            return
        time.sleep(SLOW_S if self.behaviour is Behaviour.SLOW else WORK_S)
        if self.behaviour is Behaviour.CUT_HEAD:
            _send_cut_head(request, request_id)
        elif self.behaviour in ENDLESS_BEHAVIOURS:
            self._send_endless(request, request_id)
        elif request.path.startswith(STREAM_PATHS):
            if self.behaviour in UNFRAMED_BEHAVIOURS:
                self._stream_unframed(request, request_id)
            else:
                self._stream(request, request_id, headers)
        elif self.behaviour is Behaviour.UNFRAMED:
            _send_cut_head(request, request_id, rest=b"\r\n" + make_body(request_id))
        elif self.behaviour in (Behaviour.CUT, Behaviour.CUT_UNFRAMED):
            scripted_upstream.abort(request)
        else:
            body = make_body(request_id)
            scripted_upstream.respond(request, body=body, **headers)

    def _make_run(self, request, upstream_id, says_leaving):
        request_id = request.headers["X-Sycamorespoke-Request-Id"]
        return run_log.Run(
            request_id,
            upstream_id,
            time.monotonic(),
            says_leaving,
            account=request.headers.get("X-Sycamorespoke-Tenant-Id", ""),
            cache_scope=request.headers.get("X-Sycamorespoke-Cache-Salt", ""),
        )

    def _make_headers(self):
        headers = {}
        if self.behaviour is Behaviour.RATE_LIMIT:
            headers["Server-Limit"] = RATE_LIMIT_PER_S
        if self.is_leaving:
            headers[LEAVING_HEADER] = "1"
        return headers

    def _send_endless(self, request, request_id):
        """Send bytes that are no response until the gateway closes the connection."""
        is_body = self.behaviour is not Behaviour.ENDLESS_HEAD
        is_fast = self.behaviour is Behaviour.ENDLESS_FAST_BODY
        _send_cut_head(request, request_id, rest=b"\r\n" if is_body else b"")
        while is_fast:
            request.wfile.write(FAST_BLOCK)
        while True:
            request.wfile.write(b"x" * 512)
            time.sleep(ENDLESS_PAUSE_S)

    def _stream_unframed(self, request, request_id):
        version = self.software_version
        scripted_upstream.start_unframed_stream(request)
        first = int(request.headers.get("Last-Event-Id") or 0) + 1
        # The cut is at any byte of any event, but not between two events.
        generator = random.Random(request_id)
        cut_number = generator.randint(first, EVENT_COUNT)
        for number in range(first, EVENT_COUNT + 1):
            event = encode_event(request_id, number, version)
            if self.behaviour is Behaviour.CUT_UNFRAMED and number == cut_number:
                request.wfile.write(event[: generator.randrange(1, len(event))])
                return
            request.wfile.write(event)
            time.sleep(EVENT_PAUSE_S)

    def _stream(self, request, request_id, headers):
        version = self.software_version
        scripted_upstream.start_stream(request, **headers)
        first = int(request.headers.get("Last-Event-Id") or 0) + 1
        for number in range(first, EVENT_COUNT + 1):
            if self.behaviour is Behaviour.CUT and number == EVENT_COUNT:
                scripted_upstream.send_chunk(request, b"id: ")
                scripted_upstream.abort(request)
            if self.behaviour is Behaviour.ERROR_IN_STREAM and number == EVENT_COUNT:
                scripted_upstream.send_chunk(request, ERROR_IN_STREAM)
                break
            event = encode_event(request_id, number, version)
            scripted_upstream.send_chunk(request, event)
            time.sleep(EVENT_PAUSE_S)
        scripted_upstream.send_chunk(request, b"")


def _is_resent(request):
    """Return whether a host continues a stream that it has begun for its caller."""
    is_continued = "Last-Event-Id" in request.headers
    return is_continued and "Resumes" not in request.headers


def _refuse_unnamed(request):
    headers = {"X-Sycamorespoke-Not-Run": "1", "Content-Length": "0"}
    scripted_upstream.send_head(request, 503, headers)


def _send_cut_head(request, request_id, rest=b""):
    """Send headers without the empty line after them, then ``rest``, and close."""
    lines = [
        "HTTP/1.1 200 OK",
        f"X-Sycamorespoke-Request-Id: {request_id}",
        f"{scripted_upstream.RESPONSE_STAMP}: stamp",
        "",
    ]
    request.wfile.write("\r\n".join(lines).encode() + rest)
    request.close_connection = True


def make_body(request_id):
    """Return the complete response body of a request."""
    return f"answer to {request_id}".encode()


def encode_event(request_id, number, version):
    """Return one event of the stream of a request, with the software version."""
    return f"id: {number}\ndata: {request_id} {version}\n\n".encode()


def list_versions(body):
    """Return the software versions in the events of a stream as a set."""
    return set(re.findall(rb" (v\d)\n", body))


def make_stream(request_id, first=1, version="v1"):
    """Return the complete stream of a request from an event on."""
    return b"".join(
        encode_event(request_id, number, version)
        for number in range(first, EVENT_COUNT + 1)
    )
