"""View of a host after changes of the objects at the source."""

import attrs
import pytest

from sycamorespoke import decisions, objects, rollouts
from sycamorespoke.gateway import (
    _deployment,
    _model,
    _orders,
    _rollout_states,
    _software_versions,
    _table,
    _view_updater,
    _views as views_module,
    _weight_rollout,
)

UPSTREAM = _model.Upstream("i-1", 7, "s", "1.1.1.1:1", "z", versions_by_model={"m": 1})


class Actor:
    def __init__(self):
        self.messages = []

    def tell(self, message):
        self.messages.append(message)


class UpdaterHarness:
    def __init__(self, known_rollouts=None):
        self.items_by_kind = {}
        self.revision = 0
        self.views = views_module.Views()
        self.table = _table.UpstreamTable()
        self.weights = Actor()
        self.rollout_states = Actor()
        kinds = _deployment.ObjectKinds(
            *(
                _deployment.ObjectKind(name, lambda value, now: value["Spec"])
                for name in (
                    "configuration",
                    "upstreams",
                    "data_centres_out",
                    "versions",
                    "hosts",
                    "leases",
                    "crashes",
                    "rollouts",
                )
            )
        )
        self.software_versions = _software_versions.SoftwareVersions()
        self.updater = _view_updater.ViewUpdater(
            kinds,
            self,
            self.views,
            {
                _weight_rollout.LEASE_NAME: self.weights,
                _rollout_states.LEASE_NAME: self.rollout_states,
            },
            self.table,
            self.software_versions,
            lambda freshness: decisions.WatchTiming(2.5, 0.0),
            lambda view: None,
            known_rollouts,
        )

    def list(self, kind):
        items_by_name = self.items_by_kind.get(kind, {})
        values = tuple(
            {"Metadata": {"Name": name, "Revision": self.revision}, "Spec": item}
            for name, item in items_by_name.items()
        )
        return objects.Listing(values, self.revision)

    def list_all_kinds(self):
        self.revision += 1
        for follower in self.updater._followers:
            follower.revision = None
            follower.step()

    def announce(self, value):
        update = _orders.LeaseUpdate(_weight_rollout.LOADING_NAME, value, 1)
        self.items_by_kind["leases"] = {_weight_rollout.LOADING_NAME: update}


@pytest.fixture
def harness():
    made = UpdaterHarness()
    made.items_by_kind["upstreams"] = {UPSTREAM.id: UPSTREAM}
    made.list_all_kinds()
    return made


def loaded_versions(harness):
    return harness.table.read([UPSTREAM])[UPSTREAM.boot_id].versions_by_model


def test_announced_version_is_recorded_for_the_engine(harness):
    announcement = _orders.LoadAnnouncement([], {UPSTREAM.boot_id: {"m": 2}})
    harness.announce(announcement.to_value())
    harness.list_all_kinds()
    assert loaded_versions(harness) == {"m": 2}


def test_announcement_for_another_boot_id_is_ignored(harness):
    announcement = _orders.LoadAnnouncement([], {"i-1@6": {"m": 2}})
    harness.announce(announcement.to_value())
    harness.list_all_kinds()
    assert loaded_versions(harness) == {}


def test_announced_engine_counts_as_loading(harness):
    harness.announce(_orders.LoadAnnouncement([UPSTREAM.boot_id], {}).to_value())
    harness.list_all_kinds()
    view = harness.views.get()
    assert view.is_loading(UPSTREAM, view.loading_seen_s)


@pytest.mark.parametrize("value", [None, 3, ["i-1@7"], {"loading": 3}])
def test_malformed_announcement_changes_nothing(harness, value):
    harness.announce(value)
    with pytest.raises(ValueError, match="not a load announcement"):
        harness.list_all_kinds()
    assert loaded_versions(harness) == {}


def test_updates_continue_after_a_malformed_announcement(harness):
    follower = next(
        each
        for each in harness.updater._followers
        if each.subscription.section == "leases"
    )
    harness.announce(7)
    with pytest.raises(ValueError, match="not a load announcement"):
        harness.list_all_kinds()
    assert isinstance(follower, objects.Follower)
    announcement = _orders.LoadAnnouncement([], {UPSTREAM.boot_id: {"m": 2}})
    harness.announce(announcement.to_value())
    harness.list_all_kinds()
    assert loaded_versions(harness) == {"m": 2}


def test_upstream_that_was_listed_as_draining_stays_so_after_an_older_list(harness):
    draining = attrs.evolve(UPSTREAM, is_draining=True)
    harness.items_by_kind["upstreams"] = {UPSTREAM.id: draining}
    harness.list_all_kinds()
    harness.items_by_kind["upstreams"] = {UPSTREAM.id: UPSTREAM}
    harness.list_all_kinds()
    assert harness.table.read([UPSTREAM])[UPSTREAM.boot_id].is_leaving
    restarted = attrs.evolve(UPSTREAM, started_ms=8)
    harness.items_by_kind["upstreams"] = {UPSTREAM.id: restarted}
    harness.list_all_kinds()
    assert not harness.table.read([restarted])[restarted.boot_id].is_leaving


def test_announcement_that_is_read_before_the_list_of_engines_is_not_lost():
    harness = UpdaterHarness()
    announcement = _orders.LoadAnnouncement([], {UPSTREAM.boot_id: {"m": 2}})
    harness.announce(announcement.to_value())
    harness.list_all_kinds()
    harness.items_by_kind["upstreams"] = {UPSTREAM.id: UPSTREAM}
    harness.list_all_kinds()
    assert loaded_versions(harness) == {"m": 2}


def list_kinds(harness):
    return {follower.subscription.kind for follower in harness.updater._followers}


def test_rollouts_are_not_followed_unless_switched_on():
    harness = UpdaterHarness()
    assert "rollouts" not in list_kinds(harness)
    harness.list_all_kinds()
    assert harness.views.get().is_complete is False
    assert harness.views.get().rollouts_by_name == {}


def test_rollouts_are_known_before_callers_are_served():
    known = rollouts.Rollouts("h1", rollouts.Limits(0.1, 50.0))
    harness = UpdaterHarness(known)
    assert harness.views.get().rollouts_by_name is None
    rollout_id = rollouts.RolloutId("s", "v2", 5)
    order = rollouts.RolloutOrder("s", rollout_id, 16.0, 5)
    harness.items_by_kind["rollouts"] = {"s": order}
    harness.list_all_kinds()
    assert harness.views.get().rollouts_by_name == {"s": order}
    assert known.list_pending() == [order]
    assert harness.rollout_states.messages
