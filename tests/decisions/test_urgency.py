"""Simulated overload of an engine, with and without lower priority of late requests."""

import heapq
import random

import pytest

from sycamorespoke import decisions

TARGET_S = 0.6
DEADLINE_S = 2.5
PREFILL_S = 0.02


def simulate(lowers_late, load, hosts=1, uses_overdue=True, seconds=20.0, seed=1):
    """Simulate an engine that serves requests in order of urgency.

    Returns
    -------
    tuple of (float, float)
        Shares of the requests that were answered in time and that were lost.
    """
    generator = random.Random(seed)
    waiting, started, results = [], [], []
    estimates = [decisions.WaitEstimate() for _ in range(hosts)]
    expected_s = [{} for _ in range(hosts)]
    now, free_s, number = 0.0, 0.0, 0
    while now < seconds:
        now += generator.expovariate(load / PREFILL_S)
        while waiting and free_s <= now:
            urgency, request, sent_s, host = heapq.heappop(waiting)
            start_s = max(free_s, sent_s)
            if start_s - sent_s > DEADLINE_S:
                results.append("lost")
                expected_s[host].pop(request, None)
                continue
            free_s = start_s + PREFILL_S
            is_in_time = free_s - sent_s <= TARGET_S
            results.append("in time" if is_in_time else "late")
            if urgency == 0:
                heapq.heappush(started, (free_s, host, request))
        while started and started[0][0] <= now:
            event_s, host, request = heapq.heappop(started)
            wait_s = event_s - expected_s[host].pop(request)
            estimates[host] = estimates[host].observe(wait_s, event_s)
        host = generator.randrange(hosts)
        urgency = 0
        if lowers_late:
            pending_s = expected_s[host].values() if uses_overdue else ()
            wait_s = estimates[host].read(now, pending_s)
            urgency = decisions.choose_urgency(0, TARGET_S, 0.0, wait_s, PREFILL_S)
        number += 1
        if urgency == 0:
            expected_s[host][number] = now + PREFILL_S
        heapq.heappush(waiting, (urgency, number, now, host))
    total = len(results)
    return results.count("in time") / total, results.count("lost") / total


def test_overload_with_lower_priority_answers_more_requests_in_time():
    by_arrival, _ = simulate(lowers_late=False, load=1.3)
    by_urgency, _ = simulate(lowers_late=True, load=1.3)
    assert by_arrival < 0.3
    assert by_urgency > 0.55


@pytest.mark.parametrize("hosts", [7, 30])
def test_hosts_with_few_requests_detect_overload_by_overdue_events(hosts):
    by_events, _ = simulate(True, 1.3, hosts, uses_overdue=False)
    by_overdue, _ = simulate(True, 1.3, hosts)
    assert by_overdue > by_events + 0.1


def test_priority_is_unchanged_without_overload():
    assert simulate(lowers_late=True, load=0.7) == simulate(lowers_late=False, load=0.7)


def test_estimate_decays_within_a_second_after_a_burst():
    estimate = decisions.WaitEstimate()
    for _ in range(50):
        estimate = estimate.observe(2.0, 10.0)
    assert decisions.choose_urgency(0, TARGET_S, 0.0, estimate.read(10.0), 0.0) == 5
    assert decisions.choose_urgency(0, TARGET_S, 0.0, estimate.read(11.0), 0.0) == 0


@pytest.mark.parametrize("account_priority", [None, 0, 1, 2])
def test_urgent_route_goes_first_among_accounts_of_one_priority(account_priority):
    urgent, other = (
        decisions.choose_shared_urgency(priority, account_priority, is_late=False)
        for priority in (0, 2)
    )
    assert urgent < other


def test_priority_of_the_account_goes_before_that_of_the_route():
    important = decisions.choose_shared_urgency(2, 0, is_late=False)
    ordinary = decisions.choose_shared_urgency(0, 1, is_late=False)
    assert important < ordinary


def test_late_request_waits_with_the_least_urgent_and_not_behind_them():
    late = decisions.choose_shared_urgency(0, 1, is_late=True)
    assert late == decisions.choose_shared_urgency(2, 1, is_late=False)


@pytest.mark.parametrize("priority", [-3, 0, 7, 100])
def test_urgency_is_in_range(priority):
    for account_priority in (None, -1, 0, 9):
        for is_late in (False, True):
            urgency = decisions.choose_shared_urgency(
                priority, account_priority, is_late
            )
            assert 0 <= urgency <= 9
