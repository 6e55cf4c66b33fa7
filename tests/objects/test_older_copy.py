"""Items of a follower whose source comes back from an older copy."""

import pytest

from sycamorespoke import domain, objects
from tests.objects import test_follower

HELD_BACK_S = 5.0


def make_listing(era, number, *items):
    """Return a listing of objects, each given as (name, number, value)."""
    values = []
    for name, number_of_item, content in items:
        revision = domain.make_revision(era, number_of_item)
        values.append(test_follower.make_value(name, revision, content))
    return objects.Listing(tuple(values), domain.make_revision(era, number))


def make_change(era, number, name, content, is_deleted=False):
    revision = domain.make_revision(era, number)
    value = test_follower.make_value(name, revision, content)
    return objects.Changes((objects.Change(value, is_deleted),), revision)


def make_nothing(era, number):
    return objects.Changes((), domain.make_revision(era, number))


def make_harness(responses, is_remembered=True):
    harness = test_follower.FollowerHarness(responses)
    removed = objects.NoRemovedItems()
    if is_remembered:
        # The tens of a value tell one item from another of the same name.
        removed = objects.RemovedItems(lambda item: item[0] // 10, HELD_BACK_S)
    subscription = objects.Subscription(
        "section", "kind", harness.read, harness.publish, None, removed
    )
    harness.follower = objects.Follower(
        harness.script,
        subscription,
        lambda: harness.now,
        lambda section, now: None,
        harness.follower.choose_timing,
    )
    return harness


def test_revision_given_out_again_is_a_change():
    harness = make_harness(
        [
            make_listing(1, 9, ("a", 9, 1)),
            objects.HistoryGone(),
            make_listing(2, 9, ("a", 9, 2)),
        ]
    )
    harness.steps(3)
    assert harness.published == [{"a": 1}, {"a": 2}]


@pytest.mark.parametrize("is_remembered", [True, False])
def test_item_that_an_older_copy_lacks_is_gone_after_a_grace(is_remembered):
    harness = make_harness(
        [
            make_listing(1, 9, ("a", 8, 1), ("b", 9, 2)),
            objects.HistoryGone(),
            make_listing(2, 8, ("a", 8, 1)),
            make_nothing(2, 8),
            make_nothing(2, 8),
        ],
        is_remembered,
    )
    harness.steps(4, pause_s=0.6)
    assert harness.published[-1] == ({"a": 1, "b": 2} if is_remembered else {"a": 1})
    harness.now += 2.0
    harness.steps(1)
    assert harness.published[-1] == {"a": 1}


def test_item_that_is_written_again_is_retained_through_an_older_copy():
    harness = make_harness(
        [
            make_listing(1, 9, ("a", 8, 1), ("b", 9, 2)),
            objects.HistoryGone(),
            make_listing(2, 8, ("a", 8, 1)),
            make_change(2, 9, "b", 2),
            make_nothing(2, 9),
        ]
    )
    harness.steps(4)
    harness.now += 10.0
    harness.steps(1)
    assert all(items == {"a": 1, "b": 2} for items in harness.published)


def list_responses_of_a_removal(*after):
    return [
        make_listing(1, 8, ("a", 8, 11)),
        make_change(1, 9, "a", 11, is_deleted=True),
        objects.HistoryGone(),
        *after,
    ]


def test_item_that_was_removed_is_held_back_when_an_older_copy_has_it():
    harness = make_harness(
        list_responses_of_a_removal(
            make_listing(2, 8, ("a", 8, 12)),
            make_listing(2, 8, ("a", 8, 12)),
            make_nothing(2, 8),
        )
    )
    harness.steps(5)
    assert harness.follower.items_by_name == {}
    harness.now += HELD_BACK_S
    harness.steps(1)
    assert harness.published[-1] == {"a": 12}


def test_item_that_is_removed_again_does_not_return():
    harness = make_harness(
        list_responses_of_a_removal(
            make_listing(2, 8, ("a", 8, 11)),
            make_change(2, 9, "a", 11, is_deleted=True),
            make_nothing(2, 9),
        )
    )
    harness.steps(5)
    harness.now += HELD_BACK_S
    harness.steps(1)
    assert harness.follower.items_by_name == {}


LISTED = make_listing(2, 8, ("a", 8, 11))


@pytest.mark.parametrize(
    "responses",
    [
        (LISTED, make_change(2, 9, "a", 11)),
        (LISTED, make_listing(2, 9, ("a", 9, 11))),
        (make_listing(2, 8, ("a", 8, 21)),),
    ],
    ids=["changed", "listed at another revision", "another item of the name"],
)
def test_item_that_was_removed_and_is_written_again_counts_at_once(responses):
    harness = make_harness(list_responses_of_a_removal(*responses))
    harness.steps(3 + len(responses))
    assert list(harness.follower.items_by_name) == ["a"]


def test_item_that_is_written_again_is_not_replaced_by_the_one_held_back():
    written = make_listing(2, 9, ("a", 9, 21))
    harness = make_harness(
        list_responses_of_a_removal(
            LISTED,
            objects.Unavailable("cut"),
            written,
            make_nothing(2, 9),
            objects.Unavailable("cut"),
            written,
        )
    )
    harness.steps(6)
    harness.now += HELD_BACK_S
    harness.steps(len(harness.script.responses))
    assert harness.published[-1] == {"a": 21}


def test_item_that_was_removed_is_held_back_through_two_older_copies():
    harness = make_harness(
        list_responses_of_a_removal(
            LISTED, objects.HistoryGone(), make_listing(3, 8, ("a", 8, 11))
        )
    )
    harness.steps(6)
    assert harness.follower.items_by_name == {}


def test_item_that_the_source_removes_in_the_new_era_is_gone_at_once():
    harness = make_harness(
        [
            make_listing(1, 9, ("a", 9, 11)),
            objects.HistoryGone(),
            make_listing(2, 9, ("a", 9, 11)),
            make_change(2, 10, "a", 11, is_deleted=True),
        ]
    )
    harness.steps(4)
    assert harness.published[-1] == {}
