"""Prompts with blocks in quarantine, and what proves a block sound."""

import attrs
import pytest

from sycamorespoke import decisions, quarantine, serving
from tests.fakes import scripted_upstream


def make_block(block_id):
    return decisions.Content(decisions.ContentKind.BLOCK, block_id)


def put_into_quarantine(gateway, content):
    """Put contents into the quarantine of a gateway."""
    record = quarantine.make_quarantined_content(content)
    record = attrs.evolve(record, seen_s=serving.read_clock())
    crashes = quarantine.CrashRecords.from_items([record])
    gateway.views.replace_fields(crashes=crashes)


def start_with_quarantined_block(harness, handle):
    upstream = harness.start_upstream(handle)
    gateway = harness.start_gateway([upstream])
    put_into_quarantine(gateway, make_block("bad"))
    return gateway, upstream


@pytest.mark.parametrize("path", ["/safe/x", "/once/x", "/stream/x"])
def test_prompt_with_a_quarantined_block_is_refused_at_once_as_not_run(harness, path):
    gateway, upstream = start_with_quarantined_block(harness, scripted_upstream.respond)
    prompt = {"X_Sycamorespoke_Prompt_Prefix": "aa:9,bad:5,cc:1"}
    status, headers, _ = gateway.request(path, **prompt)
    assert status == 503
    assert 3590 <= int(headers["Retry-After"]) <= 3600
    assert upstream.requests == []


def test_prompts_beside_a_quarantined_block_are_served(harness):
    gateway, _ = start_with_quarantined_block(harness, scripted_upstream.respond)
    for prefix in ("aa:9,cc:1", "aa:9,bad:1"):
        prompt = {"X_Sycamorespoke_Prompt_Prefix": prefix}
        assert gateway.request("/safe/x", **prompt)[0] == 200
    assert gateway.request("/safe/x")[0] == 200


def test_request_is_not_sent_again_once_its_block_is_quarantined(harness):
    requests = []

    def break_off(request):
        requests.append(request)
        put_into_quarantine(gateway, make_block("bad"))
        scripted_upstream.start_stream(request)
        scripted_upstream.abort(request)

    upstreams = [harness.start_upstream(break_off, name) for name in ("i-1", "i-2")]
    gateway = harness.start_gateway(upstreams)
    prompt = {"X_Sycamorespoke_Prompt_Prefix": "bad:5,cc:1"}
    # It may have run, so the refusal does not say otherwise.
    assert gateway.request("/stream/x", **prompt)[0] == 502
    assert len(requests) == 1


@pytest.mark.parametrize(
    ("framing", "is_sound"),
    [("chunks", True), ("length", True), ("connection_end", False)],
)
def test_only_a_response_with_framing_proves_its_blocks_sound(
    harness, framing, is_sound
):
    body = scripted_upstream.encode_events(1, 2)
    upstream = harness.start_upstream(
        lambda request: scripted_upstream.send_stream(request, framing, body)
    )
    gateway = harness.start_gateway([upstream])
    prompt = {"X_Sycamorespoke_Prompt_Prefix": "aa:5,cc:1"}
    assert gateway.request("/once/x", **prompt)[0] == 200
    now = serving.read_clock()
    sound = gateway.crash_monitor.sound_contents.select({make_block("aa")}, now)
    assert sound == ({make_block("aa")} if is_sound else set())


def test_failed_response_does_not_prove_its_blocks_sound(harness):
    upstream = harness.start_upstream(
        lambda request: scripted_upstream.respond(request, 500, b"fault")
    )
    gateway = harness.start_gateway([upstream])
    prompt = {"X_Sycamorespoke_Prompt_Prefix": "aa:5,cc:1"}
    assert gateway.request("/once/x", **prompt)[0] == 500
    now = serving.read_clock()
    sound_contents = gateway.crash_monitor.sound_contents
    assert sound_contents.select({make_block("aa")}, now) == set()
