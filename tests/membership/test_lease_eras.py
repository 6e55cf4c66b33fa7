"""A lease of this product's own interface, whose platform comes back from a copy."""

import types

import pytest

from sycamorespoke import clients, membership, steward
from sycamorespoke.membership import _permit_issuer
from tests import fakes

LEASE_S = 6.0


class Connection:
    """Platform of one host, which knows of an era only by its own requests."""

    def __init__(self, platform):
        self.platform = platform
        self.history = clients.StoreHistory()

    def get(self, name):
        result = self.platform.get(name)
        self.history.record_era(self.platform.history.era, self.platform.now)
        return result

    def put(self, name, value, version):
        result = self.platform.put(name, value, version)
        self.history.record_era(self.platform.history.era, self.platform.now)
        return result


def make_steward(platform, holder):
    return steward.ShardSteward(
        "seeb", holder, Connection(platform), None, None, None, platform.clock
    )


def make_issuer(platform, holder):
    get_view = types.SimpleNamespace
    return _permit_issuer.PermitIssuer(
        "seeb", holder, Connection(platform), get_view, platform.clock
    )


@pytest.mark.parametrize("make", [make_steward, make_issuer])
def test_holder_that_knows_of_an_era_by_another_request_holds_no_lease(make):
    platform = fakes.SlowPlatform()
    older = platform.copy()
    holder = make(platform, "one").keeper
    assert isinstance(holder, membership.LeaseKeeper)
    for _ in range(3):
        holder.step()
    assert holder.is_held(platform.now)
    platform.restore(older, platform.now)
    holder.platform.get("rules")
    assert not holder.is_held(platform.now)


@pytest.mark.parametrize("make", [make_steward, make_issuer])
def test_next_holder_after_older_copy_has_a_later_number_alone(make):
    platform = fakes.SlowPlatform()
    older = platform.copy()
    keepers = [make(platform, name).keeper for name in ("one", "two")]
    for _ in range(3):
        keepers[0].step()
    first = keepers[0].held.fencing_number
    platform.restore(older, platform.now)
    for _ in range(200):
        platform.now += 0.1
        for keeper in reversed(keepers):
            keeper.step()
        held = [each for each in keepers if each.is_held(platform.now)]
        assert len(held) <= 1
    assert held[0].held.fencing_number > first


def test_release_of_an_earlier_era_is_none():
    platform = fakes.SlowPlatform()
    keeper = make_steward(platform, "one").keeper
    for _ in range(3):
        keeper.step()
    assert keeper.release({"i-1": 2.0})
    assert keeper.released is not None
    platform.restore(platform.copy(), platform.now)
    keeper.platform.get("rules")
    keeper.step()
    assert keeper.seen_version > 0
    assert keeper.released is None
