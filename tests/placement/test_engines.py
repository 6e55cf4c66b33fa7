"""Choice of the engine by expected wait, alone and by many hosts under load."""

import random

import pytest

from benchmarks import even_load_model
from sycamorespoke import decisions, placement

ENGINES = 45
LIMITS = placement.WaitLimits(first_s=0.15, any_s=0.2)
READ_AGAIN_S = 0.1


def make_candidates(waits_s, **changes):
    return [
        placement.EngineCandidate(f"e{number}", wait_s, **changes)
        for number, wait_s in enumerate(waits_s)
    ]


def rank(key, candidates):
    return decisions.rank_by_key(key, [each.name for each in candidates])


def choose(key, candidates, **changes):
    return placement.choose_engine(
        key, candidates, READ_AGAIN_S, LIMITS, **changes
    ).name


def test_engine_that_has_the_blocks_is_kept_while_its_wait_is_short():
    candidates = make_candidates([0.0, 0.14, 0.14, 0.14])
    for number in range(50):
        assert choose(str(number), candidates) == rank(str(number), candidates)[0]


def test_engine_that_has_the_blocks_is_left_for_the_next_when_its_wait_is_long():
    for number in range(50):
        key = str(number)
        first, second, third = rank(key, make_candidates([0.0] * 6))[:3]
        candidates = [
            placement.EngineCandidate(f"e{n}", {first: 0.5, second: 0.1}.get(name, 0.3))
            for n, name in enumerate(f"e{n}" for n in range(6))
        ]
        assert choose(key, candidates) == second
        assert third != first


def test_wait_that_is_shorter_than_reading_again_is_accepted():
    key = "prompt"
    names = rank(key, make_candidates([0.0] * 6))
    waits_s = {names[0]: 0.18}
    candidates = make_candidates([waits_s.get(f"e{n}", 0.1) for n in range(6)])
    assert choose(key, candidates) == names[0]


def test_engines_down_the_ranking_are_used_when_only_the_first_two_are_overrun():
    key = "prompt"
    names = rank(key, make_candidates([0.0] * 8))
    waits_s = dict.fromkeys(names[:2], 1.0)
    candidates = make_candidates([waits_s.get(f"e{n}", 0.0) for n in range(8)])
    assert choose(key, candidates) in names[2:4]


def test_first_two_are_kept_when_all_engines_are_overrun():
    candidates = make_candidates([3.0, 2.9, 3.1, 3.0, 3.05, 2.95])
    for number in range(50):
        key = str(number)
        assert choose(key, candidates) in rank(key, candidates)[:2]


def test_engine_that_seems_idle_gets_a_bounded_share_of_an_overload():
    candidates = make_candidates([3.0] * (ENGINES - 1) + [0.0])
    chosen = [choose(f"prompt-{n}", candidates) for n in range(2000)]
    assert chosen.count(f"e{ENGINES - 1}") < 2000 * 3 / ENGINES


def test_single_engine_is_chosen_whatever_its_wait():
    assert choose("prompt", make_candidates([9.0])) == "e0"


def test_near_engine_is_preferred_until_its_wait_says_otherwise():
    key = "prompt"
    first, second = rank(key, make_candidates([0.0] * 3))[:2]

    def choose_with(near_wait_s):
        candidates = [
            placement.EngineCandidate(
                name, near_wait_s if name == second else 0.0, is_near=name == second
            )
            for name in (f"e{n}" for n in range(3))
        ]
        return choose(key, candidates, far_s=0.5)

    assert choose_with(0.1) == second
    assert choose_with(0.7) == first


@pytest.mark.parametrize("hosts", [32, 74, 400])
def test_fewer_requests_are_late_than_by_requests_or_by_the_least(hosts):
    """Load: 45 engines of two speeds at 0.95, sums that are half a second old."""
    late = {
        place: even_load_model.compute_late_share(
            even_load_model.run(place, hosts, ENGINES, 0.95, 0.5, 6.0)
        )
        for place in (
            even_load_model.place_by_wait,
            even_load_model.place_by_key,
            even_load_model.place_by_least,
        )
    }
    assert late[even_load_model.place_by_wait] < late[even_load_model.place_by_key]
    assert late[even_load_model.place_by_key] < late[even_load_model.place_by_least]


def test_hosts_with_the_same_figures_do_not_choose_the_same_engine():
    generator = random.Random(7)
    waits_s = [generator.random() for _ in range(ENGINES)]
    candidates = make_candidates(waits_s)
    chosen = [choose(f"prompt-{n}", candidates) for n in range(1000)]
    assert max(chosen.count(name) for name in set(chosen)) < 150
