"""Whether a request waits at the host until an engine has memory for it."""

import pytest

from sycamorespoke import placement

TIME_S = 12.0


def choose(memory_wait_s=0.5, waited_s=0.0, time_s=TIME_S, uniform=0.5):
    return placement.choose_hold_s(memory_wait_s, waited_s, time_s, uniform)


def test_request_is_sent_at_once_while_there_is_memory():
    assert choose(memory_wait_s=0.0) == 0.0


def test_request_is_held_for_a_moment_while_there_is_none():
    assert 0.05 <= choose(uniform=0.0) < choose(uniform=1.0) <= 0.15


@pytest.mark.parametrize(("waited_s", "is_held"), [(3.0, True), (3.6, False)])
def test_request_is_sent_when_a_part_of_its_time_is_over(waited_s, is_held):
    assert (choose(waited_s=waited_s) > 0.0) is is_held


def test_request_with_little_time_is_not_held():
    assert choose(time_s=0.1) == 0.0
