"""What a host keeps of objects that change often."""

import gc
import weakref

import pytest

from sycamorespoke.objects import _shared_source, _source

LARGE = "large"
SMALL = "small"
CHANGES = 50


class Value(dict):
    """A JSON value whose lifetime can be observed."""


class ChangingSource:
    """A source whose only object has another value in each response."""

    def __init__(self):
        self.revision = 1
        self.values = weakref.WeakSet()

    def list(self, kind):
        return _source.Listing((self.make_value(),), self.revision)

    def watch(self, kind, revision, wait_s):
        self.revision += 1
        change = _source.Change(self.make_value(), False)
        return _source.Changes((change,), self.revision)

    def make_value(self):
        value = Value(Metadata={"Name": "main", "Revision": self.revision}, Spec={})
        self.values.add(_Identity(value))
        return value


class _Identity:
    """Lives as long as a value, which it marks."""

    def __init__(self, value):
        value["identity"] = self


@pytest.mark.parametrize(("kind", "kept"), [(LARGE, 0), (SMALL, 1)])
def test_values_of_earlier_changes_are_not_kept_in_memory(kind, kept):
    # Review, case 3: each process kept the values of the last 1,000 changes.
    source = ChangingSource()
    shared = _shared_source.SharedSource(source, frozenset({LARGE}), lambda: 0.0)
    shared.list(kind)
    for number in range(1, CHANGES):
        shared.watch(kind, number, 0.0)
    gc.collect()
    assert len(source.values) == kept


def test_host_behind_by_several_changes_gets_the_latest_value_once():
    source = ChangingSource()
    shared = _shared_source.SharedSource(source, frozenset({LARGE}), lambda: 0.0)
    shared.list(SMALL)
    for number in range(1, 6):
        shared.watch(SMALL, number, 0.0)
    page = shared.make_pages({SMALL: 2}, 0.0)[SMALL]
    assert [value["Metadata"]["Revision"] for value, _ in page.changes] == [6]
