import threading
import time

import attrs
import pytest

from sycamorespoke import domain, transfers
from tests import fakes

BLOCKS = 3
PROMPT = fakes.make_prompt("waiver", BLOCKS)
KEYS = fakes.make_keys(PROMPT)


@pytest.fixture
def deployment():
    made = fakes.BlockDeployment()
    yield made
    made.transfers.close()


def test_exported_blocks_can_be_imported_by_another_engine(deployment):
    deployment.generate("scribe-1", PROMPT)
    deployment.export(KEYS)
    assert deployment.transfers.locate(KEYS, deployment.clock()).blocks == BLOCKS
    assert deployment.import_blocks(KEYS) == transfers.ImportResult(
        BLOCKS, BLOCKS * 1000
    )
    cached_tokens = deployment.count_cached_tokens("scribe-2", PROMPT)
    assert cached_tokens == BLOCKS * domain.BLOCK_TOKENS
    stats = deployment.transfers.stats(deployment.clock())
    assert (stats.exported_blocks, stats.imported_blocks) == (BLOCKS, BLOCKS)
    assert stats.failures_by_kind == {}


def test_import_skips_cached_blocks(deployment):
    deployment.generate("scribe-1", PROMPT)
    deployment.export(KEYS)
    host = deployment.hosts_by_name["scribe-2"]
    imported = deployment.transfers.import_blocks(
        KEYS, "v1", host, deployment.clock(), skip=2
    )
    assert imported == transfers.ImportResult(BLOCKS, 1000)


def test_discover_finds_blocks_exported_by_another_entry_host(deployment):
    deployment.generate("scribe-1", PROMPT)
    deployment.export(KEYS)
    fresh = deployment.make_transfers()
    longer = fakes.make_keys(PROMPT + "y" * 16000)
    assert fresh.locate(longer, deployment.clock()).blocks == 0
    assert fresh.discover(longer, deployment.clock()).blocks == BLOCKS
    assert deployment.import_blocks(KEYS, entry_transfers=fresh).blocks == BLOCKS
    # A new entry host does not export them again.
    before = sum(s.count()["written_bytes"] for s in deployment.stores_by_name.values())
    deployment.export(KEYS, entry_transfers=deployment.make_transfers())
    after = sum(s.count()["written_bytes"] for s in deployment.stores_by_name.values())
    assert before == after


def test_export_stops_at_an_evicted_block():
    deployment = fakes.BlockDeployment(cache_blocks=2)
    deployment.generate("scribe-1", PROMPT)
    deployment.export(KEYS)
    stats = deployment.transfers.stats(deployment.clock())
    assert (stats.exported_blocks, stats.failures_by_kind) == (0, {"Missing": 1})


def test_unreachable_store_is_suspended_and_another_store_is_used(deployment):
    deployment.generate("scribe-1", PROMPT)
    deployment.export(KEYS)
    name = deployment.transfers.locate(KEYS, deployment.clock()).stores[0]
    del deployment.pool.standins_by_host[name]
    assert deployment.import_blocks(KEYS).blocks == 0
    now = deployment.clock()
    assert deployment.transfers.stats(now).suspended_stores == [name]
    assert deployment.transfers.locate(KEYS, now).blocks == 0
    deployment.export(KEYS)
    stores = deployment.transfers.locate(KEYS, deployment.clock()).stores
    assert set(stores) == set(deployment.stores_by_name) - {name}


@pytest.mark.parametrize("lists_nothing", [False, True])
def test_full_store_evicts_least_recently_used_blocks(deployment, lists_nothing):
    for store in deployment.stores_by_name.values():
        store.options = type(store.options)(
            capacity_bytes=4 * 1064, lists_nothing=lists_nothing
        )
    prompts = [fakes.make_prompt(name) for name in ("a", "b", "c", "d", "e", "f")]
    for prompt in prompts:
        deployment.generate("scribe-1", prompt)
        deployment.export(fakes.make_keys(prompt))
    stats = deployment.transfers.stats(deployment.clock())
    assert stats.freed_blocks > 0
    last = fakes.make_keys(prompts[-1])
    assert deployment.transfers.locate(last, deployment.clock()).blocks == BLOCKS
    assert deployment.import_blocks(last).blocks == BLOCKS


def test_store_full_of_unindexed_blocks_accepts_new_blocks(deployment):
    for store in deployment.stores_by_name.values():
        store.options = type(store.options)(capacity_bytes=4 * 1064)
    # Blocks of replaced entry hosts are missing from the index of the new one.
    for name in ("a", "b", "c"):
        prompt = fakes.make_prompt(name)
        deployment.generate("scribe-1", prompt)
        deployment.export(
            fakes.make_keys(prompt), entry_transfers=deployment.make_transfers()
        )
    deployment.generate("scribe-1", PROMPT)
    deployment.export(KEYS)
    assert deployment.import_blocks(KEYS).blocks == BLOCKS


def test_leaving_store_gets_no_new_blocks(deployment):
    stores = [
        attrs.evolve(store, state=domain.HostState.LEAVING)
        for store in deployment.list_stores()
    ]
    deployment.transfers.configure({}, stores)
    deployment.generate("scribe-1", PROMPT)
    deployment.export(KEYS)
    written = [s.count()["written_bytes"] for s in deployment.stores_by_name.values()]
    assert written == [0, 0]


@pytest.mark.parametrize("share", [1.0, 0.25])
def test_exports_stay_within_link_budget(share):
    link = domain.Link(("seeb", "seeb"), bytes_per_s=10_000.0)
    deployment = fakes.BlockDeployment(
        links_by_ends={link.ends: link}, share=share, concurrency=1
    )
    start = deployment.clock()
    for number in range(10):
        prompt = fakes.make_prompt(f"thread-{number}")
        deployment.generate("scribe-1", prompt)
        deployment.export(fakes.make_keys(prompt))
    stats = deployment.transfers.stats(deployment.clock())
    elapsed_s = deployment.clock() - start
    burst_bytes = 0.25 * link.bytes_per_s
    moved = stats.bytes_by_link["seeb-seeb"]
    assert moved <= elapsed_s * link.bytes_per_s + burst_bytes + 1064


def test_import_stops_at_its_timeout(deployment):
    deployment.generate("scribe-1", PROMPT)
    deployment.export(KEYS)
    ends = [("seeb", "seeb"), ("ruwi", "seeb")]
    slow_links = {each: domain.Link(each, bytes_per_s=100.0) for each in ends}
    slow = deployment.make_transfers(slow_links, concurrency=1)
    slow.discover(KEYS, deployment.clock())
    host = deployment.hosts_by_name["scribe-2"]
    now = deployment.clock()
    imported = slow.import_blocks(KEYS, "v1", host, now, timeout_s=5.0)
    assert imported.blocks < BLOCKS
    assert imported.reason == "the import timed out"


def test_import_after_close_imports_nothing(deployment):
    deployment.generate("scribe-1", PROMPT)
    deployment.export(KEYS)
    deployment.transfers.close()
    assert deployment.import_blocks(KEYS).reason == "the process is stopping"


def test_shared_import_continues_after_one_request_times_out(deployment):
    made = deployment.make_transfers(concurrency=1, clock=time.monotonic)
    deployment.generate("scribe-1", PROMPT)
    deployment.export(KEYS)
    made.discover(KEYS, time.monotonic())
    reading, may_read = threading.Event(), threading.Event()
    read_from_store = deployment.store_client.read

    def read(*arguments):
        reading.set()
        may_read.wait(3.0)
        return read_from_store(*arguments)

    deployment.store_client.read = read
    host = deployment.hosts_by_name["scribe-2"]
    outcomes = []

    def import_blocks():
        now = time.monotonic()
        imported = made.import_blocks(KEYS, "v1", host, now, timeout_s=30.0)
        outcomes.append(imported.blocks)

    waiting_request = threading.Thread(target=import_blocks)
    waiting_request.start()
    assert reading.wait(3.0)
    now = time.monotonic()
    timed_out = made.import_blocks(KEYS, "v1", host, now, timeout_s=0.1)
    may_read.set()
    waiting_request.join()
    made.close()
    assert (timed_out.blocks, outcomes) == (0, [BLOCKS])


def test_unexpected_error_counts_as_failed_transfer(deployment):
    def fail(*_):
        raise RuntimeError("unexpected")

    deployment.generate("scribe-1", PROMPT)
    deployment.export(KEYS)
    deployment.store_client.read = fail
    assert deployment.import_blocks(KEYS).blocks == 0
    deployment.store_client.write = fail
    other = fakes.make_prompt("other", BLOCKS)
    deployment.generate("scribe-1", other)
    deployment.export(fakes.make_keys(other))
    stats = deployment.transfers.stats(deployment.clock())
    assert stats.failures_by_kind["RuntimeError"] == 1
    assert stats.failures_by_kind["Unavailable"] >= 1
