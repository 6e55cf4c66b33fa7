"""Several gateway processes, some of which are cut from all upstreams."""

import contextlib
import http.client
import itertools
import json
import threading
import time

import attrs
import pytest

from tests.fakes import host_links, in_process_gateway, upstream_fleet
from tests.platform import test_program
from tests.soak import proxy

pytestmark = pytest.mark.processes
HOSTS = 6
CUT_HOSTS = 4
UPSTREAMS = 5
# Bounds of the users' platform.
WINDOW_S = 3.0
MIN_SHARE = 2 / 3
CALM_S = 1.0
COUNTED_S = 3.0
PAUSE_S = 0.05
TIMEOUT_S = 15.0
ROUTES = (
    upstream_fleet.SAFE_ROUTE,
    upstream_fleet.UNSAFE_ROUTE,
    upstream_fleet.ROUTE,
)
CUTS = (proxy.Mode.REFUSE, proxy.Mode.HANG, proxy.Mode.RESET, proxy.Mode.REFUSE_NEW)
NUMBERS = itertools.count(1)


@attrs.frozen
class Outcome:
    """What a caller saw of one request."""

    request_id: str
    route: str
    sent_s: float
    ended_s: float
    status: int | None

    @property
    def is_served(self):
        return self.status == 200


class LinkedHost:
    """A gateway process that reaches each upstream through a link of its own."""

    def __init__(self, fleet, folder, number):
        self.links = host_links.HostLinks(fleet.list_addresses())
        folder.mkdir()
        self.program = test_program.GatewayProcess(
            fleet.store,
            folder,
            module=host_links.MODULE,
            environment=self.links.make_environment(),
            name=f'"h{number}"',
            data_centre=f'"dc-{number % 3}"',
        )

    def count_known_hosts(self):
        return len(json.loads(self.program.get("operators", "/dump")[1])["hosts"])

    def close(self):
        self.program.close()
        self.links.close()


class Caller(threading.Thread):
    """Sends requests of all kinds to one host, one after the other."""

    def __init__(self, host):
        super().__init__(daemon=True)
        self.host = host
        self.outcomes = []
        self.stop_requested = threading.Event()
        self.connection = None

    def run(self):
        routes = itertools.cycle(ROUTES)
        while not self.stop_requested.wait(PAUSE_S):
            self.outcomes.append(self.send(next(routes)))

    def send(self, route):
        number = next(NUMBERS)
        request_id, headers = f"call-{number}", {}
        if route == upstream_fleet.ROUTE:
            headers = {
                "X_Sycamorespoke_Model": "m",
                "X_Sycamorespoke_Token_Count": "300,3",
                "X_Sycamorespoke_Prompt_Prefix": f"aa:100,d{number:04x}:100",
            }
        sent_s = time.monotonic()
        status = self._exchange(f"/{route}/x", request_id, headers)
        return Outcome(request_id, route, sent_s, time.monotonic(), status)

    def _exchange(self, path, request_id, headers):
        if self.connection is None:
            port = self.host.program.ports["listen"]
            self.connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5.0)
        try:
            in_process_gateway.send_request(
                self.connection, path, X_Sycamorespoke_Request_Id=request_id, **headers
            )
            response = self.connection.getresponse()
            response.read()
            if response.will_close:
                self._close()
            return response.status
        except (OSError, http.client.HTTPException):
            self._close()
            return None

    def _close(self):
        self.connection.close()
        self.connection = None


class Deployment:
    """Hosts with links and upstreams, and a caller of each host."""

    def __init__(self, fleet, folder, stack):
        self.fleet = fleet
        self.hosts = [
            stack.enter_context(
                contextlib.closing(LinkedHost(fleet, folder / f"h{number}", number))
            )
            for number in range(HOSTS)
        ]
        assert all(host.program.wait_ready() for host in self.hosts)
        for host in self.hosts:
            assert test_program.wait_until(
                lambda each=host: each.count_known_hosts() == HOSTS
            )
        self.callers = [Caller(host) for host in self.hosts]
        stack.callback(self.stop_callers)
        for caller in self.callers:
            caller.start()

    def cut(self, mode, count=CUT_HOSTS):
        for host in self.hosts[:count]:
            host.links.set_mode(mode)

    def stop_callers(self):
        for caller in self.callers:
            caller.stop_requested.set()
        for caller in self.callers:
            if caller.is_alive():
                caller.join()

    def list_outcomes(self, callers, since_s, until_s):
        return [
            each
            for caller in callers
            for each in list(caller.outcomes)
            if since_s <= each.sent_s < until_s
        ]

    def wait_counted(self):
        """Wait until the requests of the counted time have ended.

        Returns
        -------
        tuple of (list of Outcome, list of Outcome)
            Of the hosts that are cut and of the others.
        """
        since_s = time.monotonic() + WINDOW_S
        time.sleep(WINDOW_S + COUNTED_S)
        until_s = time.monotonic()
        self.stop_callers()
        cut = self.list_outcomes(self.callers[:CUT_HOSTS], since_s, until_s)
        others = self.list_outcomes(self.callers[CUT_HOSTS:], since_s, until_s)
        return cut, others


@pytest.fixture
def deployment(start_fleet, tmp_path, request):
    with contextlib.ExitStack() as stack:
        fleet = upstream_fleet.UpstreamFleet(UPSTREAMS)
        stack.callback(fleet.close)
        started = Deployment(fleet, tmp_path, stack)
        time.sleep(CALM_S)
        yield started


def count_share(outcomes):
    assert outcomes
    return sum(each.is_served for each in outcomes) / len(outcomes)


@pytest.mark.parametrize("mode", CUTS, ids=[mode.value for mode in CUTS])
def test_callers_of_hosts_cut_from_all_upstreams_are_served_as_those_of_the_others(
    deployment, mode
):
    deployment.cut(mode)
    cut, others = deployment.wait_counted()
    for route in ROUTES:
        cut_share = count_share([each for each in cut if each.route == route])
        other_share = count_share([each for each in others if each.route == route])
        assert cut_share >= MIN_SHARE * other_share


def count_forwarded(host, direction):
    """Return how many requests a host has forwarded, or received forwarded."""
    text = host.program.get("operators", "/metrics")[1].decode()
    return sum(
        float(line.split()[-1])
        for line in text.splitlines()
        if "forwarded_calls" in line and f'direction="{direction}"' in line
    )


def test_hosts_serve_by_themselves_once_the_cut_has_healed(deployment):
    deployment.cut(proxy.Mode.REFUSE)
    time.sleep(WINDOW_S)
    deployment.cut(proxy.Mode.PASS)
    time.sleep(WINDOW_S)
    before = [count_forwarded(host, "out") for host in deployment.hosts]
    assert min(before[:CUT_HOSTS]) > 0
    since_s = time.monotonic()
    time.sleep(1.0)
    deployment.stop_callers()
    after = [count_forwarded(host, "out") for host in deployment.hosts]
    assert after == before
    until_s = time.monotonic()
    served = deployment.list_outcomes(deployment.callers, since_s, until_s)
    assert count_share(served) == 1.0


def test_hosts_that_are_all_cut_refuse_at_once_and_forward_nothing(deployment):
    deployment.cut(proxy.Mode.REFUSE, HOSTS)
    time.sleep(WINDOW_S)
    before = sum(count_forwarded(host, "in") for host in deployment.hosts)
    since_s = time.monotonic()
    time.sleep(1.0)
    deployment.stop_callers()
    outcomes = deployment.list_outcomes(deployment.callers, since_s, time.monotonic())
    assert {each.status for each in outcomes} == {503}
    assert sum(count_forwarded(host, "in") for host in deployment.hosts) == before


def test_host_that_stops_while_others_forward_to_it_loses_no_request(deployment):
    deployment.cut(proxy.Mode.REFUSE)
    time.sleep(1.0)
    # Of two hosts that serve, one is stopped; its own callers go elsewhere.
    stopped = deployment.hosts[CUT_HOSTS]
    deployment.callers[CUT_HOSTS].stop_requested.set()
    deployment.callers[CUT_HOSTS].join()
    since_s = time.monotonic()
    stopped.program.process.terminate()
    assert stopped.program.process.wait(TIMEOUT_S) == 0
    until_s = time.monotonic()
    deployment.stop_callers()
    cut = deployment.list_outcomes(deployment.callers[:CUT_HOSTS], since_s, until_s)
    assert [(each, each.ended_s - since_s) for each in cut if not each.is_served] == []
    assert count_forwarded(deployment.hosts[-1], "in") > 0
