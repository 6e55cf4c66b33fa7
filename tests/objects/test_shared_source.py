"""Shared objects that a few hosts read and relay to others, without reverting."""

import threading
import time

import pytest

from sycamorespoke import domain, messages
from sycamorespoke.gateway import _peer_loads, _relay, _table
from sycamorespoke.objects import _object_history, _shared_source, _source
from tests.gateway import test_table
from tests.objects import test_follower

KIND = "things"
LARGE = "large"
KEY = "secret"


def change(name, revision, number, is_deleted=False):
    return _source.Change(test_follower.make_value(name, revision, number), is_deleted)


class Clock:
    """The monotonic clock, which a test can advance."""

    def __init__(self):
        self.forward_s = 0.0

    def __call__(self):
        return time.monotonic() + self.forward_s

    @property
    def now(self):
        return self()


class Pair:
    """A reader host and a receiver to which it relays objects."""

    def __init__(self):
        self.clock = Clock()
        self.reader_script = test_follower.ScriptedSource([])
        self.receiver_script = test_follower.ScriptedSource([])
        self.reader = self.make(self.reader_script)
        self.receiver = self.make(self.receiver_script)
        self.receiver.set_relayed(True)
        self.reader_loads = _peer_loads.PeerLoads()
        self.receiver_loads = _peer_loads.PeerLoads()
        self.reader_table = _table.UpstreamTable()
        self.receiver_table = _table.UpstreamTable()

    def make(self, script):
        return _shared_source.SharedSource(script, frozenset({LARGE}), self.clock)

    def read(self, kind, response):
        self.reader_script.responses.append(response)
        if isinstance(response, _source.Listing):
            return self.reader.list(kind)
        return self.reader.watch(kind, 0, 1.0)

    def relay(self, delay_s=0.0):
        requested_s = self.clock.now
        pages = self.reader.make_pages(
            self.receiver.get_requested_revisions(), requested_s
        )
        self.clock.forward_s += delay_s
        return self.receiver.handle_pages(pages, requested_s)

    def request(self, kind, revision):
        """Make the receiver request a kind, which it reads directly at first."""
        self.receiver_script.responses.append(_source.Changes((), revision))
        self.receiver.watch(kind, revision, 0.0)

    def count_direct_reads(self):
        return len(self.receiver_script.requests)


@pytest.fixture
def pair():
    made = Pair()
    values = (
        test_follower.make_value("a", 3, 1),
        test_follower.make_value("b", 4, 2),
    )
    made.read(KIND, _source.Listing(values, 5))
    made.request(KIND, 5)
    return made


def test_relayed_changes_need_no_read_of_the_source(pair):
    pair.read(KIND, _source.Changes((change("a", 7, 9),), 7))
    assert pair.relay()
    before = pair.count_direct_reads()
    response = pair.receiver.watch(KIND, 5, 1.0)
    assert response.revision == 7
    assert response.changes == (change("a", 7, 9),)
    assert pair.count_direct_reads() == before


def test_age_of_relayed_response_counts_from_the_source(pair):
    pair.clock.forward_s += 0.5
    pair.relay(delay_s=0.25)
    response = pair.receiver.watch(KIND, 5, 0.0)
    assert response.changes == ()
    assert 0.75 <= pair.clock.now - response.confirmed_s < 100.0


def test_host_reads_the_source_once_relayed_pages_are_too_old(pair):
    pair.relay()
    pair.clock.forward_s += _shared_source.MAX_RELAYED_AGE_S + 0.1
    pair.receiver_script.responses.append(_source.Changes((), 8))
    before = pair.count_direct_reads()
    assert pair.receiver.watch(KIND, 5, 1.0).revision == 8
    assert pair.count_direct_reads() == before + 1


def test_waiting_host_reads_the_source_once_relayed_pages_are_too_old(pair):
    pair.relay()
    pair.receiver_script.responses.append(_source.Changes((), 8))
    responses = []
    thread = threading.Thread(
        target=lambda: responses.append(pair.receiver.watch(KIND, 5, 30.0))
    )
    thread.start()
    pair.clock.forward_s += _shared_source.MAX_RELAYED_AGE_S + 0.1
    pair.receiver.wake_if_stale(pair.clock.now)
    thread.join(10.0)
    assert [response.revision for response in responses] == [8]


@pytest.mark.parametrize(
    "response", [_source.Unavailable("refused"), _source.HistoryGone()]
)
def test_reader_without_the_source_relays_nothing(pair, response):
    pair.read(KIND, response)
    assert pair.reader.make_pages({KIND: 5}, pair.clock.now) == {}
    assert not pair.relay()


def test_reader_with_a_silent_source_stops_relaying(pair):
    now = pair.clock.now + _shared_source.MAX_RELAYED_AGE_S + 0.1
    assert pair.reader.make_pages({KIND: 5}, now) == {}


def test_pages_requested_before_a_suspension_are_too_old(pair):
    pair.relay(delay_s=5.0)
    assert not pair.receiver.is_relayed(pair.clock.now)


def test_page_of_a_slower_reader_does_not_revert_changes(pair):
    pair.receiver_script.responses.append(_source.Changes((change("a", 9, 1),), 9))
    pair.receiver.watch(KIND, 5, 1.0)
    pair.receiver_script.responses.append(_source.Changes((), 9))
    pair.receiver.watch(KIND, 9, 1.0)
    assert pair.relay()
    pair.receiver_script.responses.append(_source.Changes((), 10))
    assert pair.receiver.watch(KIND, 9, 0.0).revision == 10


def test_list_ignores_a_page_older_than_the_known_revision(pair):
    pair.receiver_script.responses.append(_source.Changes((change("a", 9, 1),), 9))
    pair.receiver.watch(KIND, 5, 1.0)
    pair.receiver_script.responses.append(_source.Listing((), 9))
    pair.receiver.list(KIND)
    pair.relay()
    pair.receiver_script.responses.append(_source.Listing((), 12))
    assert pair.receiver.list(KIND).revision == 12


def test_host_far_behind_gets_all_objects(pair):
    # Only the latest change of an object is logged, so each one has a name of its own.
    changed = [f"c{number}" for number in range(_object_history.MAX_LOGGED_CHANGES + 1)]
    for revision, name in enumerate(changed, start=6):
        pair.read(KIND, _source.Changes((change(name, revision, 0),), revision))
    pair.relay()
    response = pair.receiver.watch(KIND, 5, 1.0)
    assert isinstance(response, _source.Listing)
    names = {_source.get_name(value) for value in response.values}
    assert names == {"a", "b", *changed}


def test_deletion_is_relayed(pair):
    pair.read(KIND, _source.Changes((change("a", 7, 1, is_deleted=True),), 7))
    pair.relay()
    assert pair.receiver.watch(KIND, 5, 1.0).changes[0].is_deleted
    assert len(pair.reader.make_pages({KIND: 0}, pair.clock.now)[KIND].changes) == 1


def test_changed_large_object_is_read_from_the_source(pair):
    pair.read(LARGE, _source.Listing((test_follower.make_value("x", 2, 1),), 5))
    pair.request(LARGE, 5)
    pair.read(LARGE, _source.Changes((change("x", 8, 1),), 8))
    pair.relay()
    before = pair.count_direct_reads()
    pair.receiver_script.responses.append(_source.Changes((change("x", 8, 1),), 8))
    assert pair.receiver.watch(LARGE, 5, 1.0).revision == 8
    assert pair.count_direct_reads() == before + 1
    page = pair.reader.make_pages({LARGE: 5}, pair.clock.now)[LARGE]
    assert page.changes == []


def test_unchanged_large_object_is_not_read_again(pair):
    pair.read(LARGE, _source.Listing((test_follower.make_value("x", 2, 1),), 5))
    pair.request(LARGE, 5)
    pair.relay()
    before = pair.count_direct_reads()
    assert pair.receiver.watch(LARGE, 5, 0.0).changes == ()
    assert pair.count_direct_reads() == before


def test_direct_host_requests_no_objects_and_accepts_empty_pages(pair):
    # With 11 to 16 hosts, some hosts receive only the events of block stores.
    pair.receiver.set_relayed(False)
    assert pair.receiver.get_requested_revisions() == {}
    assert pair.receiver.handle_pages({}, pair.clock.now)


class TestUpdateRequester:
    """Tests over sockets on the loopback address."""

    def make_requester(self, pair, addresses):
        return _relay.UpdateRequester(
            "h2",
            list,
            pair.receiver,
            pair.receiver_loads,
            pair.receiver_table,
            lambda: addresses,
            messages.Codec(KEY),
        )

    def serve(self, pair, source):
        return messages.Server(
            "127.0.0.1:0",
            KEY,
            lambda message: _relay.make_reply(
                [], source, pair.reader_loads, pair.reader_table, message, pair.clock()
            ),
        )

    def test_changes_reach_the_receiver(self, pair):
        with self.serve(pair, pair.reader) as server:
            requester = self.make_requester(pair, [server.address])
            pair.read(KIND, _source.Changes((change("a", 7, 9),), 7))
            assert requester.step(pair.clock.now)
            assert pair.receiver.watch(KIND, 5, 1.0).revision == 7

    def test_incomplete_reply_makes_it_try_the_next_reader(self, pair):
        empty = pair.make(test_follower.ScriptedSource([]))
        with (
            self.serve(pair, empty) as useless,
            self.serve(pair, pair.reader) as useful,
        ):
            requester = self.make_requester(pair, [useless.address, useful.address])
            assert not requester.step(pair.clock.now)
            assert requester.step(pair.clock.now)
            assert pair.receiver.is_relayed(pair.clock.now)

    def test_hosts_exchange_their_work(self, pair):
        upstream = test_table.UPSTREAM
        pair.receiver_table.begin_request(upstream, 5.0)
        pair.reader_table.begin_request(upstream, 3.0)
        with self.serve(pair, pair.reader) as server:
            requester = self.make_requester(pair, [server.address])
            assert requester.step(pair.clock.now)
        now = pair.clock.now
        boot_id = upstream.boot_id
        assert pair.receiver_loads.estimate_others(2, now) == {boot_id: 3.0}
        assert pair.reader_loads.estimate_others(2, now) == {boot_id: 5.0}

    def test_hosts_exchange_the_tokens_that_their_requests_hold(self, pair):
        upstream = test_table.UPSTREAM
        pair.receiver_table.begin_request(upstream, 5.0, 700.0)
        pair.reader_table.begin_request(upstream, 3.0, 400.0)
        with self.serve(pair, pair.reader) as server:
            requester = self.make_requester(pair, [server.address])
            assert requester.step(pair.clock.now)
        now = pair.clock.now
        expected = {upstream.boot_id: 400.0}
        assert pair.receiver_loads.tokens.estimate_others(2, now) == expected
        expected = {upstream.boot_id: 700.0}
        assert pair.reader_loads.tokens.estimate_others(2, now) == expected

    def test_step_waits_when_no_reader_replies(self, pair):
        requester = self.make_requester(pair, ["127.0.0.1:1"])
        assert not requester.step(pair.clock.now)
        assert requester.step(pair.clock.now)
        assert not pair.receiver.is_relayed(pair.clock.now)


def test_relayed_page_shows_the_era_of_the_source(pair):
    revision = domain.make_revision(2, 5)
    pair.read(KIND, _source.Listing((), revision))
    pair.relay()
    assert pair.receiver.watch(KIND, 5, 1.0) == _source.Listing(
        (), revision, pair.receiver._relayed_by_kind[KIND].confirmed_s
    )
    assert pair.receiver.history.era == 2
