"""Overload played on one engine, with and without a lower priority of late requests."""

import heapq
import random

from sycamorespoke import decisions

TARGET_S = 0.6
DEADLINE_S = 2.5
READ_S = 0.02


def play(stands_back, load, seconds=20.0, seed=1):
    """Play one engine that serves by urgency; return the shares in time and late."""
    generator = random.Random(seed)
    waiting, results = [], []
    estimate = decisions.WaitEstimate()
    now, free_s, number = 0.0, 0.0, 0
    while now < seconds:
        now += generator.expovariate(load / READ_S)
        while waiting and free_s <= now:
            urgency, _, sent_s = heapq.heappop(waiting)
            begin_s = max(free_s, sent_s)
            if begin_s - sent_s > DEADLINE_S:
                results.append("lost")
                continue
            free_s = begin_s + READ_S
            wait_s = free_s - sent_s
            results.append("in time" if wait_s <= TARGET_S else "late")
            if urgency == 0:
                estimate = estimate.observe(wait_s - READ_S, free_s)
        urgency = 0
        if stands_back:
            wait_s = estimate.read(now)
            urgency = decisions.choose_urgency(0, TARGET_S, 0.0, wait_s, READ_S)
        number += 1
        heapq.heappush(waiting, (urgency, number, now))
    total = len(results)
    return results.count("in time") / total, results.count("lost") / total


def test_under_overload_more_callers_are_answered_in_time():
    in_order, _ = play(stands_back=False, load=1.3)
    standing_back, _ = play(stands_back=True, load=1.3)
    assert in_order < 0.3
    assert standing_back > 0.55


def test_without_overload_nobody_stands_back():
    assert play(stands_back=True, load=0.7) == play(stands_back=False, load=0.7)


def test_after_a_burst_every_caller_is_in_time_again():
    estimate = decisions.WaitEstimate()
    for _ in range(50):
        estimate = estimate.observe(2.0, 10.0)
    assert decisions.choose_urgency(0, TARGET_S, 0.0, estimate.read(10.0), 0.0) == 5
    assert decisions.choose_urgency(0, TARGET_S, 0.0, estimate.read(11.0), 0.0) == 0
