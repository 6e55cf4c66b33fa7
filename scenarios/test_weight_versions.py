import json
import threading
import time

import attrs
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from sycamorespoke import clients, domain, standins
from tests import fakes

scenarios("weight_versions.feature")

PROMPT = fakes.make_prompt("complaint", 3)
BOUND_S = 3.0
STREAM_TOKENS = 40


@attrs.define
class ScenarioContext:
    deployment: fakes.BlockDeployment
    result: object = None
    thread: threading.Thread = None
    handle: standins.Handle = None
    outcome: list = attrs.field(factory=list)

    def locate_store(self):
        deployment = self.deployment
        keys = fakes.make_keys(PROMPT)
        name = deployment.transfers.locate(keys, deployment.clock()).stores[0]
        return deployment.hosts_by_name[name]


@pytest.fixture
def context():
    result = ScenarioContext(fakes.BlockDeployment(concurrency=1))
    yield result
    result.deployment.transfers.close()
    if result.handle:
        result.handle.close()


def wait_until(condition):
    ends_s = time.monotonic() + BOUND_S
    while not condition():
        assert time.monotonic() < ends_s
        time.sleep(0.01)


def start_request(context, request_id, max_tokens):
    """Send a request in a thread that adds its status and lines to `outcome`."""

    def send():
        context.outcome.append(
            context.deployment.generate(
                "scribe-1", PROMPT, max_tokens=max_tokens, request_id=request_id
            )
        )

    context.thread = threading.Thread(target=send)
    context.thread.start()


@given("a long prompt of 3 blocks was served with version v1 by scribe-1")
def serve_prompt(context):
    assert context.deployment.generate("scribe-1", PROMPT)[0] == 200


@given("its blocks are at a store host")
def export_blocks(context):
    context.deployment.export(fakes.make_keys(PROMPT))


@given(parsers.parse("{engine} has loaded version {version}"))
@when(parsers.parse("{engine} loads version {version} before its end"))
@when(parsers.parse("{engine} loads version {version} before its turn"))
def load_version(context, engine, version):
    context.deployment.load_weights(engine, version)


@given("scribe-2 loads version v2 as soon as a block has been read for it")
def load_version_after_first_read(context):
    deployment = context.deployment
    read_unpatched = deployment.store_client.read

    def read(*arguments):
        result = read_unpatched(*arguments)
        deployment.store_client.read = read_unpatched
        deployment.load_weights("scribe-2", "v2")
        return result

    deployment.store_client.read = read


@given("the store host has blocks of version v1 filed under keys of version v2")
def store_under_wrong_keys(context):
    client, store = context.deployment.store_client, context.locate_store()
    old_keys = fakes.make_keys(PROMPT, version="v1")
    new_keys = fakes.make_keys(PROMPT, version="v2")
    for old, new in zip(old_keys, new_keys, strict=True):
        encoded = clients.encode_envelope(client.read(store, old, "v1"))
        slot = client.allocate(store, new, encoded)
        client.commit(client.fill(slot, encoded))
    context.deployment.record_stored(store, new_keys)


@given("scribe-2 caches blocks of version v2 under keys of version v1")
def cache_under_wrong_keys(context):
    prompt = fakes.make_prompt("other", 3)
    keys = fakes.make_keys(prompt, version="v1")
    context.result = keys
    context.deployment.generate_with_keys("scribe-2", prompt, keys, "v2")


@when("those blocks are offered to the store hosts")
def export_wrong_blocks(context):
    context.deployment.export(context.result, "scribe-2")


@then("none of them was exported")
def check_not_exported(context):
    deployment = context.deployment
    assert deployment.transfers.discover(context.result, deployment.clock()).blocks == 0
    assert deployment.transfers.stats(deployment.clock()).failures_by_kind == {
        "Stale": 1
    }


@given("scribe-1 is full and a request with version v1 queues")
def queue_request(context):
    engine = context.deployment.engines_by_name["scribe-1"]
    engine.options = attrs.evolve(engine.options, token_s=0.05)
    engine.set_limit(1)
    first = threading.Thread(
        target=context.deployment.generate,
        args=("scribe-1", PROMPT),
        kwargs={"max_tokens": 1000, "request_id": "first"},
    )
    first.start()
    wait_until(lambda: engine.report()["running"] == 1)
    start_request(context, "queued", 1)
    wait_until(lambda: engine.report()["queued"] == 1)
    context.result = first


@then("the queued request was refused and has not run")
def check_queued_request_refused(context):
    context.deployment.cancel("scribe-1", "first")
    context.thread.join()
    context.result.join()
    assert context.outcome == [(409, [{"error": "version"}])]
    engine = context.deployment.engines_by_name["scribe-1"]
    assert "queued" not in engine.count()["runs_by_request_id"]


@given("scribe-1 streams an answer with version v1")
def start_stream(context):
    engine = context.deployment.engines_by_name["scribe-1"]
    engine.options = attrs.evolve(engine.options, token_s=0.05)
    start_request(context, "stream", STREAM_TOKENS)
    wait_until(lambda: engine.report()["running"] == 1)


@then("the stream is whole and all of it is of version v1")
def check_stream_complete(context):
    assert context.deployment.engines_by_name["scribe-1"].report()["running"] == 1
    context.thread.join()
    [(status, lines)] = context.outcome
    assert (status, lines[0]["version"]) == (200, "v1")
    assert (lines[-1]["done"], lines[-1]["count"]) == (True, STREAM_TOKENS)


@given("scribe-1 reports its version 60 s late")
def set_version_report_lag(context):
    faults = {"version_report_lag_s": 60.0}
    context.deployment.engines_by_name["scribe-1"].set_faults(faults)


@then("scribe-1 reports version v1")
def check_reported_version(context):
    deployment = context.deployment
    response = deployment.pool.request(
        "GET", deployment.hosts_by_name["scribe-1"], "/v1/load"
    )
    assert json.loads(response.data)["version"] == "v1"


@given("scribe-1 ignores the version of a request")
def ignore_version(context):
    faults = {"ignores_version": True}
    context.deployment.engines_by_name["scribe-1"].set_faults(faults)


@when(parsers.parse("the prompt is sent with version {version} to {engine}"))
def send_prompt(context, version, engine):
    context.result = context.deployment.generate(engine, PROMPT, version=version)


@when("the prompt is sent with version v1 through the engine client")
def send_with_engine_client(context):
    engine = context.deployment.engines_by_name["scribe-1"]
    context.handle = standins.run_in_thread(engine, threads=4)
    host = attrs.evolve(
        context.deployment.hosts_by_name["scribe-1"],
        address=context.handle.address,
    )
    request = clients.GenerationRequest(
        request_id="late",
        account="abrr",
        model="scribe",
        version="v1",
        prompt=PROMPT,
        block_keys=fakes.make_keys(PROMPT),
        max_tokens=3,
        priority=5,
    )
    stream = clients.EngineClient().generate(host, request, 5.0)
    context.result = list(stream.messages())


@then("the answer is rejected as of another version")
def check_rejected(context):
    assert [type(result) for result in context.result] == [clients.Mismatch]


@then(parsers.parse("it was served and {tokens:d} tokens were computed"))
def check_served_and_computed_tokens(context, tokens):
    status, lines = context.result
    assert status == 200
    assert lines[0]["prompt_tokens"] - lines[0]["cached_tokens"] == tokens


@then("no store host is known or found to hold blocks of version v2")
def check_not_stored(context):
    deployment = context.deployment
    keys = fakes.make_keys(PROMPT, version="v2")
    assert deployment.transfers.locate(keys, deployment.clock()).blocks == 0
    assert deployment.transfers.discover(keys, deployment.clock()).blocks == 0


@when(parsers.parse("the blocks of version {version} are imported to scribe-2"))
def import_blocks(context, version):
    keys = fakes.make_keys(PROMPT, version=version)
    context.result = context.deployment.import_blocks(keys, version=version)


@then(parsers.parse("{blocks:d} blocks are imported"))
def check_imported(context, blocks):
    assert context.result.blocks == blocks, context.result


@then(
    parsers.parse(
        "a request with version {version} computes {tokens:d} tokens at {engine}"
    )
)
def check_computed_tokens(context, version, tokens, engine):
    deployment = context.deployment
    cached_tokens = deployment.count_cached_tokens(engine, PROMPT, version=version)
    assert 3 * domain.BLOCK_TOKENS - cached_tokens == tokens
    counts = deployment.engines_by_name[engine].count()
    assert counts["runs_with_other_version"] == 0
    assert counts["wrong_imports"] == 0


@then("a new request with version v1 is refused at scribe-1")
def check_new_request_refused(context):
    assert context.deployment.generate("scribe-1", PROMPT)[0] == 409
