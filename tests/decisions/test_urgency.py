"""Overload played on one engine, with and without a lower priority of late requests."""

import heapq
import random

import pytest

from sycamorespoke import decisions

TARGET_S = 0.6
DEADLINE_S = 2.5
READ_S = 0.02


def play(ranks_late, load, hosts=1, sees_overdue=True, seconds=20.0, seed=1):
    """Play one engine that serves by urgency; return the shares in time and lost."""
    generator = random.Random(seed)
    waiting, begun, results = [], [], []
    estimates = [decisions.WaitEstimate() for _ in range(hosts)]
    expected = [{} for _ in range(hosts)]
    now, free_s, number = 0.0, 0.0, 0
    while now < seconds:
        now += generator.expovariate(load / READ_S)
        while waiting and free_s <= now:
            urgency, each, sent_s, host = heapq.heappop(waiting)
            begin_s = max(free_s, sent_s)
            if begin_s - sent_s > DEADLINE_S:
                results.append("lost")
                expected[host].pop(each, None)
                continue
            free_s = begin_s + READ_S
            is_in_time = free_s - sent_s <= TARGET_S
            results.append("in time" if is_in_time else "late")
            if urgency == 0:
                heapq.heappush(begun, (free_s, host, each))
        while begun and begun[0][0] <= now:
            event_s, host, each = heapq.heappop(begun)
            wait_s = event_s - expected[host].pop(each)
            estimates[host] = estimates[host].observe(wait_s, event_s)
        host = generator.randrange(hosts)
        urgency = 0
        if ranks_late:
            overdue = expected[host].values() if sees_overdue else ()
            wait_s = estimates[host].read(now, overdue)
            urgency = decisions.choose_urgency(0, TARGET_S, 0.0, wait_s, READ_S)
        number += 1
        if urgency == 0:
            expected[host][number] = now + READ_S
        heapq.heappush(waiting, (urgency, number, now, host))
    total = len(results)
    return results.count("in time") / total, results.count("lost") / total


def test_under_overload_more_callers_are_answered_in_time():
    in_order, _ = play(ranks_late=False, load=1.3)
    ranked, _ = play(ranks_late=True, load=1.3)
    assert in_order < 0.3
    assert ranked > 0.55


@pytest.mark.parametrize("hosts", [7, 30])
def test_many_hosts_see_an_overload_by_what_is_overdue(hosts):
    by_events, _ = play(True, 1.3, hosts, sees_overdue=False)
    by_overdue, _ = play(True, 1.3, hosts)
    assert by_overdue > by_events + 0.1


def test_without_overload_nobody_has_a_lower_priority():
    assert play(ranks_late=True, load=0.7) == play(ranks_late=False, load=0.7)


def test_after_a_burst_every_caller_is_in_time_again():
    estimate = decisions.WaitEstimate()
    for _ in range(50):
        estimate = estimate.observe(2.0, 10.0)
    assert decisions.choose_urgency(0, TARGET_S, 0.0, estimate.read(10.0), 0.0) == 5
    assert decisions.choose_urgency(0, TARGET_S, 0.0, estimate.read(11.0), 0.0) == 0
