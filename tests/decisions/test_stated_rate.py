"""Division of a stated rate limit, and the load of all hosts together."""

import hypothesis
import pytest
from hypothesis import strategies

from sycamorespoke import decisions

# Bounds of the users' platform.
WINDOW_S = 4.0
TOLERANCE = 1.5
SLACK_REQUESTS = 5.0


def make_names(count):
    return [f"h{n}" for n in range(count)]


@hypothesis.given(strategies.integers(1, 400), strategies.floats(0.0, 300.0))
@hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
def test_all_hosts_together_keep_to_a_stated_rate_limit(hosts, limit_per_s):
    names = make_names(hosts)
    shares = [
        decisions.compute_stated_share(limit_per_s, name, names, "u") for name in names
    ]
    rates = [each for each in shares if isinstance(each, decisions.RateShare)]
    turns = [each for each in shares if isinstance(each, decisions.TurnShare)]
    requests = sum(each.requests_per_s * WINDOW_S + each.burst for each in rates)
    # A window may touch two turns.
    requests += min(len(turns), 2)
    assert requests <= TOLERANCE * limit_per_s * WINDOW_S + SLACK_REQUESTS
    assert sum(each.requests_per_s for each in rates) <= limit_per_s


@pytest.mark.parametrize("limit_per_s", [0.0, 0.5, 2.0])
def test_turns_of_hosts_without_a_share_do_not_overlap(limit_per_s):
    names = make_names(40)
    shares = [
        decisions.compute_stated_share(limit_per_s, name, names, "u") for name in names
    ]
    turns = [each for each in shares if isinstance(each, decisions.TurnShare)]
    for second in range(400):
        current = [each for each in turns if decisions.find_turn(each, second + 0.5)]
        assert len(current) <= 1
    assert all(decisions.find_turn(each, each.first_s) == 0 for each in turns)


def test_unregistered_host_gets_the_share_of_one_more_host():
    share = decisions.compute_stated_share(2.0, "new", ["a", "b"], "u")
    assert share.requests_per_s == pytest.approx(0.6)
