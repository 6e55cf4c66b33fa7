"""Share of the requests that hosts send to a version on trial."""

import hypothesis
import hypothesis.strategies as strategies
import pytest

from sycamorespoke.rollouts import _share
from tests.fakes import software_fleet

# Requests of one host after the other: host number, and whether it restarts before.
EVENTS = strategies.lists(
    strategies.tuples(strategies.integers(0, 11), strategies.booleans()), max_size=600
)


@hypothesis.seed(20261206)
@hypothesis.settings(max_examples=60, deadline=None)
@hypothesis.given(
    EVENTS, strategies.floats(0.01, 0.5), strategies.integers(0, 60), strategies.text()
)
def test_hosts_keep_the_share_of_all_requests_together(events, share, slack, key):
    hosts = [f"h{number}" for number in range(12)]
    sent_by_host, tried_by_host = {}, {}
    sent = tried = restarts = 0
    credits_by_host = {
        host: _share.compute_start_credit(host, hosts, key, slack) for host in hosts
    }
    lost_credit = 0
    for number, restarts_first in events:
        host = hosts[number]
        if restarts_first and restarts < 5:
            restarts += 1
            lost_credit += credits_by_host[host]
            sent_by_host.pop(host, None)
            tried_by_host.pop(host, None)
        sent_here = sent_by_host.get(host, 0)
        tried_here = tried_by_host.get(host, 0)
        may_try = _share.may_try(sent_here, tried_here, share, credits_by_host[host])
        sent_by_host[host] = sent_here + 1
        tried_by_host[host] = tried_here + may_try
        sent += 1
        tried += may_try
    assert tried <= _share.USED_SHARE * share * sent + slack * 0.4 + lost_credit


@pytest.mark.parametrize("count", [1, 3, 9, 90, 380])
def test_credits_of_all_hosts_are_part_of_the_slack(count):
    hosts = [f"h{number}" for number in range(count)]
    credits = [_share.compute_start_credit(host, hosts, "k", 50.0) for host in hosts]
    assert sum(credits) == 20
    assert max(credits) - min(credits) <= 1


def test_other_routes_leave_a_request_to_a_route_of_which_too_few_were_tried():
    assert _share.may_try(200, 15, 0.1, 0, is_wanted=True)
    assert not _share.may_try(200, 15, 0.1, 0, is_wanted=False)


@pytest.mark.parametrize(
    ("count", "fraction", "selected"),
    [(45, 0.1, 4), (4, 0.1, 1), (1, 0.1, 1), (10, 0.55, 5), (10, 1.0, 10)],
)
def test_subset_carries_about_the_ordinary_load(count, fraction, selected):
    upstreams = [software_fleet.make_upstream(n, "v2") for n in range(count)]
    subset = _share.select_subset(upstreams, fraction, "k")
    assert len(subset) == selected
    assert subset == _share.select_subset(upstreams, fraction, "k")
