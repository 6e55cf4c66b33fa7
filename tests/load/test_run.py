import http.server
import json
import threading
import time

import attrs
import pytest

from sycamorespoke import load
from sycamorespoke.load import _entries, _report, _run, _send

TEXT = """\
name: demo
duration_s: 1
not_run_retries: 1
timeout_s: 5
accounts:
  - name: clubs
    api_key: key
    threads: [{model: scribe, rate: 15, turns: 1}]
    bookings: [{path: /bookings, rate: 15}]
events: [{at_s: 0.1, name: out, command: sycamorespoke data-centre out seeb}]
"""
STREAM = (
    b'data: {"choices": [{"text": "a", "finish_reason": "stop"}]}\n\n'
    b'data: {"choices": [], "usage": {"prompt_tokens": 8, "completion_tokens": 1,'
    b' "prompt_tokens_details": {"cached_tokens": 2}}}\n\n'
    b"data: [DONE]\n\n"
)


class FakeEntry(http.server.BaseHTTPRequestHandler):
    def do_GET(self):
        self.reply(200, b'{"read_bytes": 5, "written_bytes": 2}')

    def do_POST(self):
        self.rfile.read(int(self.headers["Content-Length"]))
        time.sleep(self.server.delay_s)
        key = self.headers.get("Idempotency-Key")
        if self.server.refuses:
            error = {"error": {"code": "overloaded", "execution": "not_run"}}
            body = json.dumps(error).encode()
            self.reply(503, body, {"X-Execution": "not_run"})
        elif key:
            runs = self.server.runs_by_key
            runs[key] = runs.get(key, 0) + self.server.runs_per_booking
            self.reply(201, b"{}")
        else:
            self.reply(200, STREAM[: self.server.stream_bytes])

    def reply(self, status, body, headers=()):
        self.send_response(status)
        for name, value in dict(headers).items():
            self.send_header(name, value)
        self.send_header("X-Request-Id", self.headers.get("X-Request-Id", ""))
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *args):
        pass


@pytest.fixture
def fake_entries():
    servers = []
    for _ in range(2):
        server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), FakeEntry)
        server.daemon_threads = True
        server.refuses = False
        server.delay_s = 0
        server.runs_by_key = {}
        server.runs_per_booking = 1
        server.stream_bytes = None
        threading.Thread(target=server.serve_forever, daemon=True).start()
        servers.append(server)
    try:
        yield servers
    finally:
        for server in servers:
            server.shutdown()
            server.server_close()


def run(servers, lines=None, **changes):
    workload, _ = load.read_workload(TEXT, "demo.yaml")
    workload = attrs.evolve(workload, **changes)
    addresses = [f"127.0.0.1:{server.server_port}" for server in servers]
    entries = _entries.EntryHosts(addresses)
    sender = _send.Sender(workload, entries, "run")
    entries.start()
    try:
        lines = [] if lines is None else lines
        outcomes = _run.run_schedule(workload, sender, lines.append)
    finally:
        entries.stop()
    runs_by_key = {k: n for s in servers for k, n in s.runs_by_key.items()}
    bookings = _report.count_bookings(outcomes, sender, runs_by_key)
    return _report.summarise(workload, outcomes, bookings)


def test_run_all_answered(fake_entries):
    lines = []
    report = run(fake_entries, lines)
    assert report.answered == report.requests > 10
    assert report.share_recomputed == 0.75
    assert report.bookings.landed == report.bookings.sent > 0
    assert report.is_clean()
    assert lines == ["     0.1 s  out  due: sycamorespoke data-centre out seeb"]
    assert "share recomputed" in _report.format_table(report)


def test_run_retries_not_run_refusal_at_other_entry(fake_entries):
    fake_entries[0].refuses = True
    report = run(fake_entries)
    assert report.answered == report.requests
    assert report.not_run_retries > 0


def test_run_counts_refusals_without_retries(fake_entries):
    fake_entries[0].refuses = True
    report = run(fake_entries, not_run_retries=0)
    assert report.refused_by_kind == {"overloaded": report.refused}
    assert report.refused > 0
    assert report.is_clean()


@pytest.mark.parametrize(
    ("name", "value"), [("stream_bytes", 40), ("runs_per_booking", 2)]
)
def test_run_reports_cut_stream_or_doubled_booking(fake_entries, name, value):
    for server in fake_entries:
        setattr(server, name, value)
    report = run(fake_entries)
    assert not report.is_clean()


def test_run_uses_other_entry_if_one_is_down(fake_entries):
    fake_entries[0].shutdown()
    fake_entries[0].server_close()
    report = run(fake_entries)
    assert report.answered == report.requests


def test_run_latency_includes_wait_for_in_flight_limit(fake_entries):
    for server in fake_entries:
        server.delay_s = 0.1
    report = run(fake_entries, in_flight=1)
    # Requests run one at a time and take 0.1 s each; the last waits for all others.
    assert report.first_token_p95_ms > 1000


def test_read_moved_bytes_sums_stores(fake_entries):
    urls = [f"http://127.0.0.1:{each.server_port}/counts" for each in fake_entries]
    assert _run.read_transferred_bytes(urls) == 14


def test_read_moved_bytes_unreadable(fake_entries):
    fake_entries[0].shutdown()
    fake_entries[0].server_close()
    url = f"http://127.0.0.1:{fake_entries[0].server_port}/counts"
    assert isinstance(_run.read_transferred_bytes([url]), _run.UnreadableCounts)
