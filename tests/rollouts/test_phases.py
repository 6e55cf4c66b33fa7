"""Timetable of a rollout."""

import attrs
import pytest

from sycamorespoke import rollouts
from sycamorespoke.rollouts import _phases

FACTS = _phases.Facts(
    age_s=0.0,
    duration_s=16.0,
    moving_s=None,
    is_bad=False,
    has_enough=True,
    has_some=True,
    is_drained=True,
)
COMPLETED = rollouts.RolloutState.COMPLETED
ROLLED_BACK = rollouts.RolloutState.ROLLED_BACK


@pytest.mark.parametrize(
    ("changes", "moves"),
    [
        ({"age_s": 7.9}, False),
        ({"age_s": 8.0}, True),
        ({"age_s": 8.0, "has_enough": False}, False),
        ({"age_s": 10.5, "has_enough": False}, True),
        ({"age_s": 10.5, "has_enough": False, "has_some": False}, False),
        ({"age_s": 8.0, "is_bad": True}, False),
        ({"age_s": 8.0, "moving_s": 1.0}, False),
    ],
)
def test_service_moves_once_enough_was_tried(changes, moves):
    assert _phases.should_move(attrs.evolve(FACTS, **changes)) is moves


@pytest.mark.parametrize(
    ("changes", "end"),
    [
        ({"age_s": 5.0}, None),
        ({"age_s": 5.0, "is_bad": True}, ROLLED_BACK),
        ({"age_s": 12.0, "moving_s": 4.5, "is_bad": True}, ROLLED_BACK),
        ({"age_s": 15.0}, ROLLED_BACK),
        ({"age_s": 12.0, "moving_s": 3.9}, None),
        ({"age_s": 12.0, "moving_s": 4.5}, None),
        ({"age_s": 13.0, "moving_s": 5.0}, COMPLETED),
        ({"age_s": 13.0, "moving_s": 5.0, "is_drained": False}, None),
        ({"age_s": 15.1, "moving_s": 5.0, "is_drained": False}, COMPLETED),
        ({"age_s": 15.1, "moving_s": 2.0}, ROLLED_BACK),
    ],
)
def test_end_of_a_rollout(changes, end):
    assert _phases.decide_end(attrs.evolve(FACTS, **changes)) is end


@pytest.mark.parametrize("duration_s", [8.0, 10.0, 16.0, 40.0, 600.0])
def test_timetable_ends_within_the_allowed_duration(duration_s):
    ramp_s = _phases.compute_ramp_s(duration_s)
    moved_s = _phases.TRIAL_RATIO * duration_s + ramp_s
    assert moved_s <= _phases.compute_limit_s(duration_s) < duration_s


@pytest.mark.parametrize("fraction", [0.1, 0.3, 0.7, 1.0])
def test_new_holder_continues_a_move_where_it_was(fraction):
    moving_s = _phases.compute_moving_s(0.1, fraction, 16.0)
    assert _phases.compute_fraction(0.1, moving_s, 16.0) == pytest.approx(fraction)
