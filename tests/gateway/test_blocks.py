"""What a host knows of the stores, from them and from other hosts."""

import attrs

from sycamorespoke import decisions, messages, serving
from sycamorespoke.gateway import (
    _blocks,
    _model,
    _peer_loads,
    _relay,
    _requests,
    _shared_source,
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


def test_only_whole_parts_are_offered():
    index = make_index(page(2, ("p", 400, True)))
    assert not index.has_block(SCOPE, BLOCK, LATER)
    index.apply_events(page(3, ("p", 500, True)), serving.read_clock())
    assert index.has_block(SCOPE, BLOCK, LATER)
    assert not index.has_block("v2 m", BLOCK, LATER)


def test_a_store_that_started_anew_holds_nothing_of_before():
    index = make_index(page(2, ("p", 500, True)))
    assert index.apply_events(page(1, epoch=2), serving.read_clock())
    assert not index.has_block(SCOPE, BLOCK, LATER)
    assert index.used_tokens == 0


def test_what_a_silent_store_holds_is_not_believed_for_long():
    index = make_index(page(2, ("p", 500, True)))
    now = serving.read_clock()
    assert index.is_current(now)
    assert not index.is_current(now + _store_index.MAX_UNCONFIRMED_S + 0.1)
    index.invalidate()
    assert not index.is_current(now)


def test_a_part_counts_only_if_it_was_complete_when_the_weights_were_confirmed():
    """A run that goes on under new weights may save a part under the old scope."""
    before_s = serving.read_clock()
    index = make_index(page(2, ("p", 500, True)))
    assert not index.has_block(SCOPE, BLOCK, before_s - 1.0)
    assert index.has_block(SCOPE, BLOCK, before_s + 60.0)


def ask(teller, asker):
    request = messages.UpdatesRequest(
        {asker.store.address: (asker.epoch or 0, asker.number)}
    )
    now = serving.read_clock()
    source = _shared_source.SharedSource(None, frozenset(), serving.read_clock)
    reply = _relay.make_reply(
        [teller],
        source,
        _peer_loads.PeerLoads(),
        _table.UpstreamTable(),
        request,
        now,
    )
    for told in reply.pages_by_store.values():
        asker.apply_page(told, now)
    return reply


def test_a_host_that_is_told_knows_the_same():
    teller = make_index(page(2, ("p", 500, True), ("q", 10, True)))
    asker = _store_index.StoreIndex(STORE)
    assert ask(teller, asker).pages_by_store[STORE.address].is_whole
    assert asker.list_blocks() == teller.list_blocks()
    teller.apply_events(page(4, ("q", 10, False), ("r", 7, True)), serving.read_clock())
    told = ask(teller, asker).pages_by_store[STORE.address]
    assert not told.is_whole
    assert len(told.events) == 2
    assert asker.list_blocks() == teller.list_blocks()
    assert asker.used_tokens == teller.used_tokens


def test_a_host_that_is_told_of_a_new_start_forgets_what_was_before():
    teller = make_index(page(2, ("p", 500, True)))
    asker = _store_index.StoreIndex(STORE)
    ask(teller, asker)
    teller.apply_events(page(1, epoch=2), serving.read_clock())
    ask(teller, asker)
    assert asker.list_blocks() == {}


def test_a_store_that_is_not_known_is_not_told_of():
    teller = make_index(page(2, ("p", 500, True)))
    teller.invalidate()
    assert ask(teller, _store_index.StoreIndex(STORE)).pages_by_store == {}


def test_a_host_far_behind_gets_all_that_the_store_holds():
    teller = make_index(page(2, ("p", 500, True)))
    asker = _store_index.StoreIndex(STORE)
    ask(teller, asker)
    for number in range(3, 3 + _store_index.MAX_LOGGED_EVENTS + 10):
        teller.apply_events(page(number, (f"x{number}", 1, True)), serving.read_clock())
    assert ask(teller, asker).pages_by_store[STORE.address].is_whole
    assert asker.list_blocks() == teller.list_blocks()


def test_a_plan_says_when_a_fetch_is_thrown_away():
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


def test_a_service_without_a_managed_store_is_not_followed():
    blocks = _blocks.BlockPlanner(client=None)
    plain = attrs.evolve(STORE, is_managed=False)
    configuration = _model.Configuration(
        1, (), {"k": _model.Service("k", store=plain), "s": _model.Service("s")}
    )
    blocks.configure(configuration, is_reader=True)
    assert blocks.list_indexes() == []
