"""A host that stops hands its tasks over to the other gateway processes."""

import json
import signal
import threading

import pytest

from tests.fakes import scripted_upstream
from tests.platform import test_program

pytestmark = pytest.mark.processes
LEASE = ("syk-leases", "weights")
ENGINES = 4


class SilentEngine:
    """Engine with old weights that drops orders until it is told to carry them out."""

    def __init__(self, carries_out):
        self.carries_out = carries_out
        self.version = 1
        self.orders = []
        self.server = scripted_upstream.ScriptedUpstream(self._serve)

    def _serve(self, request):
        if request.command == "GET":
            models = [{"Name": "m", "Version": self.version}]
            report = {"Seq": self.version - 1, "Busy": False, "Models": models}
            scripted_upstream.respond(request, body=json.dumps(report).encode())
            return
        self.orders.append(json.loads(request.body))
        if not self.carries_out.is_set():
            request.close_connection = True
            return
        self.version = self.orders[-1]["Version"]
        scripted_upstream.respond(request, status=202, body=b"{}")


@pytest.fixture
def engines():
    carries_out = threading.Event()
    engines = [SilentEngine(carries_out) for _ in range(ENGINES)]
    yield engines
    for engine in engines:
        engine.server.close()


@pytest.fixture
def start_host(fake_store, tmp_path):
    gateways = []

    def start(name):
        folder = tmp_path / name
        folder.mkdir()
        gateway = test_program.GatewayProcess(
            fake_store, folder, name=f'"{name}"', grace_s=8
        )
        gateways.append(gateway)
        return gateway

    yield start
    for gateway in gateways:
        gateway.close()


def register_engines(fake_store, engines):
    fake_store.put("config", "main", test_program.CONFIGURATION)
    for number, engine in enumerate(engines):
        spec = {
            "Service": "s",
            "Address": engine.server.address,
            "Zone": "dc-1",
            "Slots": 4,
            "State": "ready",
            "Version": "v1",
            "ColdRemainingMs": 0,
            "Models": [{"Name": "m", "Version": 1}],
        }
        fake_store.put("servers", f"i-{number}", spec)


def list_lease_holders(fake_store):
    """Return the holders that the lease has had, without repetitions in a row."""
    holders = [
        event["Object"]["Spec"]["holder"]
        for _, kind, event in list(fake_store.events)
        if (kind, event["Object"]["Metadata"]["Name"]) == LEASE
    ]
    return [
        holder
        for number, holder in enumerate(holders)
        if number == 0 or holder != holders[number - 1]
    ]


def list_orders(engines):
    return [order for engine in engines for order in list(engine.orders)]


def test_stopping_holder_does_not_leave_the_rollout_to_the_end_of_its_lease(
    fake_store, engines, start_host
):
    register_engines(fake_store, engines)
    gateways_by_name = {name: start_host(name) for name in ("h1", "h2", "h3")}
    assert all(gateway.wait_ready() for gateway in gateways_by_name.values())
    fake_store.put("versions", "m", {"Model": "m", "Version": 2})
    assert test_program.wait_until(lambda: list_orders(engines))
    (first,) = list_lease_holders(fake_store)
    gateways_by_name[first].process.send_signal(signal.SIGTERM)
    assert test_program.wait_until(lambda: len(list_lease_holders(fake_store)) >= 3)
    _, released, second = list_lease_holders(fake_store)[:3]
    assert released == ""
    assert second not in ("", first)
    engines[0].carries_out.set()
    assert test_program.wait_until(lambda: all(each.version == 2 for each in engines))
    assert gateways_by_name[first].process.wait(test_program.TIMEOUT_S) == 0
    for engine in engines:
        senders = [(order["Fence"], order["Holder"]) for order in engine.orders]
        assert senders == sorted(senders)
        assert {holder for _, holder in senders} <= {first, second}


def test_last_host_continues_the_rollout_until_its_process_ends(
    fake_store, engines, start_host
):
    register_engines(fake_store, engines)
    gateway = start_host("h1")
    assert gateway.wait_ready()
    fake_store.put("versions", "m", {"Model": "m", "Version": 2})
    assert test_program.wait_until(lambda: list_orders(engines))
    gateway.process.send_signal(signal.SIGTERM)
    assert gateway.wait_ready(status=503)
    engines[0].carries_out.set()
    assert gateway.process.wait(test_program.TIMEOUT_S) == 0
    assert all(each.version == 2 for each in engines)
    assert list_lease_holders(fake_store) == ["h1", ""]
