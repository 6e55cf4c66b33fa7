import json

import pytest
import xxhash

from sycamorespoke import standins

DATA = b"block" * 100
CHECKSUM = xxhash.xxh3_64_hexdigest(DATA)


def allocate(http, handle, key, data=DATA):
    value = {"key": key, "length": len(data), "checksum": CHECKSUM}
    url = f"{handle.url}/v1/slots"
    response = http.request("POST", url, body=json.dumps(value))
    return response.status, json.loads(response.data)


def write(http, handle, key, data=DATA):
    _, slot = allocate(http, handle, key, data)
    url = f"{handle.url}/v1/slots/{slot['slot']}"
    query = f"?generation={slot['generation']}"
    assert http.request("PUT", url + query, body=data).status == 204
    return http.request("POST", f"{url}/commit{query}").status


def test_block_is_visible_only_after_commit(run, http):
    handle = run(standins.StoreStandin())
    url = f"{handle.url}/v1/blocks/k1"
    allocate(http, handle, "k1")
    assert http.request("GET", url).status == 404
    assert write(http, handle, "k1") == 204
    response = http.request("GET", url)
    assert response.data == DATA
    assert response.headers["X-Checksum"] == CHECKSUM
    head = http.request("HEAD", url)
    assert head.headers["X-Generation"] == response.headers["X-Generation"]


def test_slot_of_freed_block_is_reused_with_higher_generation(run, http):
    handle = run(standins.StoreStandin())
    write(http, handle, "k1")
    first = http.request("HEAD", f"{handle.url}/v1/blocks/k1").headers
    assert http.request("DELETE", f"{handle.url}/v1/blocks/k1").status == 204
    write(http, handle, "k2")
    assert http.request("GET", f"{handle.url}/v1/blocks/k1").status == 404
    second = http.request("HEAD", f"{handle.url}/v1/blocks/k2").headers
    assert int(second["X-Generation"]) > int(first["X-Generation"])


@pytest.mark.parametrize(
    ("fault", "status", "data"),
    [
        ("partial_commit", 204, DATA[:250]),
        ("truncate", 204, DATA[:250]),
        ("flip_bit", 204, DATA[:250] + bytes([DATA[250] ^ 1]) + DATA[251:]),
    ],
)
def test_block_is_corrupted_by_fault(run, http, fault, status, data):
    handle = run(standins.StoreStandin())
    handle.standin.set_faults({fault: True})
    assert write(http, handle, "k1") == status
    assert http.request("GET", f"{handle.url}/v1/blocks/k1").data == data


def test_full_store_and_wrong_generation_are_refused(run, http):
    options = standins.StoreOptions(capacity_bytes=700)
    handle = run(standins.StoreStandin(options))
    assert write(http, handle, "k1") == 204
    assert allocate(http, handle, "k2")[0] == 507
    url = f"{handle.url}/v1/slots/0"
    assert http.request("PUT", f"{url}?generation=9", body=DATA).status == 409


def test_commit_of_wrong_bytes_is_refused(run, http):
    handle = run(standins.StoreStandin())
    assert write(http, handle, "k1", DATA + b"x") == 422
