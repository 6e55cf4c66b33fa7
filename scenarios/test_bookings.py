import pytest

from scenarios import deployment

pytestmark = pytest.mark.processes


def test_repeated_key_returns_recorded_response(small_deployment):
    first = small_deployment.send_booking("entry-1", 3, "key-1")
    responses = []

    def is_recorded():
        responses.append(small_deployment.send_booking("entry-2", 3, "key-1"))
        return responses[-1].status != 409

    # The outcome is recorded after the response has been sent. Until then a request
    # with the same key is refused because the first one is in progress.
    deployment.wait_until(is_recorded, 3, "the outcome is recorded")
    assert {response.json()["error"]["code"] for response in responses[:-1]} <= {
        "in_progress"
    }
    assert (first.status, responses[-1].status) == (201, 201)
    assert responses[-1].data == first.data
    assert small_deployment.read_counts("bibdesk-1")["runs_by_key"] == {"key-1": 1}


def test_key_with_other_body_is_refused(small_deployment):
    assert small_deployment.send_booking("entry-1", 3, "key-1").status == 201
    other = small_deployment.send_booking("entry-1", 4, "key-1")
    assert other.status == 422
    assert other.headers["X-Execution"] == "not_run"
    assert small_deployment.read_counts("bibdesk-1")["runs"] == 1


def test_lookup_through_other_entry_host(small_deployment):
    small_deployment.send_booking("entry-1", 3, "key-1")
    response = small_deployment.send_request(
        "entry-2", "GET", "/bookings/1", None, "pickup"
    )
    assert response.status == 200
    assert response.json()["slot"] == 3
