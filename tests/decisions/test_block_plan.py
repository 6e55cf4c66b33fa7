"""Block imports and exports of requests, and the retirement of old blocks."""

import attrs

from sycamorespoke import decisions


@attrs.frozen
class Block:
    id: str
    tokens: int


BLOCKS = (Block("system", 512), Block("session", 8000), Block("own", 2000))
STORES = (
    decisions.StoreState("s1", 100_000, 0, is_index_current=True),
    decisions.StoreState("s2", 900_000, 0, is_index_current=True),
)
NEVER = float("-inf")


def plan(blocks=BLOCKS, stores=STORES, stored=(), exported_s=NEVER, now=100.0):
    return decisions.plan_blocks(
        blocks,
        stores,
        lambda _, block: block.id in stored,
        lambda block: exported_s,
        now,
    )


def test_shared_blocks_are_exported_first_and_imported_once_complete():
    first = plan()
    assert all(first.export_to[:2])
    assert not first.has_imports
    second = plan(stored=("system", "session"))
    assert second.import_from == first.export_to
    assert not second.has_exports


def test_the_block_specific_to_the_request_is_not_transferred():
    block_plan = plan(stored=("system", "session", "own"))
    assert block_plan.import_from[2] is None
    assert block_plan.export_to[2] is None


def test_export_is_retried_only_after_the_retry_interval():
    assert not plan(exported_s=99.0).has_exports
    assert plan(exported_s=90.0).has_exports


def test_store_with_outdated_index_gets_no_imports_and_no_exports():
    outdated = [attrs.evolve(store, is_index_current=False) for store in STORES]
    block_plan = plan(stores=outdated, stored=("system", "session"))
    assert not block_plan.has_imports
    assert not block_plan.has_exports


def test_full_store_gets_no_exports():
    full = [
        attrs.evolve(store, used_tokens=store.capacity_tokens - 4000)
        for store in STORES
    ]
    block_plan = plan(stores=full)
    assert block_plan.export_to[1] is None


def test_plan_is_empty_without_stores():
    assert plan(stores=()) == decisions.BlockPlan()


def test_may_import_requires_the_target_version_and_its_recent_confirmation():
    assert decisions.may_import(2, 2, confirmed_s=99.0, now=100.0)
    assert not decisions.may_import(1, 2, confirmed_s=100.0, now=100.0)
    assert not decisions.may_import(2, 2, confirmed_s=90.0, now=100.0)


def test_blocks_are_freed_only_after_the_last_import_of_them_has_ended():
    """An isolated host starts its last import just before its view expires."""
    released_s = 50.0
    last_start_s = released_s + decisions.TARGET_VERSION_MAX_AGE_S
    last_end_s = last_start_s + decisions.IMPORT_TIMEOUT_S
    assert decisions.may_import(1, 1, confirmed_s=released_s, now=last_start_s)
    blocks = {("v1 m", "p"): 9}
    assert (
        decisions.select_retired_blocks(blocks, {"m": (2, released_s)}, last_end_s)
        == []
    )


def test_blocks_of_other_models_and_writers_are_not_freed():
    blocks = {("v1 other", "p"): 9, ("somebody's", "p"): 9, ("v3 m", "p"): 9}
    assert decisions.select_retired_blocks(blocks, {"m": (3, 0.0)}, 1000.0) == []
