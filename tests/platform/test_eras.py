"""Revisions that the adapter returns before a store that states an era."""

import pytest

from sycamorespoke import clients, domain, gateway, objects
from sycamorespoke.platform import _store


@pytest.fixture
def store(fake_store):
    fake_store.era = 3
    return fake_store


@pytest.fixture
def client(store):
    return _store.ObjectStoreClient(store.address)


def test_revisions_of_all_responses_contain_the_era(store, client):
    created = client.create("k", "a", 1).stored
    listing = client.list("k")
    store.put("k", "a", 2)
    changes = client.watch("k", listing.revision, 0.0)
    read = client.read("k", "a")
    revisions = [
        created.revision,
        listing.revision,
        objects.get_metadata(listing.values[0], "Revision"),
        changes.revision,
        objects.get_metadata(changes.changes[0].value, "Revision"),
        objects.get_metadata(changes.changes[0].value, "CreatedRev"),
        read.revision,
        client.read("k", "b").revision,
    ]
    assert {domain.get_era(revision) for revision in revisions} == {3}
    assert client.history.revision == changes.revision


@pytest.mark.parametrize("is_known", [True, False])
def test_watch_from_a_revision_given_out_again_lacks_its_history(
    store, client, is_known
):
    store_copy = store.copy()
    store.put("k", "a", 1)
    revision = client.list("k").revision
    store.restore(store_copy)
    for number in range(3):
        store.put("k", "b", number)
    if is_known:
        client.read("k", "a")
    assert client.watch("k", revision, 0.0) == objects.HistoryGone()


def test_list_whose_pages_are_of_two_eras_is_given_up(store, client):
    for name in "abcde":
        store.put("k", name, 1)
    handle, pages = store.handle, []

    def restore_before_the_second_page(method, path, body):
        pages.append(path)
        if len(pages) == 2:
            store.restore(store.copy())
        return handle(method, path, body)

    store.handle = restore_before_the_second_page
    assert isinstance(client.list("k"), objects.Unavailable)
    assert len(client.list("k").values) == 5


@pytest.mark.parametrize("is_known", [True, False])
def test_write_on_a_revision_of_an_earlier_era_is_not_taken_for_done(
    store, client, is_known
):
    leases = gateway.LeaseStore(client, "k")
    store_copy = store.copy()
    written = leases.put("leases/x", {"holder": "a"}, leases.get("leases/x").version)
    store.restore(store_copy)
    again = store.put("k", "x", {"holder": "b"})
    assert again["Metadata"]["Revision"] == domain.get_number(written.version)
    if is_known:
        client.read("k", "x")
    result = leases.put("leases/x", {"holder": "a", "renewal": 1}, written.version)
    if is_known:
        assert result == clients.Conflict()
        assert store.objects["k", "x"]["Spec"] == {"holder": "b"}
    else:
        assert domain.get_era(result.version) == 4


def test_object_whose_revision_is_out_of_range_costs_only_itself(store, client):
    store.put("k", "a", 1)
    store.put("k", "b", 1)
    store.objects["k", "a"]["Metadata"]["Revision"] = 1 << 60
    first, second = client.list("k").values
    assert objects.get_metadata(first, "Revision") is None
    assert domain.get_era(objects.get_metadata(second, "Revision")) == 3


@pytest.mark.parametrize("era", ["", "x", "-1", "1.5", str(domain.MAX_ERA + 1)])
def test_era_that_cannot_be_read_makes_the_response_unusable(store, client, era):
    store.era = era
    assert isinstance(client.list("k"), objects.Unavailable)
    assert client.history.era == 0


def test_response_without_an_era_is_of_the_newest_one(store, client):
    store.put("k", "a", 1)
    client.list("k")
    store.era = None
    assert domain.get_era(client.list("k").revision) == 3


def test_response_of_an_earlier_era_is_not_used(store, client):
    store.put("k", "a", 1)
    client.list("k")
    store.era = 2
    assert isinstance(client.list("k"), objects.Unavailable)
    assert isinstance(client.read("k", "a"), objects.Unavailable)
    unknown = client.replace("k", "a", 2)
    assert unknown.outcome is clients.WriteOutcome.UNKNOWN
