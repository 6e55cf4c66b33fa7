"""Which connections are closed when places, bytes or patience run out."""

import hypothesis
import pytest
from hypothesis import strategies

from sycamorespoke.serving import _eviction

NOW = 1_000.0
IDLE_S = 10.0
Stage = _eviction.Stage


def make_connection(key, stage, still_s, held_bytes=100, head_s=None):
    head_since_s = None if head_s is None else NOW - head_s
    return _eviction.Connection(key, stage, NOW - still_s, held_bytes, head_since_s)


def choose_for_places(connections, count):
    return _eviction.choose_for_places(connections, NOW, IDLE_S, count)


def choose_for_bytes(connections, missing_bytes):
    return _eviction.choose_for_bytes(connections, NOW, IDLE_S, missing_bytes)


def test_places_are_taken_first_from_those_that_need_them_least():
    connections = [
        make_connection(1, Stage.SLOW, 0.1),
        make_connection(2, Stage.IDLE, 9.0),
        make_connection(3, Stage.SLOW, 3.0),
        make_connection(4, Stage.IDLE, 11.0),
        make_connection(5, Stage.STREAMING, 6.0),
        make_connection(6, Stage.NEW, 40.0),
        make_connection(7, Stage.RUNNING, 500.0),
        make_connection(8, Stage.STREAMING, 4.0),
    ]
    assert choose_for_places(connections, 10) == [4, 6, 5, 3, 2, 1]
    assert choose_for_places(connections, 2) == [4, 6]


def test_new_connection_goes_itself_where_all_others_are_running():
    connections = [make_connection(key, Stage.RUNNING, 30.0) for key in range(5)]
    newest = make_connection(9, Stage.SLOW, 0.0)
    assert choose_for_places([*connections, newest], 1) == [9]


def test_bytes_are_taken_from_the_oldest_without_progress_until_there_are_enough():
    connections = [
        make_connection(1, Stage.SLOW, 3.0, 400),
        make_connection(2, Stage.SLOW, 9.0, 300),
        make_connection(3, Stage.SLOW, 0.5, 1_000),
    ]
    assert choose_for_bytes(connections, 300) == [2]
    assert choose_for_bytes(connections, 600) == [2, 1]
    assert choose_for_bytes(connections, 1_500) == [2, 1, 3]


def test_nobody_is_closed_where_that_would_not_make_enough_room():
    connections = [make_connection(1, Stage.SLOW, 3.0, 400)]
    assert choose_for_bytes(connections, 401) == []


def test_bytes_of_callers_that_move_or_may_be_idle_stay():
    connections = [
        make_connection(1, Stage.SLOW, 0.2, 400),
        make_connection(2, Stage.IDLE, 9.0, 400),
        make_connection(3, Stage.RUNNING, 90.0, 400),
        make_connection(4, Stage.STREAMING, 4.0, 400),
    ]
    assert choose_for_bytes(connections, 1) == []


@pytest.mark.parametrize(
    ("stage", "still_s", "head_s", "reason"),
    [
        (Stage.IDLE, 39.0, None, None),
        (Stage.IDLE, 41.0, None, _eviction.CloseReason.IDLE),
        (Stage.NEW, 39.0, None, None),
        (Stage.NEW, 41.0, None, _eviction.CloseReason.IDLE),
        (Stage.SLOW, 59.0, 20.0, None),
        (Stage.SLOW, 22.0, 22.0, _eviction.CloseReason.HEAD_TIMEOUT),
        (Stage.SLOW, 61.0, None, _eviction.CloseReason.SLOW),
        (Stage.STREAMING, 59.0, None, None),
        (Stage.STREAMING, 61.0, None, _eviction.CloseReason.SLOW),
        (Stage.RUNNING, 1e6, None, None),
    ],
)
def test_connection_is_overdue_beyond_its_limit_and_not_before(
    stage, still_s, head_s, reason
):
    connection = make_connection(1, stage, still_s, head_s=head_s)
    found = _eviction.find_overdue(connection, NOW, header_s=10.0, idle_timeout_s=40.0)
    assert found is reason


CONNECTIONS = strategies.lists(
    strategies.builds(
        make_connection,
        strategies.integers(),
        strategies.sampled_from(Stage),
        strategies.floats(0.0, 200.0),
        strategies.integers(0, 1_000),
    ),
    unique_by=lambda each: each.key,
)


@hypothesis.given(CONNECTIONS, strategies.integers(1, 20), strategies.integers(1, 5000))
def test_running_requests_are_never_closed(connections, count, missing_bytes):
    stage_by_key = {each.key: each.stage for each in connections}
    chosen = choose_for_places(connections, count)
    assert len(chosen) <= count
    chosen += choose_for_bytes(connections, missing_bytes)
    assert Stage.RUNNING not in {stage_by_key[key] for key in chosen}
