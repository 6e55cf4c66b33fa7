"""What requests fetch from and save to the stores."""

import attrs

from sycamorespoke import decisions


@attrs.frozen
class Part:
    id: str
    tokens: int


PARTS = (Part("system", 512), Part("session", 8000), Part("own", 2000))
STORES = (
    decisions.StoreState("s1", 100_000, 0, is_index_current=True),
    decisions.StoreState("s2", 900_000, 0, is_index_current=True),
)
NEVER = float("-inf")


def plan(parts=PARTS, stores=STORES, held=(), saved_s=NEVER, now=100.0):
    return decisions.plan_blocks(
        parts, stores, lambda _, part: part.id in held, lambda part: saved_s, now
    )


def test_shared_parts_are_saved_first_and_fetched_once_they_are_complete():
    first = plan()
    assert all(first.export_to[:2])
    assert not first.has_imports
    again = plan(held=("system", "session"))
    assert again.import_from == first.export_to
    assert not again.has_exports


def test_the_part_of_the_request_itself_is_left_alone():
    made = plan(held=("system", "session", "own"))
    assert made.import_from[2] is None
    assert made.export_to[2] is None


def test_a_part_that_was_just_saved_is_not_saved_again():
    assert not plan(saved_s=99.0).has_exports
    assert plan(saved_s=90.0).has_exports


def test_a_store_that_is_not_known_is_neither_read_nor_written():
    unknown = [attrs.evolve(store, is_index_current=False) for store in STORES]
    made = plan(stores=unknown, held=("system", "session"))
    assert not made.has_imports
    assert not made.has_exports


def test_a_full_store_is_not_written():
    full = [
        attrs.evolve(store, used_tokens=store.capacity_tokens - 4000)
        for store in STORES
    ]
    made = plan(stores=full)
    assert made.export_to[1] is None


def test_without_stores_there_is_no_plan():
    assert plan(stores=()) == decisions.BlockPlan()


def test_no_fetch_of_older_weights_begins_after_they_were_named():
    assert decisions.may_import(2, 2, confirmed_s=99.0, now=100.0)
    assert not decisions.may_import(1, 2, confirmed_s=100.0, now=100.0)
    assert not decisions.may_import(2, 2, confirmed_s=90.0, now=100.0)


def test_parts_are_freed_only_after_the_last_fetch_of_them_has_ended():
    """A host out of touch begins its last fetch just before its view is too old."""
    named_s = 50.0
    last_begin_s = named_s + decisions.TARGET_VERSION_MAX_AGE_S
    last_end_s = last_begin_s + decisions.IMPORT_TIMEOUT_S
    assert decisions.may_import(1, 1, confirmed_s=named_s, now=last_begin_s)
    parts = {("v1 m", "p"): 9}
    assert decisions.select_retired_blocks(parts, {"m": (2, named_s)}, last_end_s) == []


def test_parts_of_other_models_and_writers_are_left_alone():
    parts = {("v1 other", "p"): 9, ("somebody's", "p"): 9, ("v3 m", "p"): 9}
    assert decisions.select_retired_blocks(parts, {"m": (3, 0.0)}, 1000.0) == []
