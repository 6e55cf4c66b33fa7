import json
import threading
import time

import pytest
import urllib3

from scenarios import callers, deployment
from sycamorespoke import standins

pytestmark = [pytest.mark.processes, pytest.mark.accounts]

SAME_ID = {"X-Request-Id": "the-same-id"}
TOKENS = 60
ENGINE = standins.EngineOptions(warm_up_s=0.0, token_s=0.03)


def test_disconnect_does_not_cancel_same_request_id_of_another_account(make_deployment):
    cluster = make_deployment({"scribe-1": ("seeb", ENGINE)}, {}, {"entry-1": "seeb"})
    cluster.start()
    responses = []

    def send_request():
        body = {
            "model": "scribe",
            "prompt": "mine",
            "max_tokens": TOKENS,
            "stream": True,
        }
        response = cluster.send_request(
            "entry-1", "POST", "/v1/completions", body, "clubs", SAME_ID
        )
        responses.append(
            callers.CompletionResponse(
                "entry-1", "mine", TOKENS, response.status, response.data
            )
        )

    other = urllib3.request(
        "POST",
        cluster.entries_by_name["entry-1"].url + "/v1/completions",
        json={"model": "scribe", "prompt": "other", "max_tokens": 60, "stream": True},
        headers={
            "Authorization": f"Bearer {deployment.API_KEYS_BY_ACCOUNT['pickup']}",
            **SAME_ID,
        },
        preload_content=False,
    )
    next(other.stream(64))
    thread = threading.Thread(target=send_request)
    thread.start()
    time.sleep(0.3)
    other.close()
    thread.join(30)
    assert responses[0].is_complete(), responses[0].error
    assert cluster.read_counts("scribe-1")["runs"] == 2


def test_logs_contain_request_id_but_no_content(make_deployment):
    cluster = make_deployment({"scribe-1": ("seeb", ENGINE)}, {}, {"entry-1": "seeb"})
    cluster.start()
    cluster.send_completion("entry-1", "a secret thread", max_tokens=2, headers=SAME_ID)
    cluster.send_request("entry-1", "GET", "/missing", None, "pickup", SAME_ID)
    entry = cluster.entries_by_name["entry-1"]
    dump = entry.get("/dump", operators=True).data.decode()
    text = entry.log_path.read_text()
    lines = [json.loads(line) for line in text.splitlines() if line]
    request_lines = [line for line in lines if line.get("request_id") == "the-same-id"]
    accounts = [line["client_account"] for line in request_lines]
    assert accounts == ["clubs", "pickup"]
    assert [line["error_kind"] for line in request_lines] == [None, "no_route"]
    assert {line["revision"] for line in request_lines} == {1}
    for secret in ["a secret thread", *deployment.API_KEYS_BY_ACCOUNT.values()]:
        assert secret not in text + dump
