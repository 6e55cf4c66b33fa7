import attrs
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from sycamorespoke import clients, standins
from tests import fakes

scenarios("blocks.feature")

PROMPT = fakes.make_prompt("thread", 3)
KEYS = fakes.make_keys(PROMPT)
VERSION = "v1"


class ReadHookStore(standins.StoreStandin):
    """A store host that runs an action once at a given point of a read."""

    def __init__(self, options=None):
        super().__init__(options)
        self.actions_by_moment = {}

    def handle(self, request):
        if request.method == "GET":
            self.run_action("before the read")
        if request.method == "HEAD":
            self.run_action("after the last byte")
        return super().handle(request)

    def simulate_read_time(self, length):
        self.run_action("between two of its halves")

    def run_action(self, moment):
        self.actions_by_moment.pop(moment, lambda: None)()


@attrs.define
class ScenarioContext:
    deployment: fakes.BlockDeployment
    imported: object = None
    computed_tokens: int = 0

    @property
    def store_name(self):
        deployment = self.deployment
        return deployment.transfers.locate(KEYS, deployment.clock()).stores[0]


@pytest.fixture
def context():
    deployment = fakes.BlockDeployment(store_class=ReadHookStore)
    yield ScenarioContext(deployment)
    deployment.transfers.close()


@given("a long prompt of 3 blocks has been served by scribe-1")
def serve_prompt(context):
    assert context.deployment.generate("scribe-1", PROMPT)[0] == 200


@given("its blocks are at a store host")
@given("its blocks are offered to the store hosts")
def export_blocks(context):
    context.deployment.export(KEYS)


@given(parsers.parse("the store host has the fault {fault}"))
def set_fault_at_store(context, fault):
    store = context.deployment.stores_by_name[context.store_name]
    store.set_faults({fault: True})


@given(parsers.parse("the nearest store host has the fault {fault}"))
def set_fault_at_nearest_store(context, fault):
    context.deployment.export(KEYS)
    name = context.store_name
    context.deployment.delete_stored(name, KEYS)
    context.deployment.stores_by_name[name].set_faults({fault: True})


@given(parsers.parse("every store host has the fault {fault}"))
@given(parsers.parse("a store host has the fault {fault}"))
def set_fault_at_all_stores(context, fault):
    for store in context.deployment.stores_by_name.values():
        store.set_faults({} if fault == "none" else {fault: True})


@given(parsers.parse("scribe-1 has the fault {fault}"))
def set_fault_at_engine(context, fault):
    context.deployment.engines_by_name["scribe-1"].set_faults({fault: True})


@given(parsers.parse("a writer of its blocks is killed after {step}"))
def write_partially(context, step):
    deployment = context.deployment
    client = deployment.store_client
    host = deployment.hosts_by_name["ledger-cache"]
    for key in KEYS:
        data = b"x" * 1000
        encoded = clients.encode_envelope(clients.Envelope(key, VERSION, data))
        slot = client.allocate(host, key, encoded)
        if step == "half the bytes":
            client.fill(slot, encoded[: len(encoded) // 2])
        elif step == "all the bytes":
            client.fill(slot, encoded)
    deployment.transfers.discover(KEYS, deployment.clock())
    deployment.record_stored(host, KEYS)


@given(parsers.parse("the blocks are freed {moment} and their space is reused"))
def free_and_reuse(context, moment):
    deployment = context.deployment
    host = deployment.hosts_by_name[context.store_name]
    other_keys = fakes.make_keys(fakes.make_prompt("other", 3))

    def free_and_overwrite():
        for key in KEYS:
            deployment.store_client.free(host, key)
        for key in other_keys:
            envelope = clients.Envelope(key, VERSION, b"y" * 1000)
            deployment.store_client.write(host, envelope)

    store = deployment.stores_by_name[host.name]
    store.actions_by_moment[moment] = free_and_overwrite


@given("the store host dies")
def kill_store(context):
    del context.deployment.pool.standins_by_host[context.store_name]


@given("scribe-2 publishes its cache events late, with gaps and out of order")
def set_cache_event_faults(context):
    faults = {"late_s": 60.0, "drop_every_n": 2, "reorder": True}
    context.deployment.engines_by_name["scribe-2"].set_faults(faults)


@given("the prompt has been evicted from scribe-2, which no event has told")
def evict_prompt(context):
    context.deployment.generate("scribe-2", PROMPT)
    for number in range(40):
        prompt = fakes.make_prompt(f"other-{number}", 3)
        context.deployment.generate("scribe-2", prompt)


@when("the prompt returns to scribe-2")
def resend_prompt(context):
    import_and_resend_prompt(context, 0)


@when(
    parsers.parse("the prompt returns to scribe-2, believed to cache {skip:d} blocks")
)
def import_and_resend_prompt(context, skip):
    deployment = context.deployment
    host = deployment.hosts_by_name["scribe-2"]
    context.imported = deployment.transfers.import_blocks(
        KEYS, VERSION, host, deployment.clock(), skip=skip
    )
    cached_tokens = deployment.count_cached_tokens("scribe-2", PROMPT)
    context.computed_tokens = 6000 - cached_tokens


@then(parsers.parse("{blocks:d} blocks are imported"))
def check_imported(context, blocks):
    assert context.imported.blocks == blocks, context.imported


@then(parsers.parse("{tokens:d} tokens are computed anew"))
def check_computed_tokens(context, tokens):
    assert context.computed_tokens == tokens


@then("no engine has taken or used a wrong block")
def check_no_wrong_blocks(context):
    for engine in context.deployment.engines_by_name.values():
        counts = engine.count()
        assert counts["wrong_imports"] == 0
        assert counts["runs_with_wrong_blocks"] == 0
