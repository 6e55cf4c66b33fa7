"""Preparations for announced events."""

import collections

import hypothesis
import pytest
from hypothesis import strategies as st

from sycamorespoke import decisions, domain

START_S = 1000.0
ESTIMATES = decisions.EventEstimates(load_s=0.5, request_duration_s=1.0, margin_s=10.0)
GROUP = domain.UpstreamGroup(
    "scribe",
    domain.UpstreamKind.MODEL,
    model="scribe",
    version="v2",
    limit=8,
    warm_up_s=5.0,
)
READY_S = START_S - ESTIMATES.margin_s - GROUP.warm_up_s


def make_event(rate):
    return domain.Event("race", "chat", START_S, rate)


def make_configuration(loads_at_once=2):
    return domain.Configuration(
        data_centres_by_name={
            name: domain.DataCentre(name, loads_at_once=loads_at_once)
            for name in ("seeb", "ruwi")
        },
        groups_by_name={"scribe": GROUP},
        routes_by_name={"chat": domain.Route("chat", "scribe", model="scribe")},
    )


def make_hosts(count, **states_by_name):
    hosts = {}
    for number in range(count):
        data_centre = ("seeb", "ruwi")[number % 2]
        name = f"{data_centre}-{number}"
        state = states_by_name.get(name.replace("-", "_"), domain.HostState.LIVE)
        hosts[name] = domain.Host(
            name, data_centre, domain.HostRole.UPSTREAM, "", group="scribe", state=state
        )
    return domain.HostList(1, hosts)


def make_report(version="v2", warm=True):
    return domain.LoadReport("b", 0, 0, version, warm, 0.0)


def plan(rate, hosts, reports=None, state=None, configuration=None):
    return decisions.plan_preparations(
        make_event(rate),
        configuration or make_configuration(),
        state or domain.ServiceState(),
        hosts,
        reports or {},
        ESTIMATES,
    )


@pytest.mark.parametrize(
    ("report", "kind", "latest_start_s"),
    [
        (make_report(), None, None),
        (make_report(warm=False), decisions.PreparationKind.WARM, READY_S),
        (make_report("v1"), decisions.PreparationKind.LOAD_AND_WARM, READY_S - 0.5),
        (None, decisions.PreparationKind.LOAD_AND_WARM, READY_S - 0.5),
    ],
)
def test_plan_preparations_depends_on_load_report(report, kind, latest_start_s):
    preparations = plan(1.0, make_hosts(1), {"seeb-0": report})
    found = [(each.kind, each.latest_start_s) for each in preparations]
    assert found == ([] if kind is None else [(kind, latest_start_s)])


def test_plan_preparations_selects_the_most_prepared_upstreams_first():
    reports = {
        "seeb-0": make_report("v1"),
        "ruwi-1": make_report(),
        "seeb-2": make_report(warm=False),
    }
    preparations = plan(16.0, make_hosts(3), reports)
    assert [each.upstream for each in preparations] == ["seeb-2"]


@pytest.mark.data_centre_out
@pytest.mark.upstream_leaving
def test_plan_preparations_skips_leaving_and_out_of_service():
    state = domain.ServiceState(1, frozenset({"ruwi"}), frozenset({"seeb-0"}))
    hosts = make_hosts(6, seeb_2=domain.HostState.LEAVING)
    preparations = plan(80.0, hosts, state=state)
    assert [each.upstream for each in preparations] == ["seeb-4"]


def test_plan_preparations_is_empty_for_unknown_route():
    assert plan(1.0, make_hosts(1), configuration=domain.Configuration()) == []


@hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
@hypothesis.given(
    count=st.integers(0, 20), rate=st.floats(0.1, 200), loads_at_once=st.integers(1, 4)
)
def test_plan_preparations_bounds_loads_per_data_centre(count, rate, loads_at_once):
    configuration = make_configuration(loads_at_once)
    preparations = plan(rate, make_hosts(count), configuration=configuration)
    loads_by_start = collections.Counter(
        (each.upstream.split("-")[0], each.latest_start_s) for each in preparations
    )
    assert all(number <= loads_at_once for number in loads_by_start.values())
    # The rounds of a data centre do not overlap, and the last one ends in time.
    for data_centre in ("seeb", "ruwi"):
        starts_s = sorted(
            start_s for name, start_s in loads_by_start if name == data_centre
        )
        ends_s = [start_s + ESTIMATES.load_s for start_s in starts_s]
        assert ends_s == pytest.approx([*starts_s[1:], READY_S][: len(ends_s)])


@pytest.mark.parametrize(
    ("now", "count"), [(READY_S - 0.6, 0), (READY_S - 0.5, 1), (START_S, 0)]
)
def test_select_due_between_latest_start_and_event(now, count):
    preparations = plan(1.0, make_hosts(1))
    assert len(decisions.select_due(preparations, make_event(1.0), now)) == count
