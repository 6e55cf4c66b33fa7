"""Timing of watches by number of hosts, required freshness and read mode."""

import itertools

import pytest

from sycamorespoke import decisions


@pytest.mark.parametrize("hosts", [1, 9, 16])
def test_small_deployment_reads_every_change_without_pause(hosts):
    for freshness in decisions.Freshness:
        timing = decisions.choose_watch_timing(
            hosts, freshness, decisions.ReadMode.DIRECT
        )
        assert timing.pause_s == 0.0
        assert timing.timeout_s <= 2.5


def test_timeout_is_shorter_for_higher_freshness():
    mode = decisions.ReadMode.DIRECT
    timeouts_s = [
        decisions.choose_watch_timing(74, freshness, mode).timeout_s
        for freshness in (
            decisions.Freshness.CONFIRMED,
            decisions.Freshness.URGENT,
            decisions.Freshness.RELAXED,
        )
    ]
    assert all(first < second for first, second in itertools.pairwise(timeouts_s))


def test_relayed_changes_are_read_without_pause():
    for freshness in decisions.Freshness:
        relayed = decisions.choose_watch_timing(
            300, freshness, decisions.ReadMode.RELAYED
        )
        reader = decisions.choose_watch_timing(
            300, freshness, decisions.ReadMode.READER
        )
        assert relayed.pause_s == 0.0
        assert reader.pause_s <= 0.05
