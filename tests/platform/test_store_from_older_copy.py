"""Hosts whose store comes back from an older copy and gives revisions out again."""

import collections
import http.client
import json
import threading
import time

import pytest

from tests.fakes import in_process_gateway
from tests.platform import test_program, test_task_handover

pytestmark = pytest.mark.processes
ROUTE = test_program.CONFIGURATION["Routes"][0]
# How long the store does not respond before it is back.
AWAY_S = 0.4
# Time in which a change of the configuration must be in force.
IN_FORCE_S = 2.5
WATCHED_S = 4.0
# A host confirms what it knows with one request in less than a second at most.
MAX_REQUESTS_PER_S = 3
# No upstream is listed, so that a request on a route that is there is refused.
STATUS_WITHOUT_UPSTREAM = 503


@pytest.fixture
def store(fake_store):
    fake_store.era = 1
    return fake_store


@pytest.fixture
def start_host(store, tmp_path):
    gateways = []

    def start(name):
        folder = tmp_path / name
        folder.mkdir()
        gateway = test_program.GatewayProcess(store, folder, name=f'"{name}"')
        gateways.append(gateway)
        return gateway

    yield start
    for gateway in gateways:
        gateway.close()


@pytest.fixture
def engines():
    carries_out = threading.Event()
    engines = [
        test_task_handover.SilentEngine(carries_out)
        for _ in range(test_task_handover.ENGINES)
    ]
    yield engines
    for engine in engines:
        engine.server.close()


def make_configuration(version, *routes):
    """Return a configuration whose routes are named as given."""
    return {
        **test_program.CONFIGURATION,
        "Version": version,
        "Routes": [
            {**ROUTE, "Name": name, "PathPrefix": f"/{name}/"} for name in routes
        ],
    }


def get_status(gateway, route):
    connection = http.client.HTTPConnection(
        "127.0.0.1", gateway.ports["listen"], timeout=5.0
    )
    try:
        in_process_gateway.send_request(connection, f"/{route}/x", body=b"ask")
        return connection.getresponse().status
    finally:
        connection.close()


def wait_for_status(gateways, route, status, timeout_s):
    """Return the hosts that do not respond with a status in time."""
    deadline_s = time.monotonic() + timeout_s
    waiting = list(gateways)
    while waiting and time.monotonic() < deadline_s:
        waiting = [each for each in waiting if get_status(each, route) != status]
        time.sleep(0.05)
    return waiting


def restore(store, store_copy, write_again):
    """Let the store come back from a copy; others write theirs while it is away."""
    store.is_unavailable = True
    time.sleep(AWAY_S)
    store.restore(store_copy)
    write_again()
    store.is_unavailable = False


def test_route_added_at_a_revision_given_out_again_is_served(store, start_host):
    store.put("config", "main", make_configuration(1, "first"))
    gateways = [start_host(f"h{number}") for number in range(3)]
    assert all(gateway.wait_ready() for gateway in gateways)
    store_copy = store.copy()
    store.put("config", "main", make_configuration(2, "first", "second"))
    third = make_configuration(3, "first", "second", "third")
    before = store.put("config", "main", third)["Metadata"]["Revision"]
    assert not wait_for_status(gateways, "third", STATUS_WITHOUT_UPSTREAM, 5.0)

    def write_again():
        store.put("config", "main", third)
        fourth = make_configuration(4, "first", "second", "third", "fourth")
        assert store.put("config", "main", fourth)["Metadata"]["Revision"] == before

    restore(store, store_copy, write_again)
    assert not wait_for_status(gateways, "fourth", STATUS_WITHOUT_UPSTREAM, IN_FORCE_S)


def test_configuration_in_force_outlives_an_older_copy(store, start_host):
    store.put("config", "main", make_configuration(1, "first"))
    gateway = start_host("h1")
    assert gateway.wait_ready()
    store_copy = store.copy()
    store.put("config", "main", make_configuration(2, "first", "second"))
    assert not wait_for_status([gateway], "second", STATUS_WITHOUT_UPSTREAM, 5.0)
    restore(store, store_copy, lambda: None)
    end_s = time.monotonic() + 2.0
    while time.monotonic() < end_s:
        assert get_status(gateway, "second") == STATUS_WITHOUT_UPSTREAM
        time.sleep(0.05)


@pytest.mark.parametrize("era", [1, None], ids=["era", "no era"])
def test_hosts_do_not_ask_without_end_after_an_older_copy(store, start_host, era):
    store.era = era
    store.put("config", "main", make_configuration(1, "first"))
    gateways = [start_host(f"h{number}") for number in range(2)]
    assert all(gateway.wait_ready() for gateway in gateways)
    time.sleep(1.0)
    store_copy = store.copy()
    for version in range(2, 12):
        store.put("config", "main", make_configuration(version, "first", "second"))
    assert not wait_for_status(gateways, "second", STATUS_WITHOUT_UPSTREAM, 5.0)
    restore(store, store_copy, lambda: None)
    time.sleep(2.0)
    count = len(store.requests)
    time.sleep(WATCHED_S)
    assert len(store.requests) - count <= MAX_REQUESTS_PER_S * WATCHED_S * len(gateways)


def list_holders_by_fence(engines):
    holders_by_fence = collections.defaultdict(set)
    for order in test_task_handover.list_orders(engines):
        holders_by_fence[order["Fence"]].add(order["Holder"])
    return dict(holders_by_fence)


@pytest.mark.parametrize("after_first_order_s", [0.0, 0.6, 1.5])
def test_holders_before_and_after_an_older_copy_share_no_fence(
    store, engines, start_host, after_first_order_s
):
    test_task_handover.register_engines(store, engines)
    gateways = [start_host(f"h{number}") for number in range(4)]
    assert all(gateway.wait_ready() for gateway in gateways)
    store_copy = store.copy()

    def name_version():
        store.put("versions", "m", {"Model": "m", "Version": 2})

    name_version()
    assert test_program.wait_until(lambda: test_task_handover.list_orders(engines))
    time.sleep(after_first_order_s)
    last_fence = max(list_holders_by_fence(engines))
    restore(store, store_copy, name_version)
    assert test_program.wait_until(
        lambda: max(list_holders_by_fence(engines)) > last_fence
    )
    engines[0].carries_out.set()
    assert test_program.wait_until(lambda: all(each.version == 2 for each in engines))
    holders_by_fence = list_holders_by_fence(engines)
    assert {len(holders) for holders in holders_by_fence.values()} == {1}
    for engine in engines:
        fences = [order["Fence"] for order in engine.orders]
        assert fences == sorted(fences)


def test_hosts_and_key_that_an_older_copy_lacks_are_written_again(store, start_host):
    store.put("config", "main", make_configuration(1, "first"))
    store_copy = store.copy()
    gateways = [start_host(f"h{number}") for number in range(3)]
    assert all(gateway.wait_ready() for gateway in gateways)
    names = {f"h{number}" for number in range(3)}

    def list_names(kind):
        return {
            name for stored_kind, name in list(store.objects) if stored_kind == kind
        }

    assert test_program.wait_until(lambda: list_names("syk-hosts") == names)
    key = store.objects["syk-keys", "peers"]["Spec"]
    # The hosts have their own list from then on.
    assert test_program.wait_until(
        lambda: all(
            len(json.loads(each.get("operators", "/dump")[1])["hosts"]) == len(names)
            for each in gateways
        )
    )
    restore(store, store_copy, lambda: None)
    assert test_program.wait_until(lambda: list_names("syk-hosts") == names)
    assert test_program.wait_until(lambda: list_names("syk-keys") == {"peers"})
    assert store.objects["syk-keys", "peers"]["Spec"] == key


def test_verdict_that_an_older_copy_lacks_goes_on(store, start_host):
    store.put("config", "main", make_configuration(1, "first"))
    gateways = [start_host(f"h{number}") for number in range(3)]
    assert all(gateway.wait_ready() for gateway in gateways)
    store_copy = store.copy()
    store.put("syk-crashes", "verdict", {"quarantined_request": "bad"})

    def is_in_force():
        dumps = [json.loads(each.get("operators", "/dump")[1]) for each in gateways]
        return all(each["quarantined"] for each in dumps)

    assert test_program.wait_until(is_in_force)
    restore(store, store_copy, lambda: None)
    end_s = time.monotonic() + 4.0
    while time.monotonic() < end_s:
        assert is_in_force()
        time.sleep(0.05)
    assert store.objects["syk-crashes", "verdict"]["Spec"] == {
        "quarantined_request": "bad"
    }
