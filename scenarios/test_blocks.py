import attrs
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from sycamorespoke import clients, standins
from tests import fakes

scenarios("blocks.feature")

PROMPT = fakes.make_prompt("thread", 3)
KEYS = fakes.make_keys(PROMPT)
VERSION = "v1"


class InterruptedStore(standins.StoreStandin):
    """A store host in which something happens at a moment of a read."""

    def __init__(self, options=None):
        super().__init__(options)
        self.actions_by_moment = {}

    def handle(self, request):
        if request.method == "GET":
            self.act("before the read")
        if request.method == "HEAD":
            self.act("after the last byte")
        return super().handle(request)

    def simulate_read_time(self, length):
        self.act("between two of its halves")

    def act(self, moment):
        self.actions_by_moment.pop(moment, lambda: None)()


@attrs.define
class Situation:
    deployment: fakes.BlockDeployment
    imported: object = None
    computed_tokens: int = 0

    @property
    def store_name(self):
        made = self.deployment
        return made.transfers.locate(KEYS, made.clock()).stores[0]


@pytest.fixture
def situation():
    deployment = fakes.BlockDeployment(store_class=InterruptedStore)
    yield Situation(deployment)
    deployment.transfers.close()


@given("a long prompt of 3 blocks has been served by scribe-1")
def serve(situation):
    assert situation.deployment.generate("scribe-1", PROMPT)[0] == 200


@given("its blocks are at a store host")
@given("its blocks are offered to the store hosts")
def export(situation):
    situation.deployment.export(KEYS)


@given(parsers.parse("the store host has the fault {fault}"))
def set_store_fault(situation, fault):
    store = situation.deployment.stores_by_name[situation.store_name]
    store.set_faults({fault: True})


@given(parsers.parse("the nearest store host has the fault {fault}"))
def set_nearest_store_fault(situation, fault):
    situation.deployment.export(KEYS)
    name = situation.store_name
    situation.deployment.delete_stored(name, KEYS)
    situation.deployment.stores_by_name[name].set_faults({fault: True})


@given(parsers.parse("every store host has the fault {fault}"))
@given(parsers.parse("a store host has the fault {fault}"))
def set_stores_fault(situation, fault):
    for store in situation.deployment.stores_by_name.values():
        store.set_faults({} if fault == "none" else {fault: True})


@given(parsers.parse("scribe-1 has the fault {fault}"))
def set_engine_fault(situation, fault):
    situation.deployment.engines_by_name["scribe-1"].set_faults({fault: True})


@given(parsers.parse("a writer of its blocks is killed after {step}"))
def write_part(situation, step):
    deployment = situation.deployment
    client = deployment.store_client
    host = deployment.hosts_by_name["ledger-cache"]
    for key in KEYS:
        data = b"x" * 1000
        sealed = clients.encode_envelope(clients.Envelope(key, VERSION, data))
        slot = client.allocate(host, key, sealed)
        if step == "half the bytes":
            client.fill(slot, sealed[: len(sealed) // 2])
        elif step == "all the bytes":
            client.fill(slot, sealed)
    deployment.transfers.discover(KEYS, deployment.clock())
    deployment.record_stored(host, KEYS)


@given(parsers.parse("the blocks are freed {moment} and their space is reused"))
def free_and_reuse(situation, moment):
    deployment = situation.deployment
    host = deployment.hosts_by_name[situation.store_name]
    others = fakes.make_keys(fakes.make_prompt("other", 3))

    def act():
        for key in KEYS:
            deployment.store_client.free(host, key)
        for key in others:
            envelope = clients.Envelope(key, VERSION, b"y" * 1000)
            deployment.store_client.write(host, envelope)

    store = deployment.stores_by_name[host.name]
    store.actions_by_moment[moment] = act


@given("the store host dies")
def kill_store(situation):
    del situation.deployment.pool.standins_by_host[situation.store_name]


@given("scribe-2 publishes its cache events late, with gaps and out of order")
def spoil_events(situation):
    faults = {"late_s": 60.0, "drop_every_n": 2, "reorder": True}
    situation.deployment.engines_by_name["scribe-2"].set_faults(faults)


@given("the prompt has been evicted from scribe-2, which no event has told")
def evict(situation):
    situation.deployment.generate("scribe-2", PROMPT)
    for number in range(40):
        prompt = fakes.make_prompt(f"other-{number}", 3)
        situation.deployment.generate("scribe-2", prompt)


@when("the prompt returns to scribe-2")
def come_back(situation):
    come_back_believed(situation, 0)


@when(
    parsers.parse("the prompt returns to scribe-2, believed to cache {skip:d} blocks")
)
def come_back_believed(situation, skip):
    deployment = situation.deployment
    host = deployment.hosts_by_name["scribe-2"]
    situation.imported = deployment.transfers.import_blocks(
        KEYS, VERSION, host, deployment.clock(), skip=skip
    )
    cached_tokens = deployment.count_cached_tokens("scribe-2", PROMPT)
    situation.computed_tokens = 6000 - cached_tokens


@then(parsers.parse("{blocks:d} blocks are imported"))
def check_imported(situation, blocks):
    assert situation.imported.blocks == blocks, situation.imported


@then(parsers.parse("{tokens:d} tokens are computed anew"))
def check_computed(situation, tokens):
    assert situation.computed_tokens == tokens


@then("no engine has taken or used a wrong block")
def check_blocks(situation):
    for engine in situation.deployment.engines_by_name.values():
        counts = engine.count()
        assert counts["wrong_imports"] == 0
        assert counts["runs_with_wrong_blocks"] == 0
