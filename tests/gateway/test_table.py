"""States of upstreams and estimated waits in the table of upstreams."""

import attrs
import pytest

from sycamorespoke.gateway import _model, _table, _upstream_counts, _views

NOW = 100.0
UPSTREAM = _model.Upstream(
    id="i-1",
    started_ms=1,
    service="s",
    address="10.0.0.1:80",
    data_centre="dc-1",
    slots=4,
    is_draining=False,
    seen_s=NOW,
)


def count_state(upstream, table=None, **view_fields):
    view = _views.View(upstreams_by_id={upstream.id: upstream}, **view_fields)
    counts = _upstream_counts.count_states(table or _table.UpstreamTable(), view, NOW)
    assert {service for service, _ in counts} == {"s"}
    assert {state for _, state in counts} == set(_upstream_counts.STATES)
    assert sum(counts.values()) == 1
    return next(state for (_, state), number in counts.items() if number)


@pytest.mark.parametrize(
    ("fields", "state"),
    [
        ({}, _upstream_counts.READY),
        ({"is_draining": True}, _upstream_counts.DRAINING),
        ({"cold_s": 3.0}, _upstream_counts.COLD),
        ({"cold_s": 3.0, "is_draining": True}, _upstream_counts.DRAINING),
    ],
)
def test_registered_state_is_counted(fields, state):
    assert count_state(attrs.evolve(UPSTREAM, **fields)) == state


def test_upstream_that_loads_weights_counts_as_loading():
    loading = frozenset({UPSTREAM.boot_id})
    assert (
        count_state(UPSTREAM, loading=loading, loading_seen_s=NOW)
        == _upstream_counts.LOADING
    )


def test_observed_state_is_counted():
    table = _table.UpstreamTable()
    table.record_full(UPSTREAM, NOW + 1.0)
    assert count_state(UPSTREAM, table) == _upstream_counts.FULL
    while not table.record_failure(UPSTREAM, 1.0, NOW):
        pass
    assert count_state(UPSTREAM, table) == _upstream_counts.EJECTED


def test_nothing_is_counted_before_the_upstreams_are_known():
    table = _table.UpstreamTable()
    assert _upstream_counts.count_states(table, _views.View(), NOW) == {}


def test_overdue_first_event_raises_the_wait_until_the_request_ends():
    table = _table.UpstreamTable()
    table.expect_first_event(UPSTREAM, "r1", NOW)
    assert table.estimate_wait_s(UPSTREAM, NOW + 0.7) == pytest.approx(0.7)
    table.discard_expected_event(UPSTREAM, "r1")
    assert table.estimate_wait_s(UPSTREAM, NOW + 0.7) == 0.0


def test_first_event_updates_the_wait_of_expected_requests_only():
    table = _table.UpstreamTable()
    table.expect_first_event(UPSTREAM, "r1", NOW)
    table.record_first_event(UPSTREAM, "r1", NOW + 1.0)
    table.record_first_event(UPSTREAM, "never expected", NOW + 9.0)
    assert 0.0 < table.estimate_wait_s(UPSTREAM, NOW + 1.0) < 1.0


def test_outcomes_at_upstreams_that_are_gone_are_not_kept_in_memory():
    # Up to 16 hosts nobody collects the outcomes, and each start has a boot ID.
    table = _table.UpstreamTable()
    for number in range(50):
        upstream = _model.Upstream(f"i-{number}", 1, "s", "127.0.0.1:9", "dc-1")
        table.record_success(upstream, float(number))
        table.retain({upstream.boot_id}, float(number))
    assert list(table.outcomes.drain(False)) == [upstream.boot_id]
