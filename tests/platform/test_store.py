"""Tests of the client of the object store, and of leases in the store."""

from sycamorespoke import clients, decisions, gateway, membership, objects
from sycamorespoke.platform import _store


def test_a_list_returns_the_objects_of_all_pages(fake_store):
    for name in "abcde":
        fake_store.put("k", name, {"n": name})
    listing = _store.ObjectStoreClient(fake_store.address).list("k")
    assert [value["Spec"]["n"] for value in listing.values] == list("abcde")
    assert listing.revision == fake_store.revision


def test_a_watch_returns_changes_and_is_empty_without_any(fake_store):
    store = _store.ObjectStoreClient(fake_store.address)
    fake_store.put("k", "a", 1)
    fake_store.delete("k", "a")
    changes = store.watch("k", 1, 0.0)
    assert [change.is_deleted for change in changes.changes] == [False, True]
    assert store.watch("k", changes.revision, 0.0).changes == ()


def test_discarded_history_differs_from_an_unavailable_store(fake_store):
    store = _store.ObjectStoreClient(fake_store.address)
    fake_store.put("k", "a", 1)
    fake_store.discard_history()
    assert store.watch("k", 1, 0.0) == objects.HistoryGone()
    fake_store.is_unavailable = True
    assert isinstance(store.watch("k", 1, 0.0), objects.Unavailable)
    assert isinstance(store.list("k"), objects.Unavailable)
    assert isinstance(store.read("k", "a"), objects.Unavailable)


def test_changes_too_large_to_hold_are_given_up_and_a_list_follows(fake_store):
    # A host that was suspended during a storm gets every configuration at once.
    store = _store.ObjectStoreClient(fake_store.address)
    for number in range(12):
        fake_store.put("k", "main", {"n": number, "text": "x" * 900_000})
    assert isinstance(store.watch("k", 1, 0.0), objects.Unavailable)
    (value,) = store.list("k").values
    assert value["Spec"]["n"] == 11


def test_a_write_returns_its_outcome(fake_store):
    store = _store.ObjectStoreClient(fake_store.address)
    applied = store.create("k", "a", {"n": 1})
    assert applied.outcome is clients.WriteOutcome.APPLIED
    assert store.create("k", "a", {}).outcome is clients.WriteOutcome.CONFLICT
    stale = store.replace("k", "a", {"n": 2}, revision=applied.stored.revision - 1)
    assert stale.outcome is clients.WriteOutcome.CONFLICT
    assert stale.stored.spec == {"n": 1}
    fake_store.is_unavailable = True
    rejected = store.replace("k", "a", {"n": 2})
    assert rejected.outcome is clients.WriteOutcome.REJECTED
    fake_store.is_unavailable = False
    fake_store.drops_responses = True
    unknown = store.replace("k", "a", {"n": 2})
    assert unknown.outcome is clients.WriteOutcome.UNKNOWN
    assert fake_store.objects["k", "a"]["Spec"] == {"n": 2}


def make_keeper(fake_store, name, clock):
    leases = gateway.LeaseStore(
        _store.ObjectStoreClient(fake_store.address), "syk-leases"
    )
    return membership.LeaseKeeper("weights", name, leases, clock, 3.0)


def test_only_an_expired_lease_is_acquired_by_another_host(fake_store):
    now = [0.0]
    first = make_keeper(fake_store, "a", lambda: now[0])
    second = make_keeper(fake_store, "b", lambda: now[0])
    for tenths in range(0, 70):
        now[0] = tenths / 10
        first.step()
        second.step()
        assert first.is_held(now[0]) == (tenths >= 1)
        assert not second.is_held(now[0])
    for tenths in range(70, 110):
        now[0] = tenths / 10
        second.step()
        assert not (first.is_held(now[0]) and second.is_held(now[0]))
    assert second.is_held(now[0])
    assert second.held.fencing_number == 2


def test_a_lease_is_read_back_after_a_write_without_response(fake_store):
    now = [0.0]
    keeper = make_keeper(fake_store, "a", lambda: now[0])
    keeper.step()
    fake_store.drops_responses = True
    keeper.step()
    assert not keeper.is_held(0.0)
    fake_store.drops_responses = False
    now[0] = 1.0
    keeper.step()
    assert keeper.is_held(1.0)
    # The lease runs from the time at which the write without a response was sent.
    assert not keeper.is_held(3.0)


def test_lease_store_returns_missing_stored_conflict_and_unavailable(fake_store):
    leases = gateway.LeaseStore(
        _store.ObjectStoreClient(fake_store.address), "syk-leases"
    )
    assert leases.get("leases/x") == clients.Missing()
    assert leases.announce("loading", ["i-1@1"])
    assert leases.announce("loading", [])
    record = decisions.LeaseRecord("a", 1)
    assert isinstance(leases.put("leases/x", {"holder": "a"}, 0), clients.StoredObject)
    assert isinstance(leases.put("leases/x", {"holder": "b"}, 0), clients.Conflict)
    fake_store.is_unavailable = True
    assert isinstance(leases.get("leases/x"), clients.Unavailable)
    assert not leases.announce("loading", ["i-2@1"])
    assert record.renewal == 0


def test_lease_lost_by_an_older_copy_is_not_held_by_two_hosts_with_one_number(
    fake_store,
):
    fake_store.era = 1
    now = [0.0]
    keepers_by_name = {
        name: make_keeper(fake_store, name, lambda: now[0]) for name in "abc"
    }
    store_copies = []
    holders_by_number = {}
    for tenths in range(300):
        now[0] = tenths / 10
        if tenths == 75:
            # The lease has changed hands since the copy was made.
            fake_store.restore(store_copies[50])
        for name, keeper in keepers_by_name.items():
            # The first holder stands still and knows nothing of the second one.
            if name != "a" or not 40 <= tenths < 76:
                keeper.step()
        store_copies.append(fake_store.copy())
        held = [each for each in keepers_by_name.values() if each.is_held(now[0])]
        assert len(held) <= 1
        for keeper in held:
            holders = holders_by_number.setdefault(keeper.held.fencing_number, set())
            holders.add(keeper.holder)
    assert [len(holders) for holders in holders_by_number.values()] == [1, 1, 1]
    assert list(holders_by_number) == sorted(holders_by_number)


def test_lease_that_is_discarded_is_acquired_with_a_later_number(fake_store):
    now = [0.0]
    keeper = make_keeper(fake_store, "a", lambda: now[0])
    for _ in range(2):
        keeper.step()
    assert keeper.held.fencing_number == 1
    keeper.discard()
    # A store that states no era, and has lost the record.
    fake_store.objects.clear()
    for _ in range(2):
        keeper.step()
    assert keeper.held.fencing_number == 2
