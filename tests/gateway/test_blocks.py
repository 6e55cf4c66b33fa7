"""Indexes of block stores from events and relayed pages, and plans made of them."""

import attrs

from sycamorespoke import decisions, messages, objects, serving
from sycamorespoke.gateway import (
    _blocks,
    _model,
    _peer_loads,
    _relay,
    _requests,
    _store_index,
    _table,
)

STORE = _model.BlockStore("10.0.0.1:80", "z", 100_000, 1e9, 0.0, is_managed=True)
SCOPE = "v1 m"
BLOCK = _requests.PromptBlock("p", 500)
LATER = float("inf")


def page(next_number, *events, epoch=1, gap=False):
    made = tuple(_store_index.StoreEvent(SCOPE, *event) for event in events)
    return _store_index.StoreEvents(epoch, next_number, gap, made, clock_ms=5000.0)


def make_index(*pages):
    index = _store_index.StoreIndex(STORE)
    for each in pages:
        index.apply_events(each, serving.read_clock())
    return index


def test_has_block_requires_all_tokens_and_the_same_scope():
    index = make_index(page(2, ("p", 400, True)))
    assert not index.has_block(SCOPE, BLOCK, LATER)
    index.apply_events(page(3, ("p", 500, True)), serving.read_clock())
    assert index.has_block(SCOPE, BLOCK, LATER)
    assert not index.has_block("v2 m", BLOCK, LATER)


def test_restart_of_the_store_clears_the_index():
    index = make_index(page(2, ("p", 500, True)))
    assert index.apply_events(page(1, epoch=2), serving.read_clock())
    assert not index.has_block(SCOPE, BLOCK, LATER)
    assert index.used_tokens == 0


def test_index_expires_without_responses_of_the_store():
    index = make_index(page(2, ("p", 500, True)))
    now = serving.read_clock()
    assert index.is_current(now)
    assert not index.is_current(now + _store_index.MAX_UNCONFIRMED_S + 0.1)
    index.invalidate()
    assert not index.is_current(now)


def test_has_block_requires_completion_before_the_given_time():
    # A request that continues while its engine loads new weights may export a block
    # of the new weights under the scope of the old ones.
    before_s = serving.read_clock()
    index = make_index(page(2, ("p", 500, True)))
    assert not index.has_block(SCOPE, BLOCK, before_s - 1.0)
    assert index.has_block(SCOPE, BLOCK, before_s + 60.0)


def relay(reader, requester):
    request = messages.UpdatesRequest(
        {requester.store.address: (requester.epoch or 0, requester.next_number)}
    )
    now = serving.read_clock()
    source = objects.SharedSource(None, frozenset(), serving.read_clock)
    reply = _relay.make_reply(
        [reader],
        source,
        _peer_loads.PeerLoads(),
        _table.UpstreamTable(),
        request,
        now,
    )
    for page_received in reply.pages_by_store.values():
        requester.apply_page(page_received, now)
    return reply


def test_relayed_pages_reproduce_the_index():
    reader = make_index(page(2, ("p", 500, True), ("q", 10, True)))
    requester = _store_index.StoreIndex(STORE)
    assert relay(reader, requester).pages_by_store[STORE.address].is_whole
    assert requester.list_blocks() == reader.list_blocks()
    reader.apply_events(page(4, ("q", 10, False), ("r", 7, True)), serving.read_clock())
    page_received = relay(reader, requester).pages_by_store[STORE.address]
    assert not page_received.is_whole
    assert len(page_received.events) == 2
    assert requester.list_blocks() == reader.list_blocks()
    assert requester.used_tokens == reader.used_tokens


def test_relayed_restart_clears_the_index():
    reader = make_index(page(2, ("p", 500, True)))
    requester = _store_index.StoreIndex(STORE)
    relay(reader, requester)
    reader.apply_events(page(1, epoch=2), serving.read_clock())
    relay(reader, requester)
    assert requester.list_blocks() == {}


def test_outdated_index_is_not_relayed():
    reader = make_index(page(2, ("p", 500, True)))
    reader.invalidate()
    assert relay(reader, _store_index.StoreIndex(STORE)).pages_by_store == {}


def test_host_far_behind_gets_all_blocks():
    reader = make_index(page(2, ("p", 500, True)))
    requester = _store_index.StoreIndex(STORE)
    relay(reader, requester)
    for number in range(3, 3 + _store_index.MAX_LOGGED_EVENTS + 10):
        reader.apply_events(page(number, (f"x{number}", 1, True)), serving.read_clock())
    assert relay(reader, requester).pages_by_store[STORE.address].is_whole
    assert requester.list_blocks() == reader.list_blocks()


def test_plan_has_the_deadline_of_imports():
    blocks = _blocks.BlockPlanner(client=None)
    index = make_index(page(2, ("p", 500, True)))
    blocks._indexes_by_address[STORE.address] = index
    prompt = _requests.Prompt("m", (BLOCK, _requests.PromptBlock("own", 9)), 509, 10)
    now = serving.read_clock()
    plan, until_ms = blocks.plan(prompt, SCOPE, True, now + 60.0, now)
    assert plan.import_from == (STORE.address, None)
    assert abs(until_ms - (5000 + decisions.IMPORT_TIMEOUT_S * 1000)) < 1000
    assert blocks.plan(prompt, SCOPE, False, now + 60.0, now)[0] == (
        decisions.BlockPlan()
    )


def test_unmanaged_store_is_not_indexed():
    blocks = _blocks.BlockPlanner(client=None)
    plain = attrs.evolve(STORE, is_managed=False)
    configuration = _model.Configuration(
        1, (), {"k": _model.Service("k", store=plain), "s": _model.Service("s")}
    )
    blocks.configure(configuration, is_reader=True)
    assert blocks.list_indexes() == []


def plan_at(index, now):
    blocks = _blocks.BlockPlanner(client=None)
    blocks._indexes_by_address[STORE.address] = index
    index.apply_events(page(index.next_number, epoch=index.epoch), now)
    prompt = _requests.Prompt("m", (BLOCK, _requests.PromptBlock("own", 9)), 509, 10)
    return blocks.plan(prompt, SCOPE, True, now, now)[0]


def test_no_block_is_exported_while_an_earlier_import_of_it_may_begin():
    # Review, case 2: an import that was sent before the store restarted waits at its
    # engine, and then imports the block that is being written anew.
    index = make_index(page(2))
    seen_s = serving.read_clock()
    last_start_s = _store_index.MAX_UNCONFIRMED_S + decisions.IMPORT_TIMEOUT_S
    assert not plan_at(index, seen_s + last_start_s).has_exports
    settled_s = seen_s + _store_index.EXPORT_SETTLE_S + 0.1
    assert plan_at(index, settled_s).has_exports
    index.apply_events(page(1, epoch=2), settled_s)
    assert not plan_at(index, seen_s + last_start_s).has_exports


def test_page_with_all_blocks_of_the_same_epoch_is_no_restart_of_the_store():
    reader = make_index(page(2))
    requester = _store_index.StoreIndex(STORE)
    now = serving.read_clock() + _store_index.EXPORT_SETTLE_S + 0.1
    for _ in range(2):
        requester.apply_page(reader.make_page(None, 0, now), now)
    assert requester.may_export(now)
