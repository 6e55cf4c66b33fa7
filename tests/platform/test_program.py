"""The real program in front of stand-ins: start, serve, stop."""

import http.client
import os
import random
import signal
import socket
import subprocess
import sys
import threading
import time

import pytest

from tests.fakes import path_gateway, path_upstream

pytestmark = pytest.mark.processes
TIMEOUT_S = 20.0
# Below those that the system gives to outgoing connections; test runs beside each
# other choose from other ranges.
PORTS_A_RUN = 200
FIRST_PORT = 20000 + os.getpid() % 60 * PORTS_A_RUN
PORTS = range(FIRST_PORT, FIRST_PORT + PORTS_A_RUN)
PORT_CHOICE = random.Random(os.getpid())
CONFIGURATION = {
    "Version": 1,
    "Routes": [
        {
            "Name": "once",
            "Host": path_gateway.HOST,
            "PathPrefix": "/once/",
            "Kind": "streaming",
            "TimeoutMs": 9000,
            "TargetLatencyMs": 500,
            "Priority": 0,
            "Service": "s",
        }
    ],
    "Services": [{"Name": "s", "MaxConns": 100}],
    "Tenants": [{"Name": "t", "ApiKeys": [path_gateway.KEY]}],
}


def choose_free_port():
    """Choose a port that no outgoing connection is given by the system."""
    while True:
        port = PORT_CHOICE.choice(PORTS)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


def wait_until(is_done):
    ends_s = time.monotonic() + TIMEOUT_S
    while not is_done() and time.monotonic() < ends_s:
        time.sleep(0.05)
    return is_done()


class GatewayProcess:
    def __init__(self, store, folder, **settings):
        self.ports = {
            name: choose_free_port() for name in ("listen", "ready", "operators")
        }
        self.output = None
        path = folder / "settings.yaml"
        lines = {
            "name": '"h1"',
            "data_centre": '"dc-1"',
            "listen": f'"127.0.0.1:{self.ports["listen"]}"',
            "ready_listen": f'"127.0.0.1:{self.ports["ready"]}"',
            "operators_listen": f'"127.0.0.1:{self.ports["operators"]}"',
            "platform": f'"{store.address}"',
            "peer_ip": '"127.0.0.1"',
            "peer_port": choose_free_port(),
            **settings,
        }
        path.write_text("".join(f"{key}: {text}\n" for key, text in lines.items()))
        self.process = subprocess.Popen(
            [sys.executable, "-m", "sycamorespoke.platform"],
            env={**os.environ, "SYCAMORESPOKE_BOOT": str(path)},
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )

    def get(self, port, path):
        connection = http.client.HTTPConnection("127.0.0.1", self.ports[port])
        try:
            connection.request("GET", path)
            response = connection.getresponse()
            return response.status, response.read()
        except OSError:
            return None, b""
        finally:
            connection.close()

    def wait_ready(self, status=200):
        return wait_until(
            lambda: self.get("ready", "/sycamorespoke/ready")[0] == status
        )

    def close(self):
        if self.process.poll() is None:
            self.process.kill()
        if self.output is None:
            self.output, _ = self.process.communicate()
        return self.output


@pytest.fixture
def start(fake_store, tmp_path):
    made = []

    def make(**settings):
        made.append(GatewayProcess(fake_store, tmp_path, **settings))
        return made[-1]

    yield make
    for program in made:
        program.close()


def register_service(fake_store, stub):
    fake_store.put("config", "main", CONFIGURATION)
    spec = {"Service": "s", "Address": stub.address, "Zone": "dc-1", "Slots": 4}
    fake_store.put("servers", "i-1", {**spec, "State": "ready", "ColdRemainingMs": 0})


def test_it_is_ready_once_it_knows_its_configuration_and_stops_without_a_cut(
    start, fake_store
):
    begun, go_on = threading.Event(), threading.Event()

    def work(request):
        path_upstream.begin_stream(request)
        path_upstream.send_events(request, 1, 1)
        begun.set()
        go_on.wait(TIMEOUT_S)
        path_upstream.send_events(request, 2, 2)
        path_upstream.send_chunk(request, b"")

    stub = path_upstream.PathUpstream(work)
    try:
        program = start(grace_s=8)
        assert program.wait_ready(status=503)
        register_service(fake_store, stub)
        assert program.wait_ready()
        connection = http.client.HTTPConnection("127.0.0.1", program.ports["listen"])
        path_gateway.send(connection, "/once/x")
        response = connection.getresponse()
        assert begun.wait(TIMEOUT_S)
        program.process.send_signal(signal.SIGTERM)
        assert program.wait_ready(status=503)
        go_on.set()
        assert response.read() == b"id: 1\ndata: t1\n\nid: 2\ndata: t2\n\n"
        assert program.process.wait(TIMEOUT_S) == 0
        assert "shutdown ended" in program.close()
        assert ("syk-hosts", "h1") not in fake_store.objects
    finally:
        stub.close()


def test_metrics_and_the_dump_show_its_state_without_keys(start, fake_store):
    stub = path_upstream.PathUpstream(path_upstream.answer)
    try:
        register_service(fake_store, stub)
        program = start()
        assert program.wait_ready()
        gauge = b"sycamorespoke_view_age_seconds"
        assert wait_until(lambda: gauge in program.get("operators", "/metrics")[1])
        status, dump = program.get("operators", "/dump")
        assert status == 200
        assert b'"ready":true' in dump
        assert path_gateway.KEY.encode() not in dump
    finally:
        stub.close()


def test_wrong_settings_end_it_with_file_line_and_mend(start):
    program = start(grace_s='"soon"')
    assert program.process.wait(TIMEOUT_S) == 1
    output = program.close()
    assert "settings.yaml:" in output
    assert "grace_s" in output


def test_a_killed_host_is_ready_and_serves_when_it_is_started_again(start, fake_store):
    stub = path_upstream.PathUpstream(path_upstream.answer)
    try:
        register_service(fake_store, stub)
        first = start()
        assert first.wait_ready()
        first.process.kill()
        first.process.wait(TIMEOUT_S)
        second = start()
        assert second.wait_ready()
        connection = http.client.HTTPConnection("127.0.0.1", second.ports["listen"])
        path_gateway.send(connection, "/once/x")
        assert connection.getresponse().status == 200
    finally:
        stub.close()
