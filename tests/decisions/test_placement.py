"""Placing, leaving out, cold upstreams: each decision under the load it is for."""

import collections
import random

import hypothesis
from hypothesis import strategies

from sycamorespoke import decisions

BOUND = 1.3
SLACK = 2.0


def candidates(loads):
    return [
        decisions.PlacementCandidate(name, load) for name, load in sorted(loads.items())
    ]


def test_prompts_that_come_back_find_their_upstream_on_every_host():
    loads = dict.fromkeys("abcde", 0.0)
    chosen = [
        [
            decisions.place_by_key(str(n), candidates(loads), 1.0, BOUND, SLACK).name
            for n in range(200)
        ]
        for _ in range(3)
    ]
    assert chosen[0] == chosen[1] == chosen[2]
    assert min(collections.Counter(chosen[0]).values()) > 20


def test_a_hot_prompt_overflows_before_its_upstream_is_far_ahead():
    loads = dict.fromkeys("abcde", 0.0)
    for _ in range(100):
        chosen = decisions.place_by_key("hot", candidates(loads), 1.0, BOUND, SLACK)
        loads[chosen.name] += 1.0
    assert max(loads.values()) <= BOUND * 100 / 5 + SLACK


@hypothesis.given(
    strategies.dictionaries(
        strategies.text("abcdef", min_size=1, max_size=3),
        strategies.floats(0, 100),
        min_size=1,
    ),
    strategies.text(max_size=5),
)
@hypothesis.settings(derandomize=True, deadline=None)
def test_some_upstream_is_always_chosen(loads, key):
    chosen = decisions.place_by_key(key, candidates(loads), 1.0, BOUND, SLACK)
    assert chosen.name in loads


def test_the_near_upstream_is_taken_until_it_is_clearly_busier():
    near = decisions.PlacementCandidate("near", 1.0, 6.0, is_near=True)
    far = decisions.PlacementCandidate("far", 0.0, 6.0, is_near=False)
    pick = random.Random(1).choice
    assert decisions.place_by_load([near, far], 0.25, pick).name == "near"
    busier = decisions.PlacementCandidate("near", 3.0, 6.0, is_near=True)
    assert decisions.place_by_load([busier, far], 0.25, pick).name == "far"


def play_failures(rate, count=400, seed=3):
    generator = random.Random(seed)
    record, now, left_out = decisions.FailureHistory(), 0.0, 0
    for _ in range(count):
        now += 0.05
        if record.is_ejected(now):
            left_out += 1
        elif generator.random() < rate:
            record = decisions.record_failure(record, now)
        else:
            record = decisions.record_success(record)
    return left_out / count


def test_an_upstream_that_fails_much_is_left_out_most_of_the_time():
    assert play_failures(0.6) > 0.6
    assert play_failures(0.02) < 0.1


def test_if_most_upstreams_fail_none_is_left_out():
    failing = decisions.record_failure(
        decisions.record_failure(decisions.FailureHistory(), 0.0), 0.0
    )
    sound = decisions.FailureHistory()
    select = decisions.select_not_ejected
    assert select({"a": failing, "b": sound, "c": sound}, 0.1) == ["b", "c"]
    assert select({"a": failing, "b": failing, "c": sound}, 0.1) == ["a", "b", "c"]


@hypothesis.given(
    strategies.integers(1, 400), strategies.integers(1, 60), strategies.integers(0, 20)
)
@hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
def test_all_hosts_together_keep_to_the_rate_of_a_cold_upstream(hosts, rate, slack):
    cold = decisions.ColdRateLimit(float(rate), 1.5, float(slack))
    names = [f"h{n}" for n in range(hosts)]
    shares = [decisions.compute_cold_share(cold, name, names, "u") for name in names]
    in_one_second = sum(share.requests_per_s + share.burst for share in shares)
    assert in_one_second <= max(1.5 * rate + slack, 0.9 * rate + 1.0) + 1e-9


def test_a_host_that_is_not_registered_takes_part_as_if_it_were():
    cold = decisions.ColdRateLimit(20.0, 1.5, 5.0)
    share = decisions.compute_cold_share(cold, "new", ["a", "b"], "u")
    assert share.requests_per_s <= 20.0 / 3
