"""Short runs of the soak test, and tests of its plans and checks."""

import itertools
import json
import socket

import attrs
import pytest

from sycamorespoke import decisions
from tests.soak import (
    callers,
    faults,
    guarantees,
    isolation_guarantees,
    proxy,
    run,
    run_log,
    shutdown_guarantees,
    upstreams,
    weight_guarantees,
)

SECONDS = 5.0
# Seeds with overlapping faults. A seed that fails is added here with its cause.
SEEDS = (1, 2)
OUTCOME = callers.Outcome(
    "c1-1",
    callers.RequestKind.UNSAFE,
    "h0",
    sent_s=1.0,
    ended_s=2.0,
    status=200,
    has_stamp=True,
    body=upstreams.make_body("c1-1"),
    is_complete=True,
)
STREAM = attrs.evolve(
    OUTCOME, kind=callers.RequestKind.ONCE, body=upstreams.make_stream("c1-1")
)
RUN = run_log.Run("c1-1", "i-1-1", 1.5)


@pytest.mark.processes
@pytest.mark.parametrize("seed", SEEDS)
def test_guarantees_hold_under_faults(seed):
    verdict = run.run_seed(seed, SECONDS)
    assert verdict.violations == []
    assert verdict.requests > 0


def test_equal_seeds_give_equal_plans():
    plans = [faults.plan_faults(7, 60.0, 3, 4) for _ in range(2)]
    assert plans[0] == plans[1]
    assert {each.fault for each in plans[0]} == set(faults.Fault)
    assert all(each.ends_s <= 60.0 for each in plans[0])


def test_planned_faults_overlap():
    planned = faults.plan_faults(7, 60.0, 3, 4)
    pairs = itertools.pairwise(planned)
    assert any(after.at_s < before.ends_s for before, after in pairs)


def test_correct_outcomes_violate_no_guarantee():
    assert guarantees.check([OUTCOME], [RUN]) == []
    assert guarantees.check([STREAM], [RUN]) == []


@pytest.mark.parametrize(
    ("outcome", "runs"),
    [
        (OUTCOME, [RUN, RUN]),
        (attrs.evolve(OUTCOME, status=503, has_stamp=False, body=b""), [RUN]),
        (attrs.evolve(OUTCOME, status=401, has_stamp=False, body=b""), []),
        (attrs.evolve(OUTCOME, has_stamp=False), [RUN]),
        (attrs.evolve(OUTCOME, body=upstreams.make_body("c1-2")), [RUN]),
        (attrs.evolve(STREAM, body=upstreams.encode_event("c1-1", 1, "v1")), [RUN]),
        (
            attrs.evolve(
                STREAM, body=upstreams.encode_event("c1-1", 2, "v1"), is_complete=False
            ),
            [RUN],
        ),
        (attrs.evolve(OUTCOME, request_id="c1-9", body=b""), [RUN]),
    ],
)
def test_violated_guarantee_is_reported(outcome, runs):
    assert guarantees.check([outcome], runs)


def test_less_than_95_percent_served_after_faults_is_reported():
    failed = attrs.evolve(OUTCOME, status=None, is_complete=False)
    assert guarantees.check_recovery([OUTCOME] * 8 + [failed] * 2)
    assert guarantees.check_recovery([OUTCOME] * 19 + [failed]) == []


def test_hosts_not_ready_after_faults_are_reported():
    assert guarantees.check_recovery([])


def test_reset_by_the_proxy_is_no_regular_end_of_the_connection():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        loopback = proxy.LoopbackProxy(f"127.0.0.1:{listener.getsockname()[1]}")
        port = int(loopback.address.rpartition(":")[2])
        with socket.create_connection(("127.0.0.1", port), 5.0) as caller:
            upstream, _ = listener.accept()
            upstream.sendall(b"part")
            assert caller.recv(4) == b"part"
            loopback.set_mode(proxy.Mode.RESET)
            with pytest.raises(ConnectionResetError):
                caller.recv(1)
        upstream.close()
        loopback.close()


def test_request_at_an_upstream_that_told_its_host_before_is_reported():
    told = attrs.evolve(OUTCOME, says_leaving=True)
    later = attrs.evolve(OUTCOME, request_id="c1-2", sent_s=4.1, ended_s=4.2)
    said = attrs.evolve(RUN, says_leaving=True)
    runs = [said, attrs.evolve(RUN, request_id="c1-2", at_s=4.1)]
    assert len(guarantees.check_leaving([told, later], runs, {})) == 1
    # In time, at another host, at another start, and after a signal of the host.
    for outcomes, allowed_runs, signalled_s_by_host in (
        ([told, attrs.evolve(later, sent_s=3.9)], runs, {}),
        ([told, attrs.evolve(later, host="h1")], runs, {}),
        ([told, later], [said, attrs.evolve(runs[1], upstream="i-1-2")], {}),
        ([told, later], runs, {"h0": [3.0]}),
    ):
        violations = guarantees.check_leaving(
            outcomes, allowed_runs, signalled_s_by_host
        )
        assert violations == []


def test_stream_resumed_elsewhere_says_nothing_of_the_second_upstream():
    told = attrs.evolve(STREAM, says_leaving=True)
    later = attrs.evolve(OUTCOME, request_id="c1-2", sent_s=4.1, ended_s=4.2)
    runs = [
        attrs.evolve(RUN, says_leaving=True),
        attrs.evolve(RUN, upstream="i-2-1"),
        attrs.evolve(RUN, request_id="c1-2", upstream="i-2-1", at_s=4.1),
    ]
    assert guarantees.check_leaving([told, later], runs, {}) == []
    at_first = attrs.evolve(runs[2], upstream="i-1-1")
    assert guarantees.check_leaving([told, later], [*runs[:2], at_first], {})


def test_request_that_goes_on_ending_upstreams_is_reported():
    assert guarantees.check_fatal([1.0, 1.1, 1.2, 4.3, 4.4, 4.5]) == []
    assert guarantees.check_fatal([1.0, 1.1, 1.2, 4.3, 4.4, 4.5, 4.6])
    assert guarantees.check_fatal([1.0, 1.1])


def test_requests_within_the_time_that_a_refusal_names_are_reported():
    requests = [attrs.evolve(OUTCOME, request_id=f"c1-{n}") for n in range(4)]
    refusal = run_log.Refusal("c1-0", "i-1-1", 1.5)
    runs = [attrs.evolve(RUN, request_id=f"c1-{n}", at_s=2.1) for n in range(1, 4)]
    assert len(guarantees.check_backoff(requests, runs, [refusal], {}, {})) == 1
    # Two are tolerated; before and after the time, at another host or start, after a
    # signal of the host or beside a fault of the link.
    early = [attrs.evolve(run, at_s=1.9) for run in runs]
    late = [attrs.evolve(run, at_s=5.6) for run in runs]
    elsewhere = [attrs.evolve(run, upstream="i-1-2") for run in runs]
    other_host = [requests[0]] + [
        attrs.evolve(each, host="h1") for each in requests[1:]
    ]
    for outcomes, allowed_runs, signalled_s_by_host, link_faults_by_id in (
        (requests, runs[1:], {}, {}),
        (requests, early, {}, {}),
        (requests, late, {}, {}),
        (requests, elsewhere, {}, {}),
        (other_host, runs, {}, {}),
        (requests, runs, {"h0": [2.0]}, {}),
        (requests, runs, {}, {"i-1-1": [[0.5, 1.0]]}),
    ):
        violations = guarantees.check_backoff(
            outcomes, allowed_runs, [refusal], signalled_s_by_host, link_faults_by_id
        )
        assert violations == []


def test_stream_with_events_of_two_software_versions_is_reported():
    begun = attrs.evolve(
        STREAM, body=upstreams.encode_event("c1-1", 1, "v1"), is_complete=False
    )
    taken_up = {"request_id": "c1-2", "resumes": "c1-1", "last_event_id": 1}
    same, other = (
        attrs.evolve(begun, body=upstreams.make_stream("c1-2", 2, version), **taken_up)
        for version in ("v1", "v2")
    )
    assert guarantees.check_versions([begun, same]) == []
    assert len(guarantees.check_versions([begun, other])) == 1
    assert guarantees.check_versions([begun, attrs.evolve(other, resumes="")]) == []
    complete = attrs.evolve(same, is_complete=True)
    run_of_it = attrs.evolve(RUN, request_id="c1-2")
    assert guarantees.check([complete], [run_of_it]) == []
    within = begun.body + upstreams.encode_event("c1-1", 2, "v2")
    assert guarantees.check_versions([attrs.evolve(begun, body=within)])


def test_what_upstreams_say_binds_the_host_that_a_request_was_forwarded_to():
    forwarded = attrs.evolve(OUTCOME, request_id="c1-2")
    named = guarantees.name_senders([OUTCOME, forwarded], {"c1-2": "h2"})
    assert [each.host for each in named] == ["h0", "h2"]


def test_only_broken_streams_that_may_resume_are_taken_up():
    begun = attrs.evolve(
        STREAM,
        kind=callers.RequestKind.STREAM,
        body=upstreams.encode_event("c1-1", 1, "v1"),
        is_complete=False,
    )
    assert callers.may_take_up(begun)
    assert begun.received_event_id == 1
    assert not callers.may_take_up(attrs.evolve(begun, is_complete=True))
    assert not callers.may_take_up(attrs.evolve(begun, body=b"id: 1"))
    assert not callers.may_take_up(attrs.evolve(begun, kind=callers.RequestKind.ONCE))


def test_plans_begin_with_a_rollout_without_faults_of_the_store_or_links():
    assert run.plan(7, 5.0) == run.plan(7, 5.0)
    rollout = faults.plan_rollout(7, 13.0, 3)
    kinds = {each.fault for each in rollout}
    assert {faults.Fault.WEIGHT_VERSION, faults.Fault.ENGINE_ORDERS} <= kinds
    assert not any(kind.value.startswith("store") for kind in kinds)
    assert not any(kind.value.endswith(("link", "links")) for kind in kinds)


LATE_RUN = attrs.evolve(
    RUN, upstream="i-4-1", at_s=26.1, weight_version=1, arrived_s=25.0
)
ACKED_S_BY_VERSION = {1: 5.0, 2: 20.0, 3: 25.0}


def check_begin(run_on_weights, **disturbances):
    return weight_guarantees.check_begins(
        [OUTCOME],
        [run_on_weights],
        ACKED_S_BY_VERSION,
        weight_guarantees.Disturbances(**disturbances),
    )


def test_request_that_begins_on_older_weights_after_the_grace_period_is_reported():
    assert len(check_begin(LATE_RUN)) == 1
    assert check_begin(attrs.evolve(LATE_RUN, at_s=25.9)) == []
    assert check_begin(attrs.evolve(LATE_RUN, weight_version=2)) == []
    assert check_begin(attrs.evolve(LATE_RUN, weight_version=0)) == []


@pytest.mark.parametrize(
    ("excused", "reported"),
    [
        # The host was in touch when it sent the request, and its links until it began.
        (
            {"processes_s_by_host": {"h0": [22.1]}},
            {"processes_s_by_host": {"h0": [21.9, 25.1]}},
        ),
        ({"links_s_by_host": {"h0": [25.5]}}, {"links_s_by_host": {"h1": [25.5]}}),
        ({"links_s_by_host": {"h0": [22.1]}}, {"links_s_by_host": {"h0": [21.9]}}),
        # The store was stable for the length of the grace period.
        ({"store_s": [17.2]}, {"store_s": [17.0, 26.2]}),
        (
            {"link_faults_by_id": {"i-4-1": [[24.0, 25.1]]}},
            {"link_faults_by_id": {"i-4-1": [[24.0, 24.9]], "i-5-1": [[24.0, 27.0]]}},
        ),
    ],
)
def test_only_disturbances_in_the_stability_window_excuse_older_weights(
    excused, reported
):
    assert check_begin(LATE_RUN, **excused) == []
    assert len(check_begin(LATE_RUN, **reported)) == 1


def test_engine_left_with_older_weights_is_reported():
    assert weight_guarantees.check_engines({"i-4-1": 3, "i-5-1": 3}, 3) == []
    assert len(weight_guarantees.check_engines({"i-4-1": 3, "i-5-1": 2}, 3)) == 1


def test_scope_shared_with_an_isolated_account_is_reported():
    excluded = decisions.compute_exclusion({"u"})
    for account, scope, request_id, is_isolated, is_allowed in (
        ("t", "v1 m", "c1-1", True, True),
        ("u", "v1 m", "c1-1", True, True),
        ("t", f"v1-{excluded} m", "c1-1", False, True),
        ("u", f"v1-{excluded} m", "c1-1", True, False),
        ("u", "v1 m u", "c1-1", True, True),
        ("t", "v1 m u", "c1-1", True, False),
        # Once all hosts have the last configuration.
        ("t", "v1 m", "after-1", True, False),
        ("t", f"v1-{excluded} m", "after-1", True, True),
        ("t", f"v1-{excluded} m", "after-1", False, False),
    ):
        run_in_scope = attrs.evolve(
            RUN, request_id=request_id, account=account, cache_scope=scope
        )
        found = isolation_guarantees.check_scopes([run_in_scope], "u", is_isolated)
        assert (not found) is is_allowed, (account, scope, request_id)


def test_process_that_uses_more_memory_than_its_host_has_is_reported():
    assert guarantees.check_memory({"h0": [149.0], "h1": []}, 150) == []
    assert len(guarantees.check_memory({"h0": [149.0, 151.0]}, 150)) == 1


def make_log(sent_s, *, ended=1, answered=1):
    """Return the lines of a process that got SIGTERM at second 10, ended at 17."""

    def make(at_s, event, **fields):
        at = f"2026-12-05T18:58:{at_s:02}+00:00"
        return json.dumps({"at": at, "event": event, **fields})

    lines = [make(10, "shutdown started")]
    if ended:
        lines.append(make(17, "requests ended by shutdown", requests=ended))
    duration_ms = (17 - sent_s) * 1000
    lines += [make(17, "call refused", duration_ms=duration_ms)] * answered
    return "\n".join(lines)


@pytest.mark.parametrize(
    ("status", "log", "is_allowed"),
    [
        (0, "", True),
        (3, make_log(13.0), True),
        (3, make_log(13.1), False),
        (3, make_log(12.0, ended=2), False),
        (3, make_log(12.0, ended=0), False),
        (3, "", False),
        (1, make_log(12.0), False),
        (None, make_log(12.0), False),
    ],
)
def test_only_requests_sent_early_excuse_a_process_that_has_not_drained(
    status, log, is_allowed
):
    found = shutdown_guarantees.check_exit("h0", status, (0, -15, -9), log)
    assert (not found) is is_allowed
