import json

import attrs
import hypothesis
import pytest
from hypothesis import strategies as st
from pytest_bdd import given, parsers, scenarios, then, when

from sycamorespoke import clients, domain, standins
from tests import fakes

scenarios("accounts.feature")

PROMPT = fakes.make_prompt("waiver of the runner", 3)
VERSION = "v1"


class WrongBlockStore(standins.StoreStandin):
    """A store host that can answer reads with the block of another key.

    Block `returned_key` is returned for each read if it is set.
    """

    returned_key = None

    def handle(self, request):
        if self.returned_key and request.path.startswith("/v1/blocks/"):
            path = f"/v1/blocks/{self.returned_key}"
            reply = super().handle(attrs.evolve(request, path=path))
            requested_key = request.path.rsplit("/", 1)[-1]
            return attrs.evolve(
                reply, headers={**reply.headers, "X-Key": requested_key}
            )
        return super().handle(request)


@attrs.define
class ScenarioContext:
    deployment: fakes.BlockDeployment
    keys: tuple = ()
    imported: object = None
    cached_tokens: int = 0

    @property
    def store(self):
        deployment = self.deployment
        keys = fakes.make_keys(PROMPT, "abrr")
        name = deployment.transfers.locate(keys, deployment.clock()).stores[0]
        return deployment.hosts_by_name[name]


@pytest.fixture
def context():
    deployment = fakes.BlockDeployment(store_class=WrongBlockStore)
    yield ScenarioContext(deployment)
    deployment.transfers.close()


@given("account abrr had a long prompt of 3 blocks served by scribe-1")
def serve_prompt(context):
    context.deployment.generate("scribe-1", PROMPT, "abrr")


@given("its blocks are at a store host")
def export_blocks(context):
    context.deployment.export(fakes.make_keys(PROMPT, "abrr"))


@given("the index says that the blocks of clubs are where those of abrr are")
def record_blocks_under_wrong_account(context):
    keys = fakes.make_keys(PROMPT, "clubs")
    context.deployment.record_stored(context.store, keys)


@given("the store host answers for the key asked for")
def answer_correctly():
    pass


@given("the store host has the blocks of abrr filed under clubs' keys")
def store_under_wrong_keys(context):
    client, store = context.deployment.store_client, context.store
    own_keys = fakes.make_keys(PROMPT, "abrr")
    for own, other in zip(own_keys, fakes.make_keys(PROMPT, "clubs"), strict=True):
        encoded = clients.encode_envelope(client.read(store, own, VERSION))
        slot = client.allocate(store, other, encoded)
        client.commit(client.fill(slot, encoded))


@given("the store host answers each read with a block of abrr")
def answer_with_wrong_block(context):
    standin = context.deployment.stores_by_name[context.store.name]
    standin.returned_key = fakes.make_keys(PROMPT, "abrr")[0]


@when(parsers.parse("account {account} sends the same prompt to {engine}"))
def send_prompt(context, account, engine):
    deployment = context.deployment
    context.keys = fakes.make_keys(PROMPT, account)
    context.imported = deployment.import_blocks(context.keys, engine)
    context.cached_tokens = deployment.count_cached_tokens(engine, PROMPT, account)


@when(parsers.parse("blocks are asked for with the key {key}"))
def request_blocks(context, key):
    deployment = context.deployment
    read_result = deployment.store_client.read(context.store, key, VERSION)
    export_result = deployment.transfers.block_client.export_block(
        deployment.hosts_by_name["scribe-1"], key, VERSION
    )
    context.imported = (read_result, export_result)


@then("nothing is found and nothing is imported")
def check_nothing_found(context):
    assert [type(result) for result in context.imported] == [clients.Missing] * 2


@then("none of its tokens were found in a cache")
def check_no_cached_tokens(context):
    assert context.cached_tokens == 0


@then("no store host is known or found to hold its blocks")
def check_not_stored(context):
    deployment = context.deployment
    assert deployment.transfers.locate(context.keys, deployment.clock()).blocks == 0
    assert deployment.transfers.discover(context.keys, deployment.clock()).blocks == 0


@then(parsers.parse("{blocks:d} blocks are imported"))
def check_imported(context, blocks):
    assert context.imported.blocks == blocks, context.imported


@then("no engine has taken or used a wrong block")
def check_no_wrong_blocks(context):
    for engine in context.deployment.engines_by_name.values():
        counts = engine.count()
        assert counts["wrong_imports"] == 0
        assert counts["runs_with_wrong_blocks"] == 0


@then("neither the statistics nor the reasons hold a key, an account or text")
def check_no_secrets_in_statistics(context):
    deployment = context.deployment
    stats = deployment.transfers.stats(deployment.clock())
    text = json.dumps(attrs.asdict(stats)) + context.imported.reason
    assert context.imported.reason
    keys = fakes.make_keys(PROMPT, "abrr") + context.keys
    for secret in (*keys, "abrr", "clubs", "waiver"):
        assert secret not in text


TEXTS = st.text("ab|:, \x00", max_size=6)


@pytest.mark.accounts
@hypothesis.settings(derandomize=True, deadline=None, max_examples=500)
@hypothesis.given(
    st.tuples(TEXTS, TEXTS, TEXTS, TEXTS), st.tuples(TEXTS, TEXTS, TEXTS, TEXTS)
)
def test_keys_of_two_accounts_never_meet(one, other):
    hypothesis.assume(one != other)
    keys = set(_make_keys(*one))
    assert not keys & set(_make_keys(*other))


def _make_keys(account, model, version, adapter):
    return domain.chain_block_keys(account, model, version, PROMPT, adapter).keys
