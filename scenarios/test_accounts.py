import json

import attrs
import hypothesis
import pytest
from hypothesis import strategies as st
from pytest_bdd import given, parsers, scenarios, then, when

from sycamorespoke import clients, standins, world
from tests import fakes

scenarios("accounts.feature")

PROMPT = fakes.make_prompt("waiver of the runner", 3)
VERSION = "v1"


class CrossedStore(standins.StoreStandin):
    """A store host that may answer each read with another block."""

    answer_with = None

    def handle(self, request):
        if self.answer_with and request.path.startswith("/v1/blocks/"):
            path = f"/v1/blocks/{self.answer_with}"
            reply = super().handle(attrs.evolve(request, path=path))
            asked_for = request.path.rsplit("/", 1)[-1]
            return attrs.evolve(reply, headers={**reply.headers, "X-Key": asked_for})
        return super().handle(request)


@attrs.define
class Situation:
    deployment: fakes.BlockDeployment
    keys: tuple = ()
    imported: object = None
    cached_tokens: int = 0

    @property
    def store(self):
        made = self.deployment
        keys = fakes.make_keys(PROMPT, "abrr")
        name = made.transfers.locate(keys, made.clock()).stores[0]
        return made.hosts_by_name[name]


@pytest.fixture
def situation():
    deployment = fakes.BlockDeployment(store_class=CrossedStore)
    yield Situation(deployment)
    deployment.transfers.close()


@given("account abrr had a long prompt of 3 blocks served by scribe-1")
def serve(situation):
    situation.deployment.generate("scribe-1", PROMPT, "abrr")


@given("its blocks are at a store host")
def export(situation):
    situation.deployment.export(fakes.make_keys(PROMPT, "abrr"))


@given("the index says that the blocks of clubs are where those of abrr are")
def cross_index(situation):
    keys = fakes.make_keys(PROMPT, "clubs")
    situation.deployment.record_stored(situation.store, keys)


@given("the store host answers for the key asked for")
def answer_truly():
    pass


@given("the store host has the blocks of abrr filed under clubs' keys")
def file_wrongly(situation):
    client, store = situation.deployment.store_client, situation.store
    own_keys = fakes.make_keys(PROMPT, "abrr")
    for own, other in zip(own_keys, fakes.make_keys(PROMPT, "clubs"), strict=True):
        sealed = clients.encode_envelope(client.read(store, own, VERSION))
        slot = client.allocate(store, other, sealed)
        client.commit(client.fill(slot, sealed))


@given("the store host answers each read with a block of abrr")
def answer_wrongly(situation):
    standin = situation.deployment.stores_by_name[situation.store.name]
    standin.answer_with = fakes.make_keys(PROMPT, "abrr")[0]


@when(parsers.parse("account {account} sends the same prompt to {engine}"))
def send(situation, account, engine):
    deployment = situation.deployment
    situation.keys = fakes.make_keys(PROMPT, account)
    situation.imported = deployment.import_blocks(situation.keys, engine)
    situation.cached_tokens = deployment.count_cached_tokens(engine, PROMPT, account)


@when(parsers.parse("blocks are asked for with the key {key}"))
def ask(situation, key):
    deployment = situation.deployment
    found = deployment.store_client.read(situation.store, key, VERSION)
    exported = deployment.transfers.block_client.export_block(
        deployment.hosts_by_name["scribe-1"], key, VERSION
    )
    situation.imported = (found, exported)


@then("nothing is found and nothing is imported")
def check_nothing(situation):
    assert [type(each) for each in situation.imported] == [clients.Missing] * 2


@then("none of its tokens were found in a cache")
def check_no_cached(situation):
    assert situation.cached_tokens == 0


@then("no store host is known or found to hold its blocks")
def check_not_stored(situation):
    made = situation.deployment
    assert made.transfers.locate(situation.keys, made.clock()).blocks == 0
    assert made.transfers.discover(situation.keys, made.clock()).blocks == 0


@then(parsers.parse("{blocks:d} blocks are imported"))
def check_imported(situation, blocks):
    assert situation.imported.blocks == blocks, situation.imported


@then("no engine has taken or used a wrong block")
def check_blocks(situation):
    for engine in situation.deployment.engines_by_name.values():
        counts = engine.count()
        assert counts["wrong_imports"] == 0
        assert counts["runs_with_wrong_blocks"] == 0


@then("neither the statistics nor the reasons hold a key, an account or text")
def check_shown(situation):
    made = situation.deployment
    stats = made.transfers.stats(made.clock())
    shown = json.dumps(attrs.asdict(stats)) + situation.imported.reason
    assert situation.imported.reason
    keys = fakes.make_keys(PROMPT, "abrr") + situation.keys
    for secret in (*keys, "abrr", "clubs", "waiver"):
        assert secret not in shown


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
    return world.chain_block_keys(account, model, version, PROMPT, adapter).keys
