"""Choice of the upstream of a plain service by many hosts with old figures."""

import random

import pytest

from sycamorespoke import placement

NEAR_ADVANTAGE = 0.25


def choose(requests, generator, near=()):
    candidates = [
        placement.ServiceCandidate(f"u{n}", each, 6, n in near)
        for n, each in enumerate(requests)
    ]
    return placement.choose_by_draw(candidates, NEAR_ADVANTAGE, generator.sample).name


def test_least_used_of_two_is_chosen():
    generator = random.Random(1)
    assert {choose([5.0, 0.0], generator) for _ in range(20)} == {"u1"}


def test_single_upstream_is_chosen():
    assert choose([5.0], random.Random(1)) == "u0"


def test_idle_upstream_does_not_get_the_requests_of_all_hosts():
    generator = random.Random(1)
    chosen = [choose([4.0] * 9 + [0.0], generator) for _ in range(1000)]
    assert chosen.count("u9") < 300


@pytest.mark.parametrize(("requests", "is_near_chosen"), [(1.0, True), (9.0, False)])
def test_near_upstream_is_used_until_it_is_much_busier(requests, is_near_chosen):
    generator = random.Random(1)
    chosen = {choose([requests, 0.0, 0.0], generator, near={0}) for _ in range(50)}
    assert ("u0" in chosen) is is_near_chosen
