"""What a host believes after objects that the source has."""

import pytest

from sycamorespoke import decisions
from sycamorespoke.gateway import (
    _deployment,
    _follower,
    _model,
    _orders,
    _rollout,
    _source,
    _table,
    _view_updater,
    _views as views_module,
)

UPSTREAM = _model.Upstream("i-1", 7, "s", "1.1.1.1:1", "z", versions_by_model={"m": 1})


class Actor:
    def __init__(self):
        self.told = []

    def tell(self, message):
        self.told.append(message)


class Keeping:
    def __init__(self):
        self.items_by_kind = {}
        self.revision = 0
        self.views = views_module.Views()
        self.table = _table.UpstreamTable()
        self.weights = Actor()
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
                )
            )
        )
        self.keeper = _view_updater.ViewUpdater(
            kinds,
            self,
            self.views,
            {_rollout.LEASE_NAME: self.weights},
            self.table,
            lambda need: decisions.WatchTiming(2.5, 0.0),
            lambda view: None,
        )

    def list(self, kind):
        items_by_name = self.items_by_kind.get(kind, {})
        values = tuple(
            {"Metadata": {"Name": name, "Revision": self.revision}, "Spec": item}
            for name, item in items_by_name.items()
        )
        return _source.Listing(values, self.revision)

    def read_all(self):
        self.revision += 1
        for follower in self.keeper._followers:
            follower.revision = None
            follower.step()

    def announce(self, value):
        seen = _orders.LeaseUpdate(_rollout.LOADING_NAME, value, 1)
        self.items_by_kind["leases"] = {_rollout.LOADING_NAME: seen}


@pytest.fixture
def keeping():
    made = Keeping()
    made.items_by_kind["upstreams"] = {UPSTREAM.id: UPSTREAM}
    made.read_all()
    return made


def held(keeping):
    return keeping.table.read([UPSTREAM])[UPSTREAM.boot_id].versions_by_model


def test_a_host_knows_the_weights_of_an_engine_once_its_load_is_announced(keeping):
    announcement = _orders.LoadAnnouncement([], {UPSTREAM.boot_id: {"m": 2}})
    keeping.announce(announcement.to_value())
    keeping.read_all()
    assert held(keeping) == {"m": 2}


def test_what_is_announced_of_another_start_of_the_engine_is_not_believed(keeping):
    announcement = _orders.LoadAnnouncement([], {"i-1@6": {"m": 2}})
    keeping.announce(announcement.to_value())
    keeping.read_all()
    assert held(keeping) == {}


def test_engines_that_load_are_known_for_a_while(keeping):
    keeping.announce(_orders.LoadAnnouncement([UPSTREAM.boot_id], {}).to_value())
    keeping.read_all()
    view = keeping.views.get()
    assert view.is_loading(UPSTREAM, view.loading_seen_s)


@pytest.mark.parametrize("value", [None, 3, ["i-1@7"], {"loading": 3}])
def test_an_announcement_of_another_form_changes_nothing(keeping, value):
    keeping.announce(value)
    with pytest.raises(ValueError, match="not a load announcement"):
        keeping.read_all()
    assert held(keeping) == {}


def test_followers_go_on_after_an_announcement_of_another_form(keeping):
    follower = next(
        each
        for each in keeping.keeper._followers
        if each.subscription.section == "leases"
    )
    keeping.announce(7)
    with pytest.raises(ValueError, match="not a load announcement"):
        keeping.read_all()
    assert isinstance(follower, _follower.Follower)
    announcement = _orders.LoadAnnouncement([], {UPSTREAM.boot_id: {"m": 2}})
    keeping.announce(announcement.to_value())
    keeping.read_all()
    assert held(keeping) == {"m": 2}
