"""A host list of an older copy lacks the hosts that were added since."""

import pytest

from sycamorespoke import domain, messages
from sycamorespoke.membership import _documents, _state

HOSTS = messages.DocumentKind.HOSTS
RETENTION_S = 10.0


@pytest.fixture
def state():
    return _state.MemberState("seeb-1", "seeb")


def adopt(state, era, number, *names):
    by_name = {
        name: domain.Host(name, "seeb", domain.HostRole.STORE, "127.0.0.1:1")
        for name in names
    }
    revision = domain.make_revision(era, number)
    hosts = domain.HostList(revision, by_name)
    assert state.adopt(_documents.make_hosts_document(hosts))
    return revision


def get_names(state):
    return sorted(state.make_snapshot().view.hosts.by_name)


def test_hosts_in_force_are_not_taken_back_by_an_older_copy(state):
    adopt(state, 0, 4, "a", "b")
    older = adopt(state, 1, 2, "a")
    assert get_names(state) == ["a", "b"]
    state.record_confirmation(HOSTS, older, 50.0, 1)
    newer = adopt(state, 1, 3, "a", "c")
    assert get_names(state) == ["a", "b", "c"]
    state.record_confirmation(HOSTS, newer, 50.0 + RETENTION_S, 1)
    assert get_names(state) == ["a", "c"]


def test_hosts_removed_within_an_era_are_removed_at_once(state):
    adopt(state, 1, 4, "a", "b")
    adopt(state, 1, 5, "a")
    assert get_names(state) == ["a"]


def test_hosts_that_are_sent_to_peers_are_those_of_the_platform(state):
    adopt(state, 0, 4, "a", "b")
    adopt(state, 1, 2, "a")
    value = state.make_snapshot().documents_by_kind[HOSTS].value
    assert list(value["by_name"]) == ["a"]


def test_neighbours_are_chosen_again_once_hosts_are_gone(state, monkeypatch):
    chosen = []
    monkeypatch.setattr(
        _state.decisions,
        "choose_neighbours",
        lambda name, data_centre, hosts: chosen.append(sorted(hosts.by_name)),
    )
    monkeypatch.setattr(
        _state.decisions, "compute_peers_confirmed_s", lambda *_: float("-inf")
    )
    adopt(state, 0, 4, "a", "b")
    older = adopt(state, 1, 2, "a")
    state.make_snapshot()
    state.record_confirmation(HOSTS, older, 50.0, 1)
    state.record_confirmation(HOSTS, older, 50.0 + RETENTION_S, 1)
    state.make_snapshot()
    assert chosen == [["a", "b"], ["a"]]
