"""Entry hosts and requests that end the upstreams which run them."""

import itertools
import threading
import time

import attrs
import pytest

from scenarios import deployment
from sycamorespoke import domain, standins
from sycamorespoke.standins import _wsgi

pytestmark = pytest.mark.processes
SERVICES = ("bibdesk-1", "bibdesk-2", "bibdesk-3")
ENGINES = ("scribe-1", "scribe-2", "scribe-3")
ENTRIES = ("entry-1", "entry-2")
FATAL_PATH = "/bookings/fatal"
FATAL_SLOT = 666
FATAL_BLOCK = "fatal " * domain.BLOCK_TOKENS
RESTART_S = 1.0
REQUEST_INTERVAL_S = 0.1
# Bounds of the users' platform.
STABILITY_WINDOW_S = 3.0
COUNTED_ENDS = 3
COUNTED_ENDS_UNDER_BLOCK = 5
MAX_ARRIVALS = 3
MAX_ENDING_S = 15.0


@attrs.define
class FatalUpstream:
    """Ends an upstream, which comes back later, when it runs a fatal request.

    Parameters
    ----------
    cluster : deployment.Deployment
        Deployment of the upstream.
    name : str
        Name of the upstream.
    arrived_s : list of float
        Arrivals of fatal requests at all upstreams, monotonic time in seconds.
    """

    cluster: deployment.Deployment
    name: str
    arrived_s: list

    def install_behind_proxy(self, is_fatal):
        """End it behind a proxy that accepts connections and closes them."""
        standin = self.cluster.standin(self.name)
        run = standin._run

        def run_or_end(request):
            if is_fatal(request):
                self.arrived_s.append(time.monotonic())
                standin.set_faults({"down": True, "turn_cold": True})
                restart = threading.Timer(RESTART_S, standin.set_faults, ({},))
                restart.daemon = True
                restart.start()
            return run(request)

        standin._run = run_or_end

    def install(self, is_fatal, responds=False):
        """Replace the handling of requests for which ``is_fatal`` returns true.

        With ``responds`` the upstream ends after the first line of its response.
        """
        standin = self.cluster.standin(self.name)
        handle = standin.handle

        def handle_or_end(request):
            if not is_fatal(request):
                return handle(request)
            self.arrived_s.append(time.monotonic())
            if not responds:
                self._end()
            response = handle(request)
            return attrs.evolve(response, body=self._respond_and_end(response.body))

        standin.handle = handle_or_end

    def _respond_and_end(self, lines):
        if isinstance(lines, bytes):
            # A refusal, since the upstream runs no request with the block.
            yield lines
            return
        yield next(lines)
        self._end()

    def _end(self):
        threading.Thread(target=self._end_and_restart, daemon=True).start()
        raise _wsgi.AbortConnectionError("the upstream ends")

    def _end_and_restart(self):
        self.cluster.end_upstream(self.name)
        time.sleep(RESTART_S)
        self.cluster.restart_upstream(self.name)


def start_small(make_deployment, engines=(), services=()):
    options = standins.ServiceOptions(work_s=0.02)
    engine_options = standins.EngineOptions(warm_up_s=0.0, token_s=0.01)
    small = make_deployment(
        dict.fromkeys(engines, ("seeb", engine_options)),
        dict.fromkeys(services, ("seeb", options)),
        dict.fromkeys(ENTRIES, "seeb"),
    )
    small.start(deployment.make_rules())
    return small


def count_late_arrivals(arrived_s, send, counted_ends=COUNTED_ENDS):
    """Send until upstreams have ended; count arrivals later than the bound."""
    deadline_s = time.monotonic() + MAX_ENDING_S
    while len(arrived_s) < counted_ends and time.monotonic() < deadline_s:
        assert send() >= 500
        time.sleep(REQUEST_INTERVAL_S)
    bound_s = arrived_s[:counted_ends][-1] + STABILITY_WINDOW_S
    while time.monotonic() < bound_s + STABILITY_WINDOW_S:
        assert send() >= 500
        time.sleep(REQUEST_INTERVAL_S)
    return sum(each > bound_s for each in arrived_s)


@pytest.mark.parametrize("count", [2, 3])
def test_request_that_ends_upstreams_stops_reaching_them_from_entry_hosts(
    make_deployment, count
):
    names = SERVICES[:count]
    small = start_small(make_deployment, services=names)
    arrived_s = []
    for name in names:
        FatalUpstream(small, name, arrived_s).install(
            lambda request: request.path == FATAL_PATH
        )
    entries = itertools.cycle(ENTRIES)

    def send_fatal():
        entry = next(entries)
        return small.send_request(entry, "GET", FATAL_PATH, None, "pickup").status

    assert count_late_arrivals(arrived_s, send_fatal) <= MAX_ARRIVALS
    for entry in ENTRIES:
        refused = small.send_request(entry, "GET", FATAL_PATH, None, "pickup")
        assert refused.status == 503
        assert refused.json()["error"]["code"] == "request_quarantined"
        assert refused.json()["error"]["execution"] == "not_run"
        assert (
            small.send_request(entry, "GET", "/bookings/x", None, "pickup").status
            == 200
        )


def test_request_that_ends_upstreams_behind_proxies_stops_reaching_them(
    make_deployment,
):
    small = start_small(make_deployment, services=SERVICES)
    arrived_s = []
    for name in SERVICES:
        FatalUpstream(small, name, arrived_s).install_behind_proxy(
            lambda request: request.path == FATAL_PATH
        )
    entries = itertools.cycle(ENTRIES)

    def send_fatal():
        entry = next(entries)
        return small.send_request(entry, "GET", FATAL_PATH, None, "pickup").status

    assert count_late_arrivals(arrived_s, send_fatal) <= MAX_ARRIVALS


def test_booking_that_ends_upstreams_stops_reaching_them_from_entry_hosts(
    make_deployment,
):
    small = start_small(make_deployment, services=SERVICES)
    arrived_s = []
    for name in SERVICES:
        FatalUpstream(small, name, arrived_s).install(
            lambda request: (
                request.path == "/bookings"
                and request.parse_json()["slot"] == FATAL_SLOT
            )
        )
    numbers = itertools.count()

    def send_fatal():
        number = next(numbers)
        entry = ENTRIES[number % len(ENTRIES)]
        return small.send_booking(entry, FATAL_SLOT, f"fatal {number}").status

    assert count_late_arrivals(arrived_s, send_fatal) <= MAX_ARRIVALS
    for entry in ENTRIES:
        assert small.send_booking(entry, FATAL_SLOT, f"last {entry}").status == 503
        assert small.send_booking(entry, 1, f"sound {entry}").status == 201
        # The booking with this key has reached an upstream before.
        again = small.send_booking(entry, FATAL_SLOT, "fatal 0")
        assert again.json()["error"]["execution"] == "unknown"


def test_prompt_that_ends_engines_stops_reaching_them_from_entry_hosts(
    make_deployment,
):
    small = start_small(make_deployment, engines=ENGINES)
    arrived_s = []
    for name in ENGINES:
        FatalUpstream(small, name, arrived_s).install(
            lambda request: b"fatal" in request.body
        )
    entries = itertools.cycle(ENTRIES)

    def send_fatal():
        return small.send_completion(next(entries), "a fatal prompt").status

    assert count_late_arrivals(arrived_s, send_fatal) <= MAX_ARRIVALS
    for entry in ENTRIES:
        assert small.send_completion(entry, "a fatal prompt").status == 503
        assert small.send_completion(entry, "a sound prompt").status == 200


def test_block_that_ends_engines_stops_reaching_them_from_entry_hosts(make_deployment):
    small = start_small(make_deployment, engines=ENGINES)
    arrived_s = []
    for name in ENGINES:
        FatalUpstream(small, name, arrived_s).install(
            lambda request: b"fatal" in request.body, responds=True
        )
    numbers = itertools.count()

    def send_fatal():
        number = next(numbers)
        entry = ENTRIES[number % len(ENTRIES)]
        return small.send_completion(entry, f"{FATAL_BLOCK}{number}").status

    late = count_late_arrivals(arrived_s, send_fatal, COUNTED_ENDS_UNDER_BLOCK)
    assert late <= MAX_ARRIVALS
    for entry in ENTRIES:
        refused = small.send_completion(entry, f"{FATAL_BLOCK}never sent")
        assert refused.json()["error"]["code"] == "prompt_quarantined"
        assert small.send_completion(entry, "sound").status == 200
