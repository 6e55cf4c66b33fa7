import itertools

import attrs
import pytest

from sycamorespoke import load

TEXT = """\
name: demo
seed: 7
duration_s: 60
accounts:
  - name: clubs
    api_key: key
    threads:
      - model: scribe
        rate: 2
        turns: 4
        gap_s: {kind: lognormal, median: 8, sigma: 1, low: 2, high: 40}
    bookings: [{path: /bookings, rate: 5}]
    lookups: [{path: "/bookings/{n}", rate: 5}]
bursts: [{at_s: 30, duration_s: 10, factor: 4}]
"""


@pytest.fixture
def workload():
    value, _ = load.read_workload(TEXT, "demo.yaml")
    return value


def test_make_schedule_is_deterministic(workload):
    assert load.make_schedule(workload) == load.make_schedule(workload)


def test_make_schedule_differs_for_other_seed(workload):
    other = attrs.evolve(workload, seed=8)
    assert load.make_schedule(workload) != load.make_schedule(other)


def test_make_schedule_is_ordered_with_unique_keys(workload):
    arrivals = load.make_schedule(workload)
    times = [arrival.at_s for arrival in arrivals]
    assert times == sorted(times)
    assert max(times) < workload.duration_s
    assert len({arrival.key for arrival in arrivals}) == len(arrivals)


def test_make_schedule_prompts_grow_with_each_turn(workload):
    by_thread = {}
    for arrival in load.make_schedule(workload):
        if arrival.thread:
            by_thread.setdefault(arrival.thread, []).append(arrival)
    turns = [pair for t in by_thread.values() for pair in itertools.pairwise(t)]
    assert turns
    for earlier, later in turns:
        assert 2 <= later.at_s - earlier.at_s <= 40.001
        assert later.prompt_tokens > earlier.prompt_tokens


def test_make_schedule_burst_multiplies_rates(workload):
    bookings = [a.at_s for a in load.make_schedule(workload) if a.path == "/bookings"]
    in_burst = sum(30 <= at_s < 40 for at_s in bookings)
    before = sum(20 <= at_s < 30 for at_s in bookings)
    assert in_burst > 2 * before


def test_make_prompt_length_and_prefix():
    longer = load.make_prompt("thread", 3000)
    assert len(longer) == 12000
    assert longer.startswith(load.make_prompt("thread", 2000))
