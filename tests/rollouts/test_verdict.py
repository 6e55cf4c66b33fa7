"""Verdicts on pooled outcomes: each kind of badness, and noise."""

import random

import pytest

from sycamorespoke.rollouts import _verdict


def make_evidence(trial_by_route, old_by_route):
    def make(by_route):
        return {route: _verdict.Tally(*pair) for route, pair in by_route.items()}

    return _verdict.Evidence(make(trial_by_route), make(old_by_route))


def find(trial_by_route, old_by_route):
    evidence = make_evidence(trial_by_route, old_by_route)
    return _verdict.find_bad(evidence, evidence)


@pytest.mark.parametrize(
    ("trial_by_route", "route"),
    [
        ({"a": (10, 6), "b": (10, 4)}, ""),
        ({"a": (200, 0), "b": (10, 5)}, "b"),
        ({"a": (4, 4)}, ""),
        ({"a": (2000, 1000)}, ""),
    ],
)
def test_bad_version_is_found(trial_by_route, route):
    finding = find(trial_by_route, {"a": (500, 5), "b": (100, 2)})
    assert finding.route in (route, *trial_by_route)


@pytest.mark.parametrize(
    "trial_by_route", [{}, {"a": (3, 3)}, {"a": (100, 6)}, {"a": (1000, 40)}]
)
def test_few_bad_outcomes_are_no_verdict(trial_by_route):
    assert find(trial_by_route, {"a": (500, 5)}) is None


def test_version_is_compared_with_the_old_one_under_the_same_trouble():
    assert find({"a": (100, 40)}, {"a": (1000, 350)}) is None
    assert find({"a": (100, 40)}, {"a": (1000, 20)}) is not None


def test_what_is_bad_only_lately_is_found():
    overall = make_evidence({"a": (1000, 20)}, {"a": (5000, 50)})
    earlier = make_evidence({"a": (980, 2)}, {"a": (4800, 48)})
    recent = overall.subtract(earlier)
    assert _verdict.find_bad(overall, overall) is None
    assert _verdict.find_bad(recent, overall).trial == _verdict.Tally(20, 18)


@pytest.mark.parametrize("share", [0.0, 0.02, 0.05])
def test_sound_versions_are_hardly_ever_found_bad(share):
    generator = random.Random(20261206)
    found = 0
    for _ in range(300):
        trial, old = _verdict.Tally(), _verdict.Tally()
        for _ in range(25):
            trial += draw(generator, 8, share)
            old += draw(generator, 80, share)
            evidence = _verdict.Evidence({"a": trial}, {"a": old})
            if _verdict.find_bad(evidence, evidence) is not None:
                found += 1
                break
    assert found <= 3


def draw(generator, requests, share):
    bad = sum(generator.random() < share for _ in range(requests))
    return _verdict.Tally(requests, bad)


def test_enough_is_tried_once_each_route_in_use_was_seen():
    few = make_evidence({"a": (40, 0), "b": (4, 0)}, {"a": (300, 0), "b": (30, 0)})
    assert not _verdict.has_enough(few)
    assert _verdict.has_enough(few, needs_all_routes=False)
    assert _verdict.list_wanted_routes(few) == ["b"]
    enough = make_evidence({"a": (40, 0), "b": (5, 0)}, {"a": (300, 0), "b": (30, 0)})
    assert _verdict.has_enough(enough)
    rare = make_evidence({"a": (40, 0)}, {"a": (300, 0), "b": (19, 0)})
    assert _verdict.has_enough(rare)
    assert not _verdict.has_enough(make_evidence({"a": (19, 0)}, {}))


def test_lost_connections_count_over_all_routes_only():
    trial = {"a": _verdict.Tally(6, 0), _verdict.ALL_ROUTES: _verdict.Tally(6, 6)}
    evidence = _verdict.Evidence(trial, {"a": _verdict.Tally(300, 0)})
    assert _verdict.find_bad(evidence, evidence).route == _verdict.ALL_ROUTES
    assert _verdict.list_wanted_routes(evidence) == []
