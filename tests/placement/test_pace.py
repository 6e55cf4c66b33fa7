"""How long engines take for work, as learnt from waits."""

import pytest

from sycamorespoke import placement


def test_pace_without_waits_is_the_default():
    assert placement.Pace().get_s_per_unit(0.0) == 0.00011


def test_pace_approaches_the_waits():
    pace = placement.Pace()
    for number in range(200):
        pace = pace.observe(4000.0, 0.8, number * 0.1)
    assert 0.00018 < pace.get_s_per_unit(20.0) <= 0.0002


def test_waits_behind_little_work_hardly_count():
    pace = placement.Pace()
    for number in range(50):
        pace = pace.observe(10.0, 5.0, number * 0.1)
    assert pace.get_s_per_unit(5.0) < 0.00045


def test_pace_is_bounded_and_forgets():
    pace = placement.Pace().observe(1e6, 1e6, 0.0)
    assert pace.get_s_per_unit(0.0) == pytest.approx(0.00044, rel=1e-3)
    assert pace.get_s_per_unit(0.0) <= 0.00044
    assert pace.get_s_per_unit(1000.0) < 0.00012


def test_stall_does_not_count_as_a_slow_engine():
    pace = placement.Pace()
    for number in range(20):
        pace = pace.observe(4000.0, 0.44, number * 0.1)
    before_s = pace.get_s_per_unit(2.0)
    after_s = pace.observe(4000.0, 30.0, 2.0).get_s_per_unit(2.0)
    assert after_s < 1.2 * before_s


def test_services_that_are_gone_are_forgotten():
    table = placement.PaceTable()
    table.observe("gone", 1e5, 30.0, 0.0)
    table.retain({"other"})
    assert table.dump(0.0) == {}


def test_services_have_paces_of_their_own():
    table = placement.PaceTable()
    table.observe("slow", 1e5, 30.0, 0.0)
    assert table.get_s_per_unit("slow", 0.0) > table.get_s_per_unit("other", 0.0)
    assert table.dump(0.0).keys() == {"slow"}
