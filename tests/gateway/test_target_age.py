"""Age of target versions at hosts that did not see them named."""

import random

import attrs
import pytest

from sycamorespoke import decisions, domain, objects, serving
from sycamorespoke.gateway import (
    _chooser,
    _deployment,
    _model,
    _peer_loads,
    _requests,
    _software_versions,
    _table,
    _target_versions,
    _view_updater,
    _views,
)
from tests.fakes import in_process_gateway

MODEL = "m"
GRACE_S = 6.0
KINDS = (
    "configuration",
    "upstreams",
    "data_centres_out",
    "versions",
    "hosts",
    "leases",
    "crashes",
)
ROUTE = in_process_gateway.make_route("stream", _model.RouteKind.STREAM)
PROMPT = _requests.Prompt(MODEL, (_requests.PromptBlock("own", 100),), 100, 10)


class IgnoringActor:
    def tell(self, message):
        pass


@attrs.define
class Clock:
    now: float = 100.0


class FollowingHost:
    """View and chooser of a host that follows the target versions of a source.

    The source is a script: ``respond`` sets its response to the next read.
    """

    def __init__(self, clock, versions_by_engine):
        self.clock = clock
        self.views = _views.Views()
        self.table = _table.UpstreamTable()
        self.response = None
        kinds = (_deployment.ObjectKind(name, parse_target) for name in KINDS)
        self.updater = _view_updater.ViewUpdater(
            _deployment.ObjectKinds(*kinds),
            self,
            self.views,
            {"weights": IgnoringActor()},
            self.table,
            _software_versions.SoftwareVersions(),
            lambda freshness: decisions.WatchTiming(1.0, 0.0),
            lambda view: None,
        )
        self.views.set_configuration(
            _model.Configuration(1, (ROUTE,), {"s": _model.Service("s", 90)})
        )
        self.views.replace_fields(data_centres_out=frozenset())
        self.load(versions_by_engine)
        limits = _chooser.UpstreamLimits(1.5, 5.0, GRACE_S)
        self.chooser = _chooser.Chooser(
            "h1", "dc-1", self.table, limits, _peer_loads.PeerLoads(), random.Random(1)
        )

    def load(self, versions_by_engine):
        upstreams_by_id = {
            name: _model.Upstream(
                name, 1, "s", "10.0.0.1:80", "dc-1", versions_by_model={MODEL: version}
            )
            for name, version in versions_by_engine.items()
        }
        self.views.replace_fields(upstreams_by_id=upstreams_by_id)

    def list(self, kind):
        return self.response

    def watch(self, kind, revision, wait_s):
        return self.response

    def step(self, response):
        """Read the target versions once; the source responds as given."""
        self.response = response
        [follower] = [
            each
            for each in self.updater._followers
            if each.subscription.section == _views.VERSIONS
        ]
        follower.step()

    def choose_versions(self, count=20):
        """Return the weight versions that requests are sent to, or refusals."""
        results = set()
        for number in range(count):
            blocks = (_requests.PromptBlock(f"own-{number}", 100),)
            request = _requests.Request(
                f"c-{number}",
                "a",
                "POST",
                "/stream/x",
                (),
                b"",
                self.clock.now,
                prompt=attrs.evolve(PROMPT, blocks=blocks),
            )
            choice = self.chooser.choose(
                self.views.get(), ROUTE, request, set(), self.clock.now
            )
            is_refusal = isinstance(choice, domain.Refusal)
            results.add(choice.kind if is_refusal else choice.weight_version)
        return results


def parse_target(value, now):
    return _target_versions.TargetVersion(MODEL, value["Spec"], now)


def make_target(version, revision):
    return {"Metadata": {"Name": MODEL, "Revision": revision}, "Spec": version}


def list_target(version, revision):
    return objects.Listing((make_target(version, revision),), revision)


def change_target(version, revision):
    change = objects.Change(make_target(version, revision), False)
    return objects.Changes((change,), revision)


NO_CHANGES = objects.Changes((), 7)


@pytest.fixture
def clock(monkeypatch):
    made = Clock()
    monkeypatch.setattr(serving, "read_clock", lambda: made.now)
    return made


def test_host_that_starts_inside_the_grace_does_not_begin_it_anew(clock):
    host = FollowingHost(clock, {"i1": 1, "i2": 1, "i3": 2})
    host.step(list_target(2, 8))
    assert host.choose_versions() == {2}


def test_host_that_starts_before_any_engine_has_the_target_uses_no_older_weights(clock):
    host = FollowingHost(clock, {"i1": 1, "i2": 1})
    host.step(list_target(2, 8))
    assert host.choose_versions() == {domain.ErrorKind.VERSION_LOADING}
    host.load({"i1": 1, "i2": 2})
    assert host.choose_versions() == {2}


def test_grace_does_not_begin_anew_after_following_stood_still(clock):
    host = FollowingHost(clock, {"i1": 1, "i2": 2})
    host.step(list_target(1, 7))
    clock.now += 0.5
    host.step(objects.Unavailable("no response"))
    clock.now += 5.0
    host.step(list_target(2, 8))
    assert host.choose_versions() == {2}


def test_grace_does_not_begin_anew_at_a_host_that_was_suspended(clock):
    host = FollowingHost(clock, {"i1": 1, "i2": 2})
    host.step(list_target(1, 7))
    clock.now += 5.0
    host.step(change_target(2, 8))
    assert host.choose_versions() == {2}


def test_older_weights_serve_through_the_grace_of_a_target_seen_named(clock):
    host = FollowingHost(clock, {"i1": 1, "i2": 2})
    host.step(list_target(1, 7))
    clock.now += 0.5
    host.step(NO_CHANGES)
    clock.now += 0.2
    host.step(change_target(2, 8))
    clock.now += 2.0
    assert host.choose_versions() == {1, 2}
    clock.now += 2.0
    assert host.choose_versions() == {2}


def test_older_weights_serve_after_a_short_outage_of_the_source(clock):
    host = FollowingHost(clock, {"i1": 1, "i2": 1})
    host.step(list_target(1, 7))
    clock.now += 0.2
    host.step(objects.Unavailable("no response"))
    clock.now += 0.8
    host.step(list_target(2, 8))
    clock.now += 1.0
    assert host.choose_versions() == {1}


def test_grace_of_a_version_does_not_begin_anew_when_the_next_one_is_named(clock):
    host = FollowingHost(clock, {"i1": 1, "i2": 2})
    host.step(list_target(1, 7))
    clock.now += 0.3
    host.step(change_target(2, 8))
    clock.now += 3.0
    host.step(objects.Changes((), 8))
    host.step(change_target(3, 9))
    clock.now += 1.2
    assert host.choose_versions() == {2}


def test_grace_of_a_version_that_a_host_found_does_not_begin_anew_with_the_next(clock):
    host = FollowingHost(clock, {"i1": 1, "i2": 2})
    host.step(list_target(2, 7))
    clock.now += 0.3
    host.step(change_target(3, 8))
    assert host.choose_versions() == {2}


def see_named(host, clock, version, revision):
    """Have a host see a target named within 0.2 s of a confirmation."""
    host.step(NO_CHANGES)
    clock.now += 0.2
    host.step(change_target(version, revision))


def test_target_that_is_deleted_and_created_again_keeps_its_age(clock):
    host = FollowingHost(clock, {"i1": 1, "i2": 2})
    host.step(list_target(1, 7))
    see_named(host, clock, 2, 8)
    clock.now += 3.5
    deleted = objects.Change(make_target(2, 9), True)
    host.step(objects.Changes((deleted,), 9))
    clock.now += 0.2
    host.step(change_target(2, 10))
    clock.now += 1.3
    assert host.choose_versions() == {2}


def test_target_that_cannot_be_read_for_a_moment_keeps_its_age(clock):
    host = FollowingHost(clock, {"i1": 1, "i2": 2})
    host.step(list_target(1, 7))
    see_named(host, clock, 2, 8)
    clock.now += 3.5
    malformed = make_target(2, 9)
    del malformed["Spec"]
    host.step(objects.Changes((objects.Change(malformed, False),), 9))
    assert host.views.get().targets_by_model[MODEL].version == 2
    clock.now += 0.2
    host.step(change_target(2, 10))
    clock.now += 1.3
    assert host.choose_versions() == {2}
