"""A follower's belief through outages, gaps and malformed objects."""

import attrs
import pytest

from sycamorespoke import decisions
from sycamorespoke.gateway import _follower, _source


def make_value(name, revision, number):
    return {"Metadata": {"Name": name, "Revision": revision}, "Spec": number}


@attrs.define
class Script:
    """A source that gives the next answer of a list."""

    responses: list
    asked: list = attrs.field(factory=list)

    def list(self, kind):
        self.asked.append(("list",))
        return self.responses.pop(0)

    def watch(self, kind, revision, wait_s):
        self.asked.append(("watch", revision))
        return self.responses.pop(0)


class Following:
    def __init__(self, responses, retains_missing=None, pause_s=0.0):
        self.pause_s = pause_s
        self.now = 100.0
        self.published = []
        self.confirmed = []
        self.script = Script(responses)
        subscription = _follower.Subscription(
            "part", "kind", self.read, self.publish, retains_missing
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


UNAVAILABLE = _source.Unavailable("no answer")


def listing(revision, **numbers):
    values = tuple(make_value(name, revision, n) for name, n in numbers.items())
    return _source.Listing(values, revision)


def changes(revision, *entries):
    made = tuple(
        _source.Change(make_value(name, revision, number), deleted)
        for name, number, deleted in entries
    )
    return _source.Changes(made, revision)


def test_a_list_then_watches_from_where_the_last_ended():
    following = Following(
        [listing(5, a=1), changes(7, ("b", 2, False)), changes(9, ("a", 1, True))]
    )
    following.steps(3)
    assert following.published == [{"a": 1}, {"a": 1, "b": 2}, {"b": 2}]
    assert following.script.asked == [("list",), ("watch", 5), ("watch", 7)]
    assert following.confirmed[-1] == ("part", pytest.approx(100.2))


@pytest.mark.parametrize("gap", [UNAVAILABLE, _source.HistoryGone()])
def test_after_a_gap_it_lists_again(gap):
    following = Following([listing(5, a=1), gap, listing(9, b=2)])
    following.steps(3)
    assert following.published == [{"a": 1}, {"b": 2}]
    assert following.script.asked[-1] == ("list",)


def test_while_the_source_is_away_the_last_belief_stands():
    following = Following([listing(5, a=1), UNAVAILABLE, UNAVAILABLE, UNAVAILABLE])
    following.steps(4)
    assert following.published == [{"a": 1}]
    assert len(following.confirmed) == 1


def test_an_empty_list_is_published_too():
    following = Following([listing(5)])
    following.steps(1)
    assert following.published == [{}]


def test_a_malformed_object_names_nothing_and_the_others_hold():
    following = Following([listing(5, a=1, b="x"), changes(6, ("a", None, False))])
    following.steps(2)
    assert following.published == [{"a": 1}, {}]


def test_an_object_listed_again_unchanged_keeps_the_time_of_its_arrival():
    first = listing(5, a=1)
    following = Following([first, _source.HistoryGone(), first])
    following.steps(3)
    assert following.follower.items_by_name["a"] == (1, 100.0)


def test_what_lapsed_while_the_source_was_away_is_kept_for_two_seconds():
    following = Following(
        [listing(5, a=1, b=2), UNAVAILABLE, listing(9, b=2)]
        + [changes(9)] * 20
        + [changes(30)],
        retains_missing=lambda item: True,
    )
    following.steps(3)
    assert following.published[-1] == {"a": 1, "b": 2}
    following.steps(19)
    assert following.published[-1] == {"a": 1, "b": 2}
    following.steps(2)
    assert following.published[-1] == {"b": 2}


def test_what_comes_back_within_two_seconds_is_never_missed():
    following = Following(
        [listing(5, a=1), UNAVAILABLE, listing(9), changes(12, ("a", 1, False))]
        + [changes(12)] * 30,
        retains_missing=lambda item: True,
    )
    following.steps(30)
    assert all("a" in published for published in following.published)


def test_without_an_outage_what_leaves_is_gone_at_once():
    following = Following(
        [listing(5, a=1), changes(6, ("a", 1, True))], retains_missing=lambda item: True
    )
    following.steps(2)
    assert following.published[-1] == {}


def test_at_large_size_it_pauses_after_a_change_and_not_after_none():
    following = Following(
        [listing(5, a=1), changes(6), changes(7, ("b", 2, False))], pause_s=0.3
    )
    assert [following.follower.step() for _ in range(3)] == [0.3, 0.0, 0.3]
