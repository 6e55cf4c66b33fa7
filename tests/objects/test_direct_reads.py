"""Followers of many kinds learn of changes and of none with few calls."""

import collections
import threading
import time

import pytest

from sycamorespoke import domain
from sycamorespoke.gateway import _suspension
from sycamorespoke.objects import _direct_reads, _source

KINDS = ("config", "servers", "evacuations", "versions", "hosts", "leases", "crashes")
WAIT_S = 0.3


def make_value(name, revision):
    return {"Metadata": {"Name": name, "Revision": revision}, "Spec": None}


class CountedSource:
    """A source in memory, which counts its calls and can lose watches."""

    def __init__(self):
        self.revision = 10
        self.changes = []
        self.calls = collections.Counter()
        self.lost_kinds = set()
        self.is_silent = False
        self.changed = threading.Condition()

    def list(self, kind):
        self.calls["list"] += 1
        return _source.Listing((), self.revision)

    def change(self, kind, name="a"):
        with self.changed:
            self.revision += 1
            value = make_value(name, self.revision)
            change = _source.Change(value, False)
            self.changes.append((self.revision, kind, change))
            self.changed.notify_all()

    def watch(self, kind, revision, wait_s):
        self.calls["watch" if wait_s else "ask"] += 1
        deadline_s = time.monotonic() + wait_s
        with self.changed:
            while True:
                found = tuple(
                    change
                    for number, changed_kind, change in self.changes
                    if changed_kind == kind and number > revision
                )
                is_lost = kind in self.lost_kinds and wait_s > 0
                left_s = deadline_s - time.monotonic()
                if left_s <= 0 or (found and not is_lost):
                    if self.is_silent:
                        return _source.Unavailable("silent")
                    return _source.Changes(found, self.revision)
                self.changed.wait(left_s)


class Watcher:
    """Watches one kind in a thread, as a `Follower` does."""

    def __init__(self, reads, kind, begin):
        self.kind = kind
        self.changes = []
        self.responses = []
        self.confirmed_s = []
        self.revision = 10
        self.reads = reads
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self._run, args=(begin,))
        self.thread.start()

    def _run(self, begin):
        begin.wait()
        while not self.stopped.is_set():
            response = self.reads.watch(self.kind, self.revision, WAIT_S)
            self.responses.append(response)
            if isinstance(response, _source.Changes):
                assert response.revision >= self.revision
                self.revision = response.revision
                self.changes += response.changes
                now = time.monotonic()
                self.confirmed_s.append(_source.get_confirmed_s(response, now))


class Watchers:
    """Watches all kinds at once, begun in the same moment."""

    def __init__(self):
        self.source = CountedSource()
        self.reads = _direct_reads.DirectReads(self.source, time.monotonic)
        begin = threading.Event()
        self.by_kind = {kind: Watcher(self.reads, kind, begin) for kind in KINDS}
        begin.set()

    def stop(self):
        for watcher in self.by_kind.values():
            watcher.stopped.set()
        for watcher in self.by_kind.values():
            watcher.thread.join()

    def wait_until(self, is_done):
        deadline_s = time.monotonic() + 20.0
        while not is_done() and time.monotonic() < deadline_s:
            time.sleep(0.01)
        assert is_done()

    def wait_confirmations(self, count):
        self.wait_until(
            lambda: all(
                len(each.confirmed_s) >= count for each in self.by_kind.values()
            )
        )


@pytest.fixture
def watchers():
    made = Watchers()
    yield made
    made.stop()


def test_one_call_confirms_that_nothing_has_changed_in_any_kind(watchers):
    rounds = 6
    watchers.wait_confirmations(rounds)
    assert watchers.source.calls["watch"] == len(KINDS)
    asked = watchers.source.calls["ask"]
    # One for each round of all kinds; a few more while the kinds fall into step.
    responses = sum(len(each.responses) for each in watchers.by_kind.values())
    assert asked <= responses / len(KINDS) + len(KINDS)
    assert watchers.source.calls["list"] == 0


def test_a_change_reaches_its_kind_by_the_pending_watch_and_only_once(watchers):
    watchers.wait_confirmations(1)
    for number in range(5):
        watchers.source.change("servers", f"s{number}")
        watchers.wait_until(
            lambda: len(watchers.by_kind["servers"].changes) > number  # noqa: B023
        )
    watchers.wait_confirmations(6)
    names = [
        _source.get_name(each.value) for each in watchers.by_kind["servers"].changes
    ]
    assert names == [f"s{number}" for number in range(5)]
    for kind, watcher in watchers.by_kind.items():
        assert bool(watcher.changes) == (kind == "servers")
        assert watcher.revision == watchers.source.revision


def test_a_change_whose_watch_is_lost_is_asked_for_once_another_kind_shows_it(
    watchers,
):
    watchers.source.lost_kinds = {"servers"}
    watchers.wait_confirmations(1)
    watchers.source.change("servers", "a")
    watchers.source.change("hosts", "b")
    watchers.wait_until(lambda: watchers.by_kind["servers"].changes)
    watchers.wait_until(lambda: watchers.by_kind["hosts"].changes)


def test_a_change_whose_watch_is_lost_is_found_by_the_next_confirmation(watchers):
    watchers.source.lost_kinds = set(KINDS)
    watchers.wait_confirmations(1)
    watchers.source.change("evacuations", "a")
    watchers.wait_until(lambda: watchers.by_kind["evacuations"].changes)


def test_nothing_is_confirmed_while_the_source_is_silent(watchers):
    watchers.wait_confirmations(1)
    watchers.source.is_silent = True
    silent_s = time.monotonic()

    def is_unavailable(watcher):
        return isinstance(watcher.responses[-1], _source.Unavailable)

    watchers.wait_until(lambda: all(map(is_unavailable, watchers.by_kind.values())))
    for watcher in watchers.by_kind.values():
        assert max(watcher.confirmed_s) <= silent_s + WAIT_S


def test_a_revision_of_unknown_origin_is_asked_for_by_each_kind(watchers):
    watchers.wait_confirmations(1)
    with watchers.source.changed:
        # A deletion may not show its own revision, nor a kind that is not followed.
        watchers.source.revision += 1
    asked = watchers.source.calls["ask"]
    watchers.wait_until(
        lambda: all(each.revision == 11 for each in watchers.by_kind.values())
    )
    assert watchers.source.calls["ask"] >= asked + len(KINDS) - 1


class SuspendedSource:
    """A source whose response to a watch lies unread while the host is suspended."""

    def __init__(self):
        self.now = 100.0
        self.asked_kinds = []

    def read_clock(self):
        return self.now

    def watch(self, kind, revision, wait_s):
        if wait_s:
            self.now += 5.0
            change = _source.Change(make_value("a", 11), False)
            return _source.Changes((change,), 11)
        self.asked_kinds.append(kind)
        return _source.Changes((), 12)


def test_response_read_after_a_suspension_does_not_confirm_what_is_listed_now():
    source = SuspendedSource()
    monitor = _suspension.SuspensionMonitor(source.read_clock)
    reads = _direct_reads.DirectReads(source, source.read_clock, monitor.find_arrival_s)
    reads._log.record("versions", _source.Listing((), 10), 99.9, 100.0)
    reads._run_watch("servers", _direct_reads._PendingWatch(10))
    reads._pending_by_kind["versions"] = _direct_reads._PendingWatch(10)
    response = reads.watch("versions", 10, 0.0)
    assert source.asked_kinds == ["versions"]
    assert response.confirmed_s == source.now


class SlowResponses(SuspendedSource):
    """A source that responds at once; the host reads the response 5 s later."""

    def list(self, kind):
        self.now += 5.0
        return _source.Listing((), 10)

    def watch(self, kind, revision, wait_s):
        self.now += 5.0
        return _source.Changes((), 10)


def make_suspended_reads(source):
    monitor = _suspension.SuspensionMonitor(source.read_clock)
    return _direct_reads.DirectReads(source, source.read_clock, monitor.find_arrival_s)


def test_own_watch_that_is_read_after_a_suspension_confirms_the_time_before_it():
    source = SlowResponses()
    reads = make_suspended_reads(source)
    pending = reads._pending_by_kind["versions"] = _direct_reads._PendingWatch(10)
    reads._run_watch("versions", pending)
    response = reads.watch("versions", 10, 1.0)
    assert response.confirmed_s <= source.now - 5.0


@pytest.mark.parametrize("read", ["list", "ask"])
def test_slow_response_confirms_the_time_of_its_request(read):
    source = SlowResponses()
    reads = make_suspended_reads(source)
    if read == "list":
        response = reads.list("versions")
    else:
        response = reads._ask("versions", 10)
    assert response.confirmed_s <= source.now - 5.0


def test_watch_whose_response_is_held_up_confirms_no_more_than_it_lasted():
    source = SlowResponses()
    reads = _direct_reads.DirectReads(source, source.read_clock)

    def watch(kind, revision, wait_s):
        source.now += wait_s + 4.0
        return _source.Changes((), 10)

    source.watch = watch
    reads._run_watch("servers", _direct_reads._PendingWatch(10))
    assert reads._log.confirmed_s <= 100.0 + _direct_reads.WATCH_S


def test_watch_that_waits_since_an_earlier_era_brings_nothing_back():
    source = CountedSource()
    reads = _direct_reads.DirectReads(source, time.monotonic)
    assert reads.watch("servers", 10, 0.05).changes == ()
    source.change("servers", "gone")
    source.change("hosts", "gone")
    response = reads.watch("servers", domain.make_revision(1, 5), 0.3)
    assert response.changes == ()
