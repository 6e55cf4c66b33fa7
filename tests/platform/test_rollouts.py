"""Several gateway processes that bring in a software version of a service."""

import concurrent.futures
import json
import threading
import time

import pytest

from sycamorespoke import clients, rollouts
from sycamorespoke.platform import _objects, _rollouts
from tests.fakes import upstream_fleet
from tests.platform import fleet_hosts, test_program

SHARE, SLACK = 0.1, 20.0
DURATION_S = 8.0
CALLERS = 6
ROUTES = (upstream_fleet.SAFE_ROUTE, upstream_fleet.UNSAFE_ROUTE)


class Traffic:
    """Callers that send plain requests without a pause until they are stopped."""

    def __init__(self, gateways):
        self.caller = fleet_hosts.Caller(gateways)
        self.lock = threading.Lock()
        self.statuses = []
        self.ended = threading.Event()
        self.pool = concurrent.futures.ThreadPoolExecutor(CALLERS)
        self.futures = [self.pool.submit(self._run, each) for each in range(CALLERS)]

    def _run(self, number):
        while not self.ended.wait(0.01):
            route = ROUTES[number % len(ROUTES)]
            with self.lock:
                send = self.caller.send_plain
            self.statuses.append(send(route, b"ask"))

    def close(self):
        self.ended.set()
        self.pool.shutdown()
        for future in self.futures:
            future.result()


@pytest.fixture
def deployment(start_fleet, start_hosts):
    fleet = start_fleet()
    gateways = start_hosts(fleet, canary_share=SHARE, canary_slack=SLACK)

    def count_hosts(gateway):
        return len(json.loads(gateway.get("operators", "/dump")[1])["hosts"])

    for gateway in gateways:
        assert test_program.wait_until(
            lambda each=gateway: count_hosts(each) == len(gateways)
        )
    traffic = Traffic(gateways)
    yield fleet, gateways, traffic
    traffic.close()


def order(fleet, name="s"):
    spec = {"Service": "s", "To": "v2", "DurationS": DURATION_S}
    fleet.store.put("rollouts", name, spec)
    time.sleep(0.3)
    fleet.start_version("v2", 3)


def read_state(fleet):
    status = fleet.store.objects["rollouts", "s"]["Status"] or {}
    return status.get("State")


def count_arrivals(fleet, since_s, version=None):
    return sum(
        each.at_s >= since_s and version in (None, fleet.versions_by_id[each.upstream])
        for each in list(fleet.arrivals)
    )


@pytest.mark.processes
def test_good_version_is_completed_and_no_request_fails(deployment):
    fleet, _, traffic = deployment
    time.sleep(1.0)
    since_s = time.monotonic()
    order(fleet)
    assert test_program.wait_until(lambda: read_state(fleet) == "running")
    time.sleep(max(since_s + 3.0 - time.monotonic(), 0.0))
    tried = count_arrivals(fleet, since_s, "v2")
    assert 0 < tried <= SHARE * count_arrivals(fleet, since_s) + SLACK
    until_s = since_s + DURATION_S
    while time.monotonic() < until_s and read_state(fleet) != "completed":
        time.sleep(0.02)
    assert read_state(fleet) == "completed"
    fleet.stop_version("v1")
    time.sleep(1.0)
    traffic.close()
    assert set(traffic.statuses) == {200}


@pytest.mark.processes
def test_bad_version_is_rolled_back_and_gets_no_request_after_that(deployment):
    fleet, gateways, _ = deployment
    fleet.failing_versions = {"v2"}
    time.sleep(1.0)
    since_s = time.monotonic()
    order(fleet)
    assert test_program.wait_until(lambda: read_state(fleet) == "rolled_back")
    time.sleep(1.0)
    ended_s = time.monotonic()
    time.sleep(1.0)
    assert count_arrivals(fleet, ended_s, "v2") == 0
    tried = count_arrivals(fleet, since_s, "v2")
    assert tried <= SHARE * count_arrivals(fleet, since_s) + SLACK
    state = json.loads(gateways[0].get("operators", "/dump")[1])["rollouts"]["s"]
    assert state["stored_state"] == "rolled back"


@pytest.mark.processes
def test_bad_version_gets_nothing_more_while_the_store_is_away(deployment):
    fleet, _, _ = deployment
    fleet.failing_versions = {"v2"}
    time.sleep(1.0)
    order(fleet)
    assert test_program.wait_until(lambda: count_arrivals(fleet, 0.0, "v2") > 2)
    fleet.store.is_unavailable = True
    time.sleep(2.5)
    since_s = time.monotonic()
    time.sleep(1.0)
    assert count_arrivals(fleet, since_s, "v2") == 0
    fleet.store.is_unavailable = False
    assert test_program.wait_until(lambda: read_state(fleet) == "rolled_back")


@pytest.mark.processes
def test_bad_version_gets_nothing_after_an_older_copy_lacks_its_roll_back(deployment):
    fleet, _, _ = deployment
    fleet.store.era = 1
    fleet.failing_versions = {"v2"}
    time.sleep(1.0)
    store_copy = fleet.store.copy()
    order(fleet)
    assert test_program.wait_until(lambda: read_state(fleet) == "rolled_back")
    written = {
        key: each["Spec"]
        for key, each in fleet.store.objects.items()
        if key[0] in ("servers", "rollouts") and key not in store_copy.objects
    }
    fleet.store.is_unavailable = True
    time.sleep(0.4)
    fleet.store.restore(store_copy)
    fleet.store.put("others", "x", {})
    for (kind, name), spec in written.items():
        fleet.store.put(kind, name, spec)
    fleet.store.is_unavailable = False
    since_s = time.monotonic()
    assert test_program.wait_until(lambda: read_state(fleet) == "rolled_back")
    time.sleep(2.0)
    assert count_arrivals(fleet, since_s, "v2") == 0


def make_stored(**changes):
    fields = {
        "name": "s",
        "revision": 9,
        "spec": {"Service": "s", "To": "v2", "DurationS": 16},
        "created_revision": 5,
    }
    return _objects.StoredObject(**{**fields, **changes})


def test_an_order_is_parsed():
    order = _rollouts.parse_order(make_stored(), 0.0)
    rollout_id = rollouts.RolloutId("s", "v2", 5)
    assert order == rollouts.RolloutOrder("s", rollout_id, 16.0, 9)


@pytest.mark.parametrize(
    ("status", "state"),
    [
        ({"State": "rolled_back", "To": "v2"}, rollouts.RolloutState.ROLLED_BACK),
        ({"State": "completed", "To": "v2"}, rollouts.RolloutState.COMPLETED),
        ({"State": "completed", "To": "v1"}, None),
        ({"State": "odd", "To": "v2"}, None),
        ({"State": ["completed"], "To": "v2"}, None),
        ("completed", None),
    ],
)
def test_a_state_counts_if_it_is_known_and_of_the_same_version(status, state):
    assert _rollouts.parse_order(make_stored(status=status), 0.0).state is state


@pytest.mark.parametrize(
    "changes",
    [
        {"spec": None},
        {"spec": {"Service": "s", "DurationS": 16}},
        {"spec": {"Service": 3, "To": "v2", "DurationS": 16}},
        {"spec": {"Service": "s", "To": "v2", "DurationS": "16"}},
        {"spec": {"Service": "s", "To": "v2", "DurationS": 1e300}},
        {"created_revision": "x"},
    ],
)
def test_an_odd_order_is_malformed(changes):
    with pytest.raises(clients.MalformedFieldError):
        _rollouts.parse_order(make_stored(**changes), 0.0)
