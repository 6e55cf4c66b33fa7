import concurrent.futures
import json

import pytest
import urllib3

from sycamorespoke import standins


def book(http, handle, key="k1", request_id="r1"):
    headers = {"Idempotency-Key": key, "X-Request-Id": request_id}
    body = json.dumps({"slot": "bib", "name": "runner"})
    return http.request("POST", f"{handle.url}/bookings", body=body, headers=headers)


def test_repeated_booking_is_counted_as_another_run(run, http):
    handle = run(standins.ServiceStandin())
    response = book(http, handle)
    assert (response.status, json.loads(response.data)) == (201, {"booking": 1})
    assert response.headers["X-Request-Id"] == "r1"
    book(http, handle)
    counts = json.loads(http.request("GET", f"{handle.url}/counts").data)
    assert counts["runs_by_key"] == {"k1": 2}
    booking = json.loads(http.request("GET", f"{handle.url}/bookings/1").data)
    assert booking["name"] == "runner"


@pytest.mark.parametrize("fault", [{"lose_answers": 1}, {"down": True}])
def test_booking_without_response_runs_unless_down(run, http, fault):
    handle = run(standins.ServiceStandin())
    handle.standin.set_faults(fault)
    with pytest.raises(urllib3.exceptions.HTTPError):
        book(http, handle)
    runs = 1 if "lose_answers" in fault else 0
    assert handle.standin.count()["runs"] == runs


def test_booking_refused_above_limit_is_not_run(run, http):
    options = standins.ServiceOptions(limit=1, work_s=0.5)
    handle = run(standins.ServiceStandin(options))
    with concurrent.futures.ThreadPoolExecutor(2) as executor:
        responses = list(executor.map(lambda _: book(http, handle), range(2)))
    refused = [response for response in responses if response.status == 503]
    assert [response.headers["X-Not-Run"] for response in refused] == ["1"]
    assert handle.standin.count()["runs"] == 1


def test_weight_reads_are_complete_and_counted_when_concurrent(run, http):
    options = standins.WeightsOptions(load_s=0.05, loads_at_once=1)
    handle = run(standins.WeightsStandin(options))
    url = f"{handle.url}/v1/weights/scribe/v1"
    with concurrent.futures.ThreadPoolExecutor(3) as executor:
        sizes = list(executor.map(lambda _: len(http.request("GET", url).data), "123"))
    assert sizes == [100000] * 3
    assert handle.standin.count() == {"loads": 3, "most_at_once": 3}
