"""A few hosts read the shared objects and tell the others, who never go back."""

import threading
import time

import pytest

from sycamorespoke import messages
from sycamorespoke.gateway import (
    _object_history,
    _peer_loads,
    _relay,
    _shared_source,
    _source,
    _table,
)
from tests.gateway import test_follower, test_table

KIND = "things"
LARGE = "large"
KEY = "secret"


def change(name, revision, number, is_deleted=False):
    return _source.Change(test_follower.make_value(name, revision, number), is_deleted)


class Clock:
    """Goes on by itself and can be set forward."""

    def __init__(self):
        self.forward_s = 0.0

    def __call__(self):
        return time.monotonic() + self.forward_s

    @property
    def now(self):
        return self()


class Pair:
    """A host that reads and one that it tells."""

    def __init__(self):
        self.clock = Clock()
        self.teller_script = test_follower.Script([])
        self.own_script = test_follower.Script([])
        self.teller = self.make(self.teller_script)
        self.told = self.make(self.own_script)
        self.told.set_relayed(True)
        self.teller_loads = _peer_loads.PeerLoads()
        self.told_loads = _peer_loads.PeerLoads()
        self.teller_table = _table.UpstreamTable()
        self.told_table = _table.UpstreamTable()

    def make(self, script):
        return _shared_source.SharedSource(script, frozenset({LARGE}), self.clock)

    def read(self, kind, response):
        self.teller_script.responses.append(response)
        if isinstance(response, _source.Listing):
            return self.teller.list(kind)
        return self.teller.watch(kind, 0, 1.0)

    def tell(self, delay_s=0.0):
        requested_s = self.clock.now
        pages = self.teller.make_pages(self.told.get_requested_revisions(), requested_s)
        self.clock.forward_s += delay_s
        return self.told.handle_pages(pages, requested_s)

    def want(self, kind, revision):
        """Let the told host ask for a kind; it reads by itself so far."""
        self.own_script.responses.append(_source.Changes((), revision))
        self.told.watch(kind, revision, 0.0)

    def read_by_itself(self):
        return len(self.own_script.asked)


@pytest.fixture
def pair():
    made = Pair()
    values = (
        test_follower.make_value("a", 3, 1),
        test_follower.make_value("b", 4, 2),
    )
    made.read(KIND, _source.Listing(values, 5))
    made.want(KIND, 5)
    return made


def test_changes_are_told_without_a_call_to_the_source(pair):
    pair.read(KIND, _source.Changes((change("a", 7, 9),), 7))
    assert pair.tell()
    before = pair.read_by_itself()
    response = pair.told.watch(KIND, 5, 1.0)
    assert response.revision == 7
    assert response.changes == (change("a", 7, 9),)
    assert pair.read_by_itself() == before


def test_what_is_told_is_as_old_as_the_answer_of_the_source(pair):
    pair.clock.forward_s += 0.5
    pair.tell(delay_s=0.25)
    response = pair.told.watch(KIND, 5, 0.0)
    assert response.changes == ()
    assert 0.75 <= response.age_s < 100.0


def test_a_host_reads_by_itself_once_it_is_told_nothing_recent(pair):
    pair.tell()
    pair.clock.forward_s += _shared_source.MAX_RELAYED_AGE_S + 0.1
    pair.own_script.responses.append(_source.Changes((), 8))
    before = pair.read_by_itself()
    assert pair.told.watch(KIND, 5, 1.0).revision == 8
    assert pair.read_by_itself() == before + 1


def test_a_host_that_waits_to_be_told_stops_waiting_when_nothing_comes(pair):
    pair.tell()
    pair.own_script.responses.append(_source.Changes((), 8))
    responses = []
    thread = threading.Thread(
        target=lambda: responses.append(pair.told.watch(KIND, 5, 30.0))
    )
    thread.start()
    pair.clock.forward_s += _shared_source.MAX_RELAYED_AGE_S + 0.1
    pair.told.wake_if_stale(pair.clock.now)
    thread.join(10.0)
    assert [response.revision for response in responses] == [8]


@pytest.mark.parametrize(
    "response", [_source.Unavailable("refused"), _source.HistoryGone()]
)
def test_a_host_that_lost_the_source_tells_nothing(pair, response):
    pair.read(KIND, response)
    assert pair.teller.make_pages({KIND: 5}, pair.clock.now) == {}
    assert not pair.tell()


def test_a_host_whose_source_is_silent_tells_nothing_soon(pair):
    now = pair.clock.now + _shared_source.MAX_RELAYED_AGE_S + 0.1
    assert pair.teller.make_pages({KIND: 5}, now) == {}


def test_a_host_that_was_suspended_trusts_nothing_told_before(pair):
    pair.tell(delay_s=5.0)
    assert not pair.told.is_relayed(pair.clock.now)


def test_a_host_never_goes_back_to_what_a_slower_one_tells(pair):
    pair.own_script.responses.append(_source.Changes((change("a", 9, 1),), 9))
    pair.told.watch(KIND, 5, 1.0)
    pair.own_script.responses.append(_source.Changes((), 9))
    pair.told.watch(KIND, 9, 1.0)
    assert pair.tell()
    pair.own_script.responses.append(_source.Changes((), 10))
    assert pair.told.watch(KIND, 9, 0.0).revision == 10


def test_a_list_is_not_taken_from_a_host_that_is_behind(pair):
    pair.own_script.responses.append(_source.Changes((change("a", 9, 1),), 9))
    pair.told.watch(KIND, 5, 1.0)
    pair.own_script.responses.append(_source.Listing((), 9))
    pair.told.list(KIND)
    pair.tell()
    pair.own_script.responses.append(_source.Listing((), 12))
    assert pair.told.list(KIND).revision == 12


def test_a_host_far_behind_is_told_all(pair):
    for number in range(_object_history.MAX_LOGGED_CHANGES + 1):
        pair.read(KIND, _source.Changes((change("c", 6 + number, 0),), 6 + number))
    pair.tell()
    response = pair.told.watch(KIND, 5, 1.0)
    assert isinstance(response, _source.Listing)
    names = {_source.get_name(value) for value in response.values}
    assert names == {"a", "b", "c"}


def test_an_object_that_is_gone_is_told_as_gone(pair):
    pair.read(KIND, _source.Changes((change("a", 7, 1, is_deleted=True),), 7))
    pair.tell()
    assert pair.told.watch(KIND, 5, 1.0).changes[0].is_deleted
    assert len(pair.teller.make_pages({KIND: 0}, pair.clock.now)[KIND].changes) == 1


def test_a_large_object_is_read_from_the_source_when_it_has_changed(pair):
    pair.read(LARGE, _source.Listing((test_follower.make_value("x", 2, 1),), 5))
    pair.want(LARGE, 5)
    pair.read(LARGE, _source.Changes((change("x", 8, 1),), 8))
    pair.tell()
    before = pair.read_by_itself()
    pair.own_script.responses.append(_source.Changes((change("x", 8, 1),), 8))
    assert pair.told.watch(LARGE, 5, 1.0).revision == 8
    assert pair.read_by_itself() == before + 1
    page = pair.teller.make_pages({LARGE: 5}, pair.clock.now)[LARGE]
    assert page.changes == []


def test_a_large_object_that_stays_is_not_read_again(pair):
    pair.read(LARGE, _source.Listing((test_follower.make_value("x", 2, 1),), 5))
    pair.want(LARGE, 5)
    pair.tell()
    before = pair.read_by_itself()
    assert pair.told.watch(LARGE, 5, 0.0).changes == ()
    assert pair.read_by_itself() == before


def test_a_host_that_reads_by_itself_wants_nothing_and_is_content_with_it(pair):
    """With 11 to 16 hosts some are told of the stores of parts alone."""
    pair.told.set_relayed(False)
    assert pair.told.get_requested_revisions() == {}
    assert pair.told.handle_pages({}, pair.clock.now)


class TestAsker:
    """Over real sockets on the loopback address."""

    def make_asker(self, pair, addresses):
        return _relay.UpdateRequester(
            "h2",
            list,
            pair.told,
            pair.told_loads,
            pair.told_table,
            lambda: addresses,
            messages.Codec(KEY),
        )

    def serve(self, pair, source):
        return messages.Server(
            "127.0.0.1:0",
            KEY,
            lambda message: _relay.make_reply(
                [], source, pair.teller_loads, pair.teller_table, message, pair.clock()
            ),
        )

    def test_it_keeps_a_host_up_to_date(self, pair):
        with self.serve(pair, pair.teller) as server:
            asker = self.make_asker(pair, [server.address])
            pair.read(KIND, _source.Changes((change("a", 7, 9),), 7))
            assert asker.step(pair.clock.now)
            assert pair.told.watch(KIND, 5, 1.0).revision == 7

    def test_it_turns_to_the_next_host_when_one_tells_too_little(self, pair):
        empty = pair.make(test_follower.Script([]))
        with (
            self.serve(pair, empty) as useless,
            self.serve(pair, pair.teller) as useful,
        ):
            asker = self.make_asker(pair, [useless.address, useful.address])
            assert not asker.step(pair.clock.now)
            assert asker.step(pair.clock.now)
            assert pair.told.is_relayed(pair.clock.now)

    def test_each_host_learns_of_the_work_of_the_other(self, pair):
        upstream = test_table.UPSTREAM
        pair.told_table.begin_request(upstream, 5.0)
        pair.teller_table.begin_request(upstream, 3.0)
        with self.serve(pair, pair.teller) as server:
            asker = self.make_asker(pair, [server.address])
            assert asker.step(pair.clock.now)
        now = pair.clock.now
        boot_id = upstream.boot_id
        assert pair.told_loads.estimate_others(2, now) == {boot_id: 3.0}
        assert pair.teller_loads.estimate_others(2, now) == {boot_id: 5.0}

    def test_it_waits_when_no_host_answers(self, pair):
        asker = self.make_asker(pair, ["127.0.0.1:1"])
        assert not asker.step(pair.clock.now)
        assert asker.step(pair.clock.now)
        assert not pair.told.is_relayed(pair.clock.now)
