"""A gateway process whose upstream sends bodies without end, many at once."""

import concurrent.futures
import http.client
import threading
import time

import psutil
import pytest

from tests.fakes import in_process_gateway, scripted_upstream
from tests.platform import test_program

pytestmark = pytest.mark.processes
# The memory of the smallest hosts of the users.
MEMORY_MB = 150
BYTES_PER_MB = 1_000_000
REQUESTS = 24
SOUND_REQUESTS = 15
SOUND_PAUSE_S = 0.3
BLOCK = b"x" * 65536
CHUNK = b"10000\r\n" + BLOCK + b"\r\n"
FRAMINGS = {
    "chunks": (b"Transfer-Encoding: chunked\r\n", CHUNK),
    "length": (b"Content-Length: 100000000000\r\n", BLOCK),
    "connection end": (b"", BLOCK),
}


def make_route(name, kind, service, timeout_ms):
    return {
        "Name": name,
        "Host": in_process_gateway.HOST,
        "PathPrefix": f"/{name}/",
        "Kind": kind,
        "TimeoutMs": timeout_ms,
        "TargetLatencyMs": 500,
        "Priority": 0,
        "Service": service,
        "MaxAttempts": 2,
    }


def register(
    store,
    upstreams_by_service,
    kinds=("safe", "unsafe"),
    timeout_ms=4000,
    **configuration,
):
    routes = [
        make_route(f"{service}-{kind}", kind, service, timeout_ms)
        for service in upstreams_by_service
        for kind in kinds
    ]
    services = [{"Name": name, "MaxConns": 100} for name in upstreams_by_service]
    tenants = [{"Name": "t", "ApiKeys": [in_process_gateway.API_KEY]}]
    configuration |= {"Version": 1, "Routes": routes, "Services": services}
    store.put("config", "main", {**configuration, "Tenants": tenants})
    for service, upstream in upstreams_by_service.items():
        entry = {
            "Service": service,
            "Address": upstream.address,
            "Zone": "dc-1",
            "Slots": 64,
            "State": "ready",
            "Version": "v1",
            "ColdRemainingMs": 0,
        }
        store.put("servers", f"i-{service}", entry)


def send_endless(framing):
    header, repeated = FRAMINGS[framing]

    def serve(request):
        request.close_connection = True
        request_id = request.headers["X-Sycamorespoke-Request-Id"].encode()
        request.wfile.write(
            b"HTTP/1.1 200 OK\r\nX-Sycamorespoke-Request-Id: %s\r\n"
            b"X-Sycamorespoke-Response-Stamp: stamp\r\n%s\r\n" % (request_id, header)
        )
        while True:
            request.wfile.write(repeated)

    return serve


def ask(gateway, path, number):
    """Return the status of a response; ``None`` without a whole one."""
    connection = http.client.HTTPConnection(
        "127.0.0.1", gateway.ports["listen"], timeout=8.0
    )
    try:
        in_process_gateway.send_request(
            connection,
            path,
            X_Sycamorespoke_Request_Id=f"call-{number}",
            X_Sycamorespoke_Deadline_Ms="4000",
        )
        response = connection.getresponse()
        response.read()
        return response.status
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


class PeakMemory:
    """Watches the memory of a process until it is closed; ``peak_mb`` is in MB."""

    def __init__(self, process):
        self.peak_mb = 0.0
        self._process = psutil.Process(process.pid)
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._watch)
        self._thread.start()

    def _watch(self):
        while not self._ended.wait(0.02):
            used_mb = self._process.memory_info().rss / BYTES_PER_MB
            self.peak_mb = max(self.peak_mb, used_mb)

    def close(self):
        self._ended.set()
        self._thread.join()


@pytest.fixture
def start_gateway(fake_store, tmp_path):
    gateways = []

    def start(**settings):
        gateways.append(test_program.GatewayProcess(fake_store, tmp_path, **settings))
        return gateways[-1]

    yield start
    for gateway in gateways:
        gateway.close()


@pytest.mark.parametrize(
    ("framing", "kind"),
    [("chunks", "safe"), ("length", "unsafe"), ("connection end", "safe")],
)
def test_endless_bodies_of_one_upstream_do_not_take_the_memory_of_the_process(
    start_gateway, fake_store, framing, kind
):
    # Report of another operator (issue 47): the host kept them all and was killed, and
    # the requests of other clients on it ended with it.
    endless = scripted_upstream.ScriptedUpstream(send_endless(framing))
    sound = scripted_upstream.ScriptedUpstream(scripted_upstream.respond)
    try:
        gateway = start_gateway(memory_mb=MEMORY_MB)
        register(fake_store, {"endless": endless, "sound": sound})
        assert gateway.wait_ready()
        memory = PeakMemory(gateway.process)
        with concurrent.futures.ThreadPoolExecutor(REQUESTS) as pool:
            refused = [
                pool.submit(ask, gateway, f"/endless-{kind}/x", number)
                for number in range(REQUESTS)
            ]
            served = []
            for number in range(SOUND_REQUESTS):
                served.append(ask(gateway, "/sound-safe/x", f"sound-{number}"))
                time.sleep(SOUND_PAUSE_S)
        metrics = gateway.get("operators", "/metrics")[1].decode()
        memory.close()
        assert served == [200] * SOUND_REQUESTS
        assert None not in [each.result() for each in refused]
        assert memory.peak_mb < MEMORY_MB
        assert gateway.process.poll() is None
        refusals = 'sycamorespoke_refused_holds{host="h1",kind="response_bodies"} '
        (line,) = [each for each in metrics.splitlines() if refusals in each]
        assert float(line.removeprefix(refusals)) > 0
    finally:
        endless.close()
        sound.close()
