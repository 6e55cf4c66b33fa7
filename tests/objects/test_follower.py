"""Items of a follower through outages, gaps and malformed objects."""

import attrs
import pytest

from sycamorespoke import decisions
from sycamorespoke.objects import _follower, _source


def make_value(name, revision, number):
    return {"Metadata": {"Name": name, "Revision": revision}, "Spec": number}


@attrs.define
class ScriptedSource:
    """A source that returns the given responses in order."""

    responses: list
    requests: list = attrs.field(factory=list)

    def list(self, kind):
        self.requests.append(("list",))
        return self.responses.pop(0)

    def watch(self, kind, revision, wait_s):
        self.requests.append(("watch", revision))
        return self.responses.pop(0)


class FollowerHarness:
    def __init__(self, responses, retains_missing=None, pause_s=0.0):
        self.pause_s = pause_s
        self.now = 100.0
        self.published = []
        self.confirmed = []
        self.script = ScriptedSource(responses)
        subscription = _follower.Subscription(
            "section", "kind", self.read, self.publish, retains_missing
        )
        self.follower = _follower.Follower(
            self.script,
            subscription,
            lambda: self.now,
            lambda section, now: self.confirmed.append((section, now)),
            lambda: decisions.WatchTiming(2.5, self.pause_s),
        )

    def read(self, value, now):
        if not isinstance(value["Spec"], int):
            raise ValueError("not a number")
        return (value["Spec"], now)

    def publish(self, items_by_name, now):
        self.published.append({name: item[0] for name, item in items_by_name.items()})

    def steps(self, count, pause_s=0.1):
        for _ in range(count):
            self.follower.step()
            self.now += pause_s


UNAVAILABLE = _source.Unavailable("no response")


def listing(revision, **numbers):
    values = tuple(make_value(name, revision, n) for name, n in numbers.items())
    return _source.Listing(values, revision)


def changes(revision, *entries):
    made = tuple(
        _source.Change(make_value(name, revision, number), deleted)
        for name, number, deleted in entries
    )
    return _source.Changes(made, revision)


def test_lists_once_then_watches_from_the_last_revision():
    harness = FollowerHarness(
        [listing(5, a=1), changes(7, ("b", 2, False)), changes(9, ("a", 1, True))]
    )
    harness.steps(3)
    assert harness.published == [{"a": 1}, {"a": 1, "b": 2}, {"b": 2}]
    assert harness.script.requests == [("list",), ("watch", 5), ("watch", 7)]
    assert harness.confirmed[-1] == ("section", pytest.approx(100.2))


@pytest.mark.parametrize("gap", [UNAVAILABLE, _source.HistoryGone()])
def test_lists_again_after_a_gap(gap):
    harness = FollowerHarness([listing(5, a=1), gap, listing(9, b=2)])
    harness.steps(3)
    assert harness.published == [{"a": 1}, {"b": 2}]
    assert harness.script.requests[-1] == ("list",)


def test_outage_keeps_the_last_items():
    harness = FollowerHarness([listing(5, a=1), UNAVAILABLE, UNAVAILABLE, UNAVAILABLE])
    harness.steps(4)
    assert harness.published == [{"a": 1}]
    assert len(harness.confirmed) == 1


def test_empty_list_is_published():
    harness = FollowerHarness([listing(5)])
    harness.steps(1)
    assert harness.published == [{}]


def test_malformed_object_is_left_out_and_others_are_kept():
    harness = FollowerHarness([listing(5, a=1, b="x"), changes(6, ("a", None, False))])
    harness.steps(2)
    assert harness.published == [{"a": 1}, {}]


def test_unchanged_object_keeps_its_receipt_time_when_listed_again():
    first = listing(5, a=1)
    harness = FollowerHarness([first, _source.HistoryGone(), first])
    harness.steps(3)
    assert harness.follower.items_by_name["a"] == (1, 100.0)


def test_object_missing_after_an_outage_is_retained_for_two_seconds():
    harness = FollowerHarness(
        [listing(5, a=1, b=2), UNAVAILABLE, listing(9, b=2)]
        + [changes(9)] * 20
        + [changes(30)],
        retains_missing=lambda item: True,
    )
    harness.steps(3)
    assert harness.published[-1] == {"a": 1, "b": 2}
    harness.steps(19)
    assert harness.published[-1] == {"a": 1, "b": 2}
    harness.steps(2)
    assert harness.published[-1] == {"b": 2}


def test_object_that_returns_within_two_seconds_is_never_removed():
    harness = FollowerHarness(
        [listing(5, a=1), UNAVAILABLE, listing(9), changes(12, ("a", 1, False))]
        + [changes(12)] * 30,
        retains_missing=lambda item: True,
    )
    harness.steps(30)
    assert all("a" in published for published in harness.published)


def test_deletion_without_an_outage_is_applied_at_once():
    harness = FollowerHarness(
        [listing(5, a=1), changes(6, ("a", 1, True))], retains_missing=lambda item: True
    )
    harness.steps(2)
    assert harness.published[-1] == {}


def test_pauses_only_after_responses_with_changes():
    harness = FollowerHarness(
        [listing(5, a=1), changes(6), changes(7, ("b", 2, False))], pause_s=0.3
    )
    assert [harness.follower.step() for _ in range(3)] == [0.3, 0.0, 0.3]


class ReplacedObjects:
    """A source whose only object is replaced by one of another name each time."""

    def __init__(self):
        self.revision = 1

    def list(self, kind):
        return _source.Listing((make_value("o1", 1, 0),), 1)

    def watch(self, kind, revision, wait_s):
        removed = make_value(f"o{self.revision}", self.revision, 0)
        self.revision += 1
        added = make_value(f"o{self.revision}", self.revision, 0)
        changes = (_source.Change(removed, True), _source.Change(added, False))
        return _source.Changes(changes, self.revision)


def test_follower_keeps_nothing_of_objects_that_are_gone_in_memory():
    # Each start of an upstream has a name of its own: what is kept of each adds up.
    subscription = _follower.Subscription(
        "things", "things", lambda value, now: value, lambda items, now: None
    )
    follower = _follower.Follower(
        ReplacedObjects(),
        subscription,
        lambda: 0.0,
        lambda section, now: None,
        lambda: decisions.WatchTiming(0.0, 0.0),
    )
    for _ in range(50):
        follower.step()
    assert list(follower.items_by_name) == ["o50"]
    assert list(follower._revisions_by_name) == ["o50"]
