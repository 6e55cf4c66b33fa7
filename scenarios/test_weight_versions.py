import json
import threading
import time

import attrs
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from sycamorespoke import clients, standins, world
from tests import fakes

scenarios("weight_versions.feature")

PROMPT = fakes.make_prompt("complaint", 3)
BOUND_S = 3.0
STREAM_TOKENS = 40


@attrs.define
class Situation:
    deployment: fakes.BlockDeployment
    result: object = None
    thread: threading.Thread = None
    handle: standins.Handle = None
    outcome: list = attrs.field(factory=list)

    def fetch_store(self):
        made = self.deployment
        keys = fakes.make_keys(PROMPT)
        name = made.transfers.locate(keys, made.clock()).stores[0]
        return made.hosts_by_name[name]


@pytest.fixture
def situation():
    result = Situation(fakes.BlockDeployment(concurrency=1))
    yield result
    result.deployment.transfers.close()
    if result.handle:
        result.handle.close()


def wait_until(condition):
    ends_s = time.monotonic() + BOUND_S
    while not condition():
        assert time.monotonic() < ends_s
        time.sleep(0.01)


def start_request(situation, request_id, max_tokens):
    """Send a request in a thread; its status and lines become the outcome."""

    def send():
        situation.outcome.append(
            situation.deployment.generate(
                "scribe-1", PROMPT, max_tokens=max_tokens, request_id=request_id
            )
        )

    situation.thread = threading.Thread(target=send)
    situation.thread.start()


@given("a long prompt of 3 blocks was served with version v1 by scribe-1")
def serve(situation):
    assert situation.deployment.generate("scribe-1", PROMPT)[0] == 200


@given("its blocks are at a store host")
def export(situation):
    situation.deployment.export(fakes.make_keys(PROMPT))


@given(parsers.parse("{engine} has loaded version {version}"))
@when(parsers.parse("{engine} loads version {version} before its end"))
@when(parsers.parse("{engine} loads version {version} before its turn"))
def load(situation, engine, version):
    situation.deployment.load_weights(engine, version)


@given("scribe-2 loads version v2 as soon as a block has been read for it")
def load_on_read(situation):
    made = situation.deployment
    original = made.store_client.read

    def read(*arguments):
        result = original(*arguments)
        made.store_client.read = original
        made.load_weights("scribe-2", "v2")
        return result

    made.store_client.read = read


@given("the store host has blocks of version v1 filed under keys of version v2")
def file_wrongly(situation):
    client, store = situation.deployment.store_client, situation.fetch_store()
    old_keys = fakes.make_keys(PROMPT, version="v1")
    new_keys = fakes.make_keys(PROMPT, version="v2")
    for old, new in zip(old_keys, new_keys, strict=True):
        sealed = clients.encode_envelope(client.read(store, old, "v1"))
        slot = client.allocate(store, new, sealed)
        client.commit(client.fill(slot, sealed))
    situation.deployment.record_stored(store, new_keys)


@given("scribe-2 caches blocks of version v2 under keys of version v1")
def cache_wrongly(situation):
    prompt = fakes.make_prompt("other", 3)
    keys = fakes.make_keys(prompt, version="v1")
    situation.result = keys
    situation.deployment.generate_with_keys("scribe-2", prompt, keys, "v2")


@when("those blocks are offered to the store hosts")
def offer(situation):
    situation.deployment.export(situation.result, "scribe-2")


@then("none of them was exported")
def check_not_exported(situation):
    made = situation.deployment
    assert made.transfers.discover(situation.result, made.clock()).blocks == 0
    assert made.transfers.stats(made.clock()).failures_by_kind == {"Stale": 1}


@given("scribe-1 is full and a request with version v1 queues")
def fill(situation):
    engine = situation.deployment.engines_by_name["scribe-1"]
    engine.options = attrs.evolve(engine.options, token_s=0.05)
    engine.set_limit(1)
    first = threading.Thread(
        target=situation.deployment.generate,
        args=("scribe-1", PROMPT),
        kwargs={"max_tokens": 1000, "request_id": "first"},
    )
    first.start()
    wait_until(lambda: engine.report()["running"] == 1)
    start_request(situation, "queued", 1)
    wait_until(lambda: engine.report()["queued"] == 1)
    situation.result = first


@then("the queued request was refused and has not run")
def check_queued(situation):
    situation.deployment.cancel("scribe-1", "first")
    situation.thread.join()
    situation.result.join()
    assert situation.outcome == [(409, [{"error": "version"}])]
    engine = situation.deployment.engines_by_name["scribe-1"]
    assert "queued" not in engine.count()["runs_by_request_id"]


@given("scribe-1 streams an answer with version v1")
def stream(situation):
    engine = situation.deployment.engines_by_name["scribe-1"]
    engine.options = attrs.evolve(engine.options, token_s=0.05)
    start_request(situation, "stream", STREAM_TOKENS)
    wait_until(lambda: engine.report()["running"] == 1)


@then("the stream is whole and all of it is of version v1")
def check_stream(situation):
    assert situation.deployment.engines_by_name["scribe-1"].report()["running"] == 1
    situation.thread.join()
    [(status, lines)] = situation.outcome
    assert (status, lines[0]["version"]) == (200, "v1")
    assert (lines[-1]["done"], lines[-1]["count"]) == (True, STREAM_TOKENS)


@given("scribe-1 reports its version 60 s late")
def report_late(situation):
    faults = {"version_report_lag_s": 60.0}
    situation.deployment.engines_by_name["scribe-1"].set_faults(faults)


@then("scribe-1 reports version v1")
def check_report(situation):
    made = situation.deployment
    response = made.pool.request("GET", made.hosts_by_name["scribe-1"], "/v1/load")
    assert json.loads(response.data)["version"] == "v1"


@given("scribe-1 ignores the version of a request")
def ignore_version(situation):
    faults = {"ignores_version": True}
    situation.deployment.engines_by_name["scribe-1"].set_faults(faults)


@when(parsers.parse("the prompt is sent with version {version} to {engine}"))
def send(situation, version, engine):
    situation.result = situation.deployment.generate(engine, PROMPT, version=version)


@when("the prompt is sent with version v1 through the engine client")
def send_through_client(situation):
    engine = situation.deployment.engines_by_name["scribe-1"]
    situation.handle = standins.run_in_thread(engine, threads=4)
    host = attrs.evolve(
        situation.deployment.hosts_by_name["scribe-1"],
        address=situation.handle.address,
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
    opened = clients.EngineClient().generate(host, request, 5.0)
    situation.result = list(opened.messages())


@then("the answer is rejected as of another version")
def check_rejected(situation):
    assert [type(each) for each in situation.result] == [clients.Mismatch]


@then(parsers.parse("it was served and {tokens:d} tokens were computed"))
def check_computed(situation, tokens):
    status, lines = situation.result
    assert status == 200
    assert lines[0]["prompt_tokens"] - lines[0]["cached_tokens"] == tokens


@then("no store host is known or found to hold blocks of version v2")
def check_not_stored(situation):
    made = situation.deployment
    keys = fakes.make_keys(PROMPT, version="v2")
    assert made.transfers.locate(keys, made.clock()).blocks == 0
    assert made.transfers.discover(keys, made.clock()).blocks == 0


@when(parsers.parse("the blocks of version {version} are imported to scribe-2"))
def bring(situation, version):
    keys = fakes.make_keys(PROMPT, version=version)
    situation.result = situation.deployment.import_blocks(keys, version=version)


@then(parsers.parse("{blocks:d} blocks are imported"))
def check_imported(situation, blocks):
    assert situation.result.blocks == blocks, situation.result


@then(
    parsers.parse(
        "a request with version {version} computes {tokens:d} tokens at {engine}"
    )
)
def check_request(situation, version, tokens, engine):
    made = situation.deployment
    cached_tokens = made.count_cached_tokens(engine, PROMPT, version=version)
    assert 3 * world.BLOCK_TOKENS - cached_tokens == tokens
    counts = made.engines_by_name[engine].count()
    assert counts["runs_with_other_version"] == 0
    assert counts["wrong_imports"] == 0


@then("a new request with version v1 is refused at scribe-1")
def check_refused(situation):
    assert situation.deployment.generate("scribe-1", PROMPT)[0] == 409
