"""Gateway processes and crowds of callers that do not behave.

Each test asks for what does not depend on the speed of the machine: the process lives,
its memory and descriptors stay under their limits, and ordinary requests are answered
while the crowd holds its connections.
"""

import collections
import http.client
import os
import pathlib
import threading
import time

import pytest

from tests.fakes import (
    free_ports,
    hostile_crowd,
    in_process_gateway,
    object_store,
    scripted_upstream,
)
from tests.platform import test_endless_bodies, test_program

pytestmark = pytest.mark.processes
LOOPBACK = "127.0.0.1"
MEMORY_MB = 100
KB_PER_MB = 1000
# Room for 150 callers, and for some thousand: the limits of the settings are small, so
# that a small crowd reaches them.
NARROW, WIDE = 600, 2_500
NARROW_CROWD, WIDE_CROWD = 200, 1_000
LIMITS = {
    "MaxHeaderBytes": 65_536,
    "MaxBodyBytes": 1_000_000,
    "HeaderTimeoutMs": 30_000,
    "IdleTimeoutMs": 60_000,
}
BODY = b"x" * 20_000
ANSWER = b"y" * 60_000
SETTLE_S = 10.0
# As patient as ordinary callers, which try again on new connections.
ANSWER_S, ATTEMPT_S, PAUSE_S = 12.0, 3.0, 0.2
PATHS = {
    "route": ("listen", "/s-safe/large"),
    "no route": ("listen", "/nowhere"),
    "ready": ("ready", "/sycamorespoke/ready"),
    "forward": ("forward", "/s-safe/large"),
}


def make_head(path, *fields, method="POST"):
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {in_process_gateway.HOST}",
        "X-Sycamorespoke-Request-Id: crowd",
        f"Authorization: Bearer {in_process_gateway.API_KEY}",
        *fields,
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def plan_body(path, size, **options):
    """A body that stops one byte short of its end."""
    head = make_head(path, f"Content-Length: {size}")
    return hostile_crowd.Plan(head + b"x" * (size - 1), **options)


def plan_chunks(path, chunk_bytes, count):
    head = make_head(path, "Transfer-Encoding: chunked")
    chunk = b"%x\r\n%s\r\n" % (chunk_bytes, b"x" * chunk_bytes)
    return hostile_crowd.Plan(head + chunk * count)


def plan_endless(path, *fields, block):
    head = make_head(path, *fields)
    return hostile_crowd.Plan(head + block, repeats_from=len(head))


def plan_fields(path, line, count):
    fields = [line % number for number in range(count)]
    head = make_head(path, "Content-Length: 2", *fields)
    return hostile_crowd.Plan(head + b"x")


def plan_ahead(path, count):
    head = make_head(path, method="GET")
    return hostile_crowd.Plan(head * count)


PLANS = {
    "silent": lambda path: hostile_crowd.Plan(b""),
    "half heads": lambda path: hostile_crowd.Plan(make_head(path)[:-2]),
    "slow heads": lambda path: hostile_crowd.Plan(
        make_head(path) * 2, piece_bytes=1, pause_s=0.3
    ),
    "slow bodies": lambda path: plan_body(path, 60_000, piece_bytes=1, pause_s=0.3),
    "bodies": lambda path: plan_body(path, 60_000),
    "large bodies": lambda path: plan_body(path, 500_000),
    "bodies in pieces": lambda path: plan_body(path, 60_000, piece_bytes=1_400),
    "chunks": lambda path: plan_chunks(path, 500, 118),
    "short chunks": lambda path: plan_chunks(path, 1, 9_000),
    "chunk line": lambda path: plan_endless(
        path, "Transfer-Encoding: chunked", block=b"0" * 8_192
    ),
    "trailer": lambda path: hostile_crowd.Plan(
        make_head(path, "Transfer-Encoding: chunked") + b"0\r\n" + b"a: b\r\n" * 10_000
    ),
    "endless bodies": lambda path: plan_endless(
        path, "Content-Length: 100000000000", block=b"x" * 8_192
    ),
    "endless chunks": lambda path: plan_endless(
        path, "Transfer-Encoding: chunked", block=b"2000\r\n" + b"x" * 8_192 + b"\r\n"
    ),
    "short fields": lambda path: plan_fields(path, "%x:", 8_000),
    "equal fields": lambda path: plan_fields(path, "a:%.0s", 15_000),
    "requests ahead": lambda path: plan_ahead(path, 400),
}
NARROW_SORTS = [*PLANS]
WIDE_SORTS = ["bodies", "bodies in pieces", "chunks", "short fields", "silent"]
CASES = [
    *((NARROW, sort, path) for path in PATHS for sort in NARROW_SORTS),
    *((WIDE, sort, path) for path in ("route", "no route") for sort in WIDE_SORTS),
]


class Host:
    """A gateway process that is used until a test fails."""

    def __init__(self, store, folder, files):
        self.files = files
        forward_port = free_ports.choose_free_port()
        self.gateway = test_program.GatewayProcess(
            store, folder, memory_mb=MEMORY_MB, files=files, forward_port=forward_port
        )
        self.ports = {**self.gateway.ports, "forward": forward_port}
        self.lines = collections.deque(maxlen=100)
        self._reader = threading.Thread(target=self._read)
        self._reader.start()
        self._folder = pathlib.Path("/proc", str(self.gateway.process.pid))

    def _read(self):
        self.lines.extend(self.gateway.process.stdout)

    def is_alive(self):
        return self.gateway.process.poll() is None

    def forget_peak(self):
        (self._folder / "clear_refs").write_text("5")

    def read_peak_mb(self):
        lines = (self._folder / "status").read_text().splitlines()
        (line,) = [line for line in lines if line.startswith("VmHWM:")]
        return int(line.split()[1]) * 1.024 / KB_PER_MB

    def count_files(self):
        return len(os.listdir(self._folder / "fd"))

    def close(self):
        self.gateway.process.kill()
        self.gateway.process.wait()
        self._reader.join()
        self.gateway.process.stdout.close()


@pytest.fixture(scope="module")
def hosts(tmp_path_factory):
    """Return a function that gets a host by its number of files."""
    store = object_store.FakeObjectStore()
    upstream = scripted_upstream.ScriptedUpstream(serve)
    test_endless_bodies.register(
        store, {"s": upstream}, timeout_ms=8_000, Limits=LIMITS
    )
    by_files = {}

    def get(files):
        host = by_files.get(files)
        if host is None:
            host = Host(store, tmp_path_factory.mktemp("host"), files)
            assert host.gateway.wait_ready()
            by_files[files] = host
        return host

    def drop(host):
        by_files.pop(host.files).close()

    get.drop = drop
    yield get
    for host in by_files.values():
        host.close()
    upstream.close()
    store.close()


@pytest.fixture
def get_host(hosts, request):
    used = []

    def get(files):
        used.append(hosts(files))
        return used[-1]

    failed = request.session.testsfailed
    yield get
    if request.session.testsfailed > failed:
        for host in used:
            hosts.drop(host)


def serve(request):
    is_large = request.path.endswith("large")
    scripted_upstream.respond(request, body=ANSWER if is_large else b"done")


def ask_once(port, method, path, body, fields):
    connection = http.client.HTTPConnection(LOOPBACK, port, timeout=ATTEMPT_S)
    try:
        headers = {
            "Host": in_process_gateway.HOST,
            "Authorization": f"Bearer {in_process_gateway.API_KEY}",
            "X-Sycamorespoke-Request-Id": f"ordinary-{time.monotonic()}",
            **fields,
        }
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        response.read()
        return response.status
    except (OSError, http.client.HTTPException) as error:
        return repr(error)
    finally:
        connection.close()


def ask(port, method, path, body=None, expected=200, **fields):
    """Return the last status or error of a caller that tries again for some time."""
    until_s = time.monotonic() + ANSWER_S
    while True:
        result = ask_once(port, method, path, body, fields)
        if result == expected or time.monotonic() >= until_s:
            return result
        time.sleep(PAUSE_S)


def ask_all(host):
    """Return the results of one ordinary request of each sort."""
    return {
        "GET": ask(host.ports["listen"], "GET", "/s-safe/x"),
        "POST": ask(host.ports["listen"], "POST", "/s-unsafe/x", BODY),
        "ready": ask(host.ports["ready"], "GET", "/sycamorespoke/ready"),
    }


ALL_ANSWERED = {"GET": 200, "POST": 200, "ready": 200}


def play(host, port, plan, size, returns=False):
    """Return what an ordinary caller sees, peak memory (MB) and open files."""
    host.forget_peak()
    crowd = hostile_crowd.HostileCrowd(
        (LOOPBACK, host.ports[port]), plan, size, returns
    )
    try:
        crowd.wait_settled(SETTLE_S)
        files = host.count_files()
        results = ask_all(host)
        files = max(files, host.count_files())
        return results, host.read_peak_mb(), files
    finally:
        crowd.close()


def check(host, results, peak_mb, files):
    seen = (results, round(peak_mb), files)
    print(seen, *host.lines, sep="\n")
    assert host.is_alive(), seen
    assert results == ALL_ANSWERED, seen
    assert peak_mb < MEMORY_MB, seen
    assert files < host.files, seen


@pytest.mark.parametrize(("files", "sort", "path"), CASES)
def test_crowd_leaves_process_and_ordinary_callers_unharmed(
    get_host, files, sort, path
):
    host = get_host(files)
    port, url = PATHS[path]
    size = NARROW_CROWD if files == NARROW else WIDE_CROWD
    check(host, *play(host, port, PLANS[sort](url), size))


def test_crowd_that_comes_again_leaves_places_to_ordinary_callers(get_host):
    host = get_host(NARROW)
    plan = PLANS["half heads"]("/s-safe/x")
    check(host, *play(host, "listen", plan, NARROW_CROWD, returns=True))


@pytest.mark.parametrize(
    ("method", "body", "fields"),
    [
        ("POST", b"x" * (LIMITS["MaxBodyBytes"] - 1), {}),
        ("GET", None, {"X-Long": "y" * 60_000}),
        ("GET", None, {f"{number:x}": "" for number in range(7_000)}),
    ],
    ids=["long body", "long field", "short fields"],
)
def test_single_request_inside_the_limits_is_served_in_calm(
    get_host, monkeypatch, method, body, fields
):
    # Of the stand-in upstream.
    monkeypatch.setattr(http.client, "_MAXHEADERS", 100_000)
    host = get_host(NARROW)
    assert ask(host.ports["listen"], method, "/s-safe/x", body, **fields) == 200
