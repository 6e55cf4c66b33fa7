import json
import threading
import time

import pytest
import urllib3

from sycamorespoke import domain, standins

PROMPT = "waiver " * 3000
FAST = {"token_s": 0.001, "prefill_tokens_per_s": 1e6, "warm_up_s": 0.0}


def make_request(request_id="r1", version="v1", prompt=PROMPT, **fields):
    chain = domain.chain_block_keys("abrr", "scribe", version, prompt)
    return {
        "request_id": request_id,
        "account": "abrr",
        "model": "scribe",
        "version": version,
        "prompt": prompt,
        "block_keys": list(chain.keys),
        "max_tokens": 5,
        **fields,
    }


def generate(http, handle, **fields):
    body = json.dumps(make_request(**fields))
    url = f"{handle.url}/v1/generate"
    response = http.request("POST", url, body=body)
    return response.status, [json.loads(line) for line in response.data.splitlines()]


def start_engine(run, **options):
    options = standins.EngineOptions(**{**FAST, **options})
    return run(standins.EngineStandin(options))


def test_generate_is_complete_and_repeated_prefix_is_cached(run, http):
    handle = start_engine(run)
    status, lines = generate(http, handle)
    assert status == 200
    assert [line["index"] for line in lines[1:-1]] == [0, 1, 2, 3, 4]
    assert lines[-1] == {
        "request_id": "r1",
        "done": True,
        "count": 5,
        "reason": "length",
    }
    assert lines[0]["cached_tokens"] == 0
    _, lines = generate(http, handle, request_id="r2")
    assert lines[0]["cached_tokens"] == 2 * domain.BLOCK_TOKENS
    _, resumed = generate(http, handle, start_at=3)
    assert [line["text"] for line in resumed[1:-1]] == [
        standins.make_token(PROMPT, 3),
        standins.make_token(PROMPT, 4),
    ]


def test_generate_with_unloaded_version_is_refused(run, http):
    handle = start_engine(run)
    assert generate(http, handle, version="v2")[0] == 409
    assert handle.standin.count()["runs"] == 0


@pytest.mark.parametrize(
    ("faults", "count", "cut"),
    [
        ({"cut_after_tokens": 2}, 2, True),
        ({"duplicate_lines": True}, 10, False),
        ({"wrong_count": True}, 5, False),
        ({"cross_answers": 1}, 5, False),
    ],
)
def test_generate_with_stream_faults(run, http, faults, count, cut):
    handle = start_engine(run)
    handle.standin.set_faults(faults)
    response = http.request(
        "POST",
        f"{handle.url}/v1/generate",
        body=json.dumps(make_request()),
        preload_content=False,
    )
    data = b""
    was_cut = False
    try:
        for chunk in response.stream(65536):
            data += chunk
    except urllib3.exceptions.HTTPError:
        was_cut = True
    lines = [json.loads(line) for line in data.splitlines()]
    assert was_cut == cut
    assert len([line for line in lines if "index" in line]) == count
    has_wrong_id = "cross_answers" in faults
    assert all((line["request_id"] != "r1") == has_wrong_id for line in lines)
    if "wrong_count" in faults:
        assert lines[-1]["count"] == 6


def test_cold_engine_above_cold_limit_restarts(run, http):
    handle = start_engine(run, cold_limit=2, warm_up_s=60.0, token_s=0.3)
    boot_id = json.loads(http.request("GET", f"{handle.url}/v1/load").data)["boot_id"]
    outcomes = []

    def send(number):
        try:
            generate(http, handle, request_id=f"r{number}")
            outcomes.append("complete")
        except urllib3.exceptions.HTTPError:
            outcomes.append("cut")

    threads = [threading.Thread(target=send, args=(i,)) for i in range(3)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert outcomes == ["cut"] * 3
    counts = handle.standin.count()
    assert (counts["falls"], counts["most_concurrent_cold"]) == (1, 3)
    load = json.loads(http.request("GET", f"{handle.url}/v1/load").data)
    assert load["boot_id"] != boot_id
    assert not load["warm"]


def test_disconnect_and_delete_cancel_generate(run, http):
    handle = start_engine(run, token_s=0.1)
    for cancel in ("disconnect", "delete"):
        body = json.dumps(make_request(max_tokens=1000))
        url = f"{handle.url}/v1/generate"
        response = http.request("POST", url, body=body, preload_content=False)
        next(response.stream(10))
        if cancel == "disconnect":
            response.close()
        else:
            assert http.request("DELETE", f"{url}/r1").status == 204
        deadline = time.monotonic() + 3.0
        while handle.standin._state.running and time.monotonic() < deadline:
            time.sleep(0.02)
        assert handle.standin._state.running == 0
    assert handle.standin.count()["cancelled"] == 2


def test_cache_events_report_evictions_and_follow_faults(run, http):
    handle = start_engine(run, cache_blocks=3)
    generate(http, handle)
    generate(http, handle, prompt="other " * 3000)
    url = f"{handle.url}/v1/cache-events?after=0&wait=0"
    events = json.loads(http.request("GET", url).data)["events"]
    assert [event["kind"] for event in events] == ["stored"] * 4 + ["evicted"]
    handle.standin.set_faults({"drop_every_n": 2, "reorder": True})
    events = json.loads(http.request("GET", url).data)["events"]
    assert [event["number"] for event in events] == [5, 3, 1]
    handle.standin.set_faults({"late_s": 60.0})
    assert json.loads(http.request("GET", url).data)["events"] == []


def test_imported_block_is_used_and_other_version_is_refused(run, http):
    source, target = start_engine(run), start_engine(run)
    generate(http, source)
    key = make_request()["block_keys"][0]
    block = http.request("GET", f"{source.url}/v1/blocks/{key}")
    url = f"{target.url}/v1/blocks/{key}"
    headers = {"X-Checksum": block.headers["X-Checksum"], "X-Version": "v2"}
    put = http.request("PUT", url, body=block.data, headers=headers)
    assert put.status == 409
    headers["X-Version"] = "v1"
    assert http.request("PUT", url, body=block.data, headers=headers).status == 204
    assert generate(http, target)[1][0]["cached_tokens"] == domain.BLOCK_TOKENS
    assert target.standin.count()["wrong_imports"] == 0


def test_load_order_changes_version_and_checks_fencing(run, http):
    weights = run(standins.WeightsStandin(standins.WeightsOptions(load_s=0.1)))
    handle = start_engine(run, weights=weights.url, checks_fencing=True)
    url = f"{handle.url}/v1/orders"
    order = {"order": "load", "model": "scribe", "version": "v2", "fencing_number": 7}
    assert http.request("POST", url, body=json.dumps(order)).status == 202
    assert generate(http, handle)[0] == 503
    deadline = time.monotonic() + 3.0
    while generate(http, handle, version="v2")[0] != 200:
        assert time.monotonic() < deadline
    order["fencing_number"] = 6
    assert http.request("POST", url, body=json.dumps(order)).status == 409


def test_load_report_lags(run, http):
    handle = start_engine(run, report_lag_s=60.0, token_s=0.2)
    thread = threading.Thread(target=generate, args=(http, handle))
    thread.start()
    deadline = time.monotonic() + 3.0
    while not handle.standin._state.running and time.monotonic() < deadline:
        time.sleep(0.01)
    load = json.loads(http.request("GET", f"{handle.url}/v1/load").data)
    thread.join()
    assert (load["running"], load["queued"]) == (0, 0)


def test_refusal_names_its_request(run, http):
    handle = start_engine(run)
    body = json.dumps(make_request(request_id="r7", version="v9"))
    response = http.request("POST", f"{handle.url}/v1/generate", body=body)
    assert (response.status, response.headers["X-Request-Id"]) == (409, "r7")
