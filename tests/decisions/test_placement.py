"""Placement, ejection and cold upstreams under the load each is designed for."""

import collections
import random

import hypothesis
from hypothesis import strategies

from sycamorespoke import decisions

BOUND = 1.3
SLACK = 2.0


def make_candidates(loads):
    return [
        decisions.PlacementCandidate(name, load) for name, load in sorted(loads.items())
    ]


def test_key_is_placed_on_the_same_upstream_by_every_host():
    loads = dict.fromkeys("abcde", 0.0)
    chosen = [
        [
            decisions.place_by_key(
                str(n), make_candidates(loads), 1.0, BOUND, SLACK
            ).name
            for n in range(200)
        ]
        for _ in range(3)
    ]
    assert chosen[0] == chosen[1] == chosen[2]
    assert min(collections.Counter(chosen[0]).values()) > 20


def test_hot_key_spills_over_before_its_upstream_exceeds_the_bound():
    loads = dict.fromkeys("abcde", 0.0)
    for _ in range(100):
        chosen = decisions.place_by_key(
            "hot", make_candidates(loads), 1.0, BOUND, SLACK
        )
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
def test_place_by_key_always_chooses_an_upstream(loads, key):
    chosen = decisions.place_by_key(key, make_candidates(loads), 1.0, BOUND, SLACK)
    assert chosen.name in loads


def test_near_upstream_is_preferred_until_its_utilisation_is_clearly_higher():
    near = decisions.PlacementCandidate("near", 1.0, 6.0, is_near=True)
    far = decisions.PlacementCandidate("far", 0.0, 6.0, is_near=False)
    pick = random.Random(1).choice
    assert decisions.place_by_load([near, far], 0.25, pick).name == "near"
    busier = decisions.PlacementCandidate("near", 3.0, 6.0, is_near=True)
    assert decisions.place_by_load([busier, far], 0.25, pick).name == "far"


def simulate_failures(rate, count=400, seed=3):
    """Return the share of requests for which the upstream is ejected."""
    generator = random.Random(seed)
    history, now, ejected = decisions.FailureHistory(), 0.0, 0
    for _ in range(count):
        now += 0.05
        if history.is_ejected(now):
            ejected += 1
        elif generator.random() < rate:
            history = decisions.record_failure(history, now)
        else:
            history = decisions.record_success(history)
    return ejected / count


def test_upstream_with_many_failures_is_ejected_most_of_the_time():
    assert simulate_failures(0.6) > 0.6
    assert simulate_failures(0.02) < 0.1


def test_no_upstream_is_ejected_if_most_upstreams_fail():
    failing = decisions.record_failure(
        decisions.record_failure(decisions.FailureHistory(), 0.0), 0.0
    )
    healthy = decisions.FailureHistory()
    select = decisions.select_not_ejected
    assert select({"a": failing, "b": healthy, "c": healthy}, 0.1) == ["b", "c"]
    assert select({"a": failing, "b": failing, "c": healthy}, 0.1) == ["a", "b", "c"]


@hypothesis.given(
    strategies.integers(1, 400), strategies.integers(1, 60), strategies.integers(0, 20)
)
@hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
def test_all_hosts_together_keep_to_the_rate_limit_of_a_cold_upstream(
    hosts, rate, slack
):
    cold = decisions.ColdRateLimit(float(rate), 1.5, float(slack))
    names = [f"h{n}" for n in range(hosts)]
    shares = [decisions.compute_cold_share(cold, name, names, "u") for name in names]
    max_requests = sum(share.requests_per_s + share.burst for share in shares)
    assert max_requests <= max(1.5 * rate + slack, 0.9 * rate + 1.0) + 1e-9


def test_unregistered_host_gets_the_share_of_one_more_host():
    cold = decisions.ColdRateLimit(20.0, 1.5, 5.0)
    share = decisions.compute_cold_share(cold, "new", ["a", "b"], "u")
    assert share.requests_per_s <= 20.0 / 3
