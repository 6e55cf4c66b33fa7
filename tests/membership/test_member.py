import time

import pytest

from sycamorespoke import decisions, membership

RULES = "deployment abrr  # asked by Salma: pickup queue\n"


@pytest.fixture
def platform(make_platform):
    return make_platform()


@pytest.fixture
def member(platform):
    member = membership.Member.start("seeb-1", "seeb", platform)
    yield member
    member.stop()


def test_member_adopts_rules_from_platform(member, platform, wait_until):
    assert not decisions.is_ready(member.view, time.monotonic())
    platform.put("rules", 5, revision=2, text=RULES)
    assert wait_until(lambda: decisions.is_ready(member.view, time.monotonic()))
    assert member.view.configuration.deployment == "abrr"
    assert member.view.configuration.revision == 2


def test_member_neither_adopts_nor_confirms_stale_read(member, platform, wait_until):
    platform.put("rules", 5, revision=2, text=RULES)
    assert wait_until(lambda: decisions.is_ready(member.view, time.monotonic()))
    platform.put("rules", 4, revision=1, text=RULES)
    assert wait_until(lambda: not decisions.is_ready(member.view, time.monotonic()))
    assert member.view.configuration.revision == 2


def test_member_adopts_change_if_watches_miss_it(member, platform, wait_until):
    platform.silent = True
    platform.put("rules", 5, revision=2, text=RULES)
    assert wait_until(lambda: member.view.configuration.revision == 2, 3.0)
    platform.put("rules", 6, revision=3, text=RULES)
    assert wait_until(lambda: member.view.configuration.revision == 3, 3.0)


def test_member_without_peers_is_not_ready_during_platform_outage(
    member, platform, wait_until
):
    platform.put("rules", 5, revision=2, text=RULES)
    assert wait_until(lambda: decisions.is_ready(member.view, time.monotonic()))
    platform.down = True
    assert wait_until(lambda: not decisions.is_ready(member.view, time.monotonic()))


def test_member_does_not_adopt_invalid_rules(member, platform, wait_until):
    platform.put("rules", 5, revision=2, text="colour blue")
    platform.put("service-state", 6, revision=1, data_centres_out=["ruwi"])
    assert wait_until(lambda: member.view.service_state.revision == 1)
    assert member.view.configuration.revision == 0
