"""How often hosts ask, by their number and by what depends on it."""

import itertools

import pytest

from sycamorespoke import decisions


@pytest.mark.parametrize("hosts", [1, 9, 16])
def test_up_to_sixteen_hosts_fetch_every_change_at_once(hosts):
    for need in decisions.ChangeNeed:
        pace = decisions.pace_watch(hosts, need, decisions.Reading.FOR_ITSELF)
        assert pace.pause_s == 0.0
        assert pace.watch_s <= 2.5


def test_what_is_confirmed_is_asked_for_most_often():
    reading = decisions.Reading.FOR_ITSELF
    waits_s = [
        decisions.pace_watch(74, need, reading).watch_s
        for need in (
            decisions.ChangeNeed.CONFIRMED,
            decisions.ChangeNeed.URGENT,
            decisions.ChangeNeed.RELAXED,
        )
    ]
    assert all(first < second for first, second in itertools.pairwise(waits_s))


def test_a_told_host_loses_no_time_between_changes():
    for need in decisions.ChangeNeed:
        told = decisions.pace_watch(300, need, decisions.Reading.TOLD)
        reader = decisions.pace_watch(300, need, decisions.Reading.FOR_OTHERS)
        assert told.pause_s == 0.0
        assert reader.pause_s <= 0.05
