"""How often hosts ask, by their number and by what depends on it."""

import itertools

import pytest

from sycamorespoke import decisions


@pytest.mark.parametrize("hosts", [1, 9, 16])
def test_up_to_sixteen_hosts_fetch_every_change_at_once(hosts):
    for freshness in decisions.Freshness:
        pace = decisions.choose_watch_timing(
            hosts, freshness, decisions.ReadMode.DIRECT
        )
        assert pace.pause_s == 0.0
        assert pace.timeout_s <= 2.5


def test_what_is_confirmed_is_asked_for_most_often():
    mode = decisions.ReadMode.DIRECT
    waits_s = [
        decisions.choose_watch_timing(74, freshness, mode).timeout_s
        for freshness in (
            decisions.Freshness.CONFIRMED,
            decisions.Freshness.URGENT,
            decisions.Freshness.RELAXED,
        )
    ]
    assert all(first < second for first, second in itertools.pairwise(waits_s))


def test_a_told_host_loses_no_time_between_changes():
    for freshness in decisions.Freshness:
        told = decisions.choose_watch_timing(300, freshness, decisions.ReadMode.RELAYED)
        reader = decisions.choose_watch_timing(
            300, freshness, decisions.ReadMode.READER
        )
        assert told.pause_s == 0.0
        assert reader.pause_s <= 0.05
