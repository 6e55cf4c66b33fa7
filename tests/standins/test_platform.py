import concurrent.futures
import threading

import pytest

from sycamorespoke import clients, standins


def test_concurrent_conditional_puts_lose_no_update(run):
    handle = run(standins.PlatformStandin())

    def add_one(_):
        client = clients.PlatformClient(handle.url)
        while True:
            stored = client.get("n")
            if isinstance(stored, clients.Missing):
                written = client.put("n", 1, 0)
            else:
                written = client.put("n", stored.value + 1, stored.version)
            if isinstance(written, clients.StoredObject):
                return

    with concurrent.futures.ThreadPoolExecutor(8) as executor:
        list(executor.map(add_one, range(40)))
    assert clients.PlatformClient(handle.url).get("n").value == 40
    counts = handle.standin.count()
    assert counts["writes"] == 40 + counts["conflicts"]


def test_watch_returns_after_change(run):
    handle = run(standins.PlatformStandin())
    client = clients.PlatformClient(handle.url)
    threading.Timer(0.1, client.put, ("rules", {"a": 1}, 0)).start()
    assert client.watch("rules", 0, 5.0).value == {"a": 1}


@pytest.mark.parametrize(
    ("faults", "expected"),
    [
        ({"down": True}, clients.Unavailable),
        ({"stale_reads": True}, clients.StoredObject),
        ({"silent_watches": True}, clients.Unchanged),
    ],
)
def test_watch_with_faults(run, faults, expected):
    handle = run(standins.PlatformStandin())
    client = clients.PlatformClient(handle.url)
    client.put("rules", 1, 0)
    handle.standin.set_faults(faults)
    assert isinstance(client.watch("rules", 0, 0.1), expected)


def test_stale_read_returns_previous_version(run):
    handle = run(standins.PlatformStandin())
    client = clients.PlatformClient(handle.url)
    first = client.put("rules", "old", 0)
    client.put("rules", "new", first.version)
    handle.standin.set_faults({"stale_reads": True})
    assert client.get("rules") == clients.StoredObject("old", first.version)


def test_put_with_dropped_response_takes_effect(run):
    handle = run(standins.PlatformStandin())
    client = clients.PlatformClient(handle.url)
    handle.standin.set_faults({"lose_answers": 1})
    assert isinstance(client.put("claim", 1, 0), clients.Uncertain)
    assert client.get("claim").value == 1


def test_new_host_list_is_visible_after_lag(run):
    options = standins.PlatformOptions(host_list_lag_s=0.2)
    handle = run(standins.PlatformStandin(options))
    client = clients.PlatformClient(handle.url)
    host = {
        "name": "seeb-scribe-1",
        "data_centre": "seeb",
        "role": "upstream",
        "address": "127.0.0.1:1",
        "group": "scribe",
    }
    handle.standin.set_hosts([host])
    assert client.watch_hosts(-1, 0).by_name == {}
    hosts = client.watch_hosts(0, 5.0)
    assert list(hosts.by_name) == ["seeb-scribe-1"]
    assert isinstance(client.watch_hosts(hosts.revision, 0.05), clients.Unchanged)


@pytest.mark.parametrize(
    ("headers", "body", "status"),
    [
        ({}, b"1", 428),
        ({"If-Match": '"7"'}, b"1", 412),
        ({"If-None-Match": "*"}, b"{", 400),
        ({"If-None-Match": "*"}, b'"' + b"x" * 1_048_576 + b'"', 413),
    ],
)
def test_invalid_put_is_refused(run, http, headers, body, status):
    handle = run(standins.PlatformStandin())
    url = f"{handle.url}/v1/objects/leases/seeb-1"
    response = http.request("PUT", url, body=body, headers=headers)
    assert response.status == status
