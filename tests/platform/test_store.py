"""The client of the object store against a stand-in."""

from sycamorespoke import clients, decisions, gateway, membership
from sycamorespoke.platform import _leases, _store


def test_a_list_follows_its_pages(stand_in):
    for name in "abcde":
        stand_in.put("k", name, {"n": name})
    listing = _store.ObjectStore(stand_in.address).list("k")
    assert [value["Spec"]["n"] for value in listing.values] == list("abcde")
    assert listing.revision == stand_in.revision


def test_a_watch_brings_changes_and_ends_empty(stand_in):
    store = _store.ObjectStore(stand_in.address)
    stand_in.put("k", "a", 1)
    stand_in.delete("k", "a")
    changes = store.watch("k", 1, 0.0)
    assert [change.is_deleted for change in changes.changes] == [False, True]
    assert store.watch("k", changes.revision, 0.0).changes == ()


def test_history_that_is_gone_and_a_store_that_refuses_are_told_apart(stand_in):
    store = _store.ObjectStore(stand_in.address)
    stand_in.put("k", "a", 1)
    stand_in.forget_history()
    assert store.watch("k", 1, 0.0) == gateway.HistoryGone()
    stand_in.outage = True
    assert isinstance(store.watch("k", 1, 0.0), gateway.Unavailable)
    assert isinstance(store.list("k"), gateway.Unavailable)
    assert isinstance(store.read("k", "a"), gateway.Unavailable)


def test_a_write_says_what_became_of_it(stand_in):
    store = _store.ObjectStore(stand_in.address)
    done = store.create("k", "a", {"n": 1})
    assert done.outcome is _store.WriteOutcome.DONE
    assert store.create("k", "a", {}).outcome is _store.WriteOutcome.CONFLICT
    stale = store.replace("k", "a", {"n": 2}, revision=done.stored.revision - 1)
    assert stale.outcome is _store.WriteOutcome.CONFLICT
    assert stale.stored.spec == {"n": 1}
    stand_in.outage = True
    refused = store.replace("k", "a", {"n": 2})
    assert refused.outcome is _store.WriteOutcome.NOT_DONE
    stand_in.outage = False
    stand_in.lose_answers = True
    lost = store.replace("k", "a", {"n": 2})
    assert lost.outcome is _store.WriteOutcome.UNKNOWN
    assert stand_in.objects["k", "a"]["Spec"] == {"n": 2}


def make_keeper(stand_in, name, clock):
    leases = _leases.LeaseObjects(_store.ObjectStore(stand_in.address))
    return membership.LeaseKeeper("weights", name, leases, clock, 3.0)


def test_a_renewed_lease_is_not_taken_and_a_lapsed_one_is(stand_in):
    now = [0.0]
    first = make_keeper(stand_in, "a", lambda: now[0])
    second = make_keeper(stand_in, "b", lambda: now[0])
    for moment in range(0, 70):
        now[0] = moment / 10
        first.step()
        second.step()
        assert first.is_held(now[0]) == (moment >= 1)
        assert not second.is_held(now[0])
    for moment in range(70, 110):
        now[0] = moment / 10
        second.step()
        assert not (first.is_held(now[0]) and second.is_held(now[0]))
    assert second.is_held(now[0])
    assert second.held.fencing_number == 2


def test_a_lease_whose_write_was_lost_is_read_back(stand_in):
    now = [0.0]
    keeper = make_keeper(stand_in, "a", lambda: now[0])
    keeper.step()
    stand_in.lose_answers = True
    keeper.step()
    assert not keeper.is_held(0.0)
    stand_in.lose_answers = False
    now[0] = 1.0
    keeper.step()
    assert keeper.is_held(1.0)
    # It counts from the sending of the lost write.
    assert not keeper.is_held(3.0)


def test_lease_objects_answer_as_the_keeper_needs(stand_in):
    leases = _leases.LeaseObjects(_store.ObjectStore(stand_in.address))
    assert leases.get("leases/x") == clients.Missing()
    assert leases.announce("loading", ["i-1@1"])
    assert leases.announce("loading", [])
    record = decisions.LeaseRecord("a", 1)
    assert isinstance(leases.put("leases/x", {"holder": "a"}, 0), clients.Stored)
    assert isinstance(leases.put("leases/x", {"holder": "b"}, 0), clients.Conflict)
    stand_in.outage = True
    assert isinstance(leases.get("leases/x"), clients.Unavailable)
    assert not leases.announce("loading", ["i-2@1"])
    assert record.renewal == 0
