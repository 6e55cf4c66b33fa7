import collections

import hypothesis
from hypothesis import strategies

from sycamorespoke import decisions
from sycamorespoke.decisions import _forwarding

NOW_S = 100.0


def make_report(host, data_centre="dc-1", ages_s=None, address="10.0.0.1:1", **fields):
    ages_s = {"s": 0.1} if ages_s is None else ages_s
    fields = {"forwarded": 0, "seen_s": NOW_S, **fields}
    return decisions.PeerReport(host, data_centre, address, ages_s, **fields)


def choose(reports, services=("s",), in_flight_by_host=None, excluded=()):
    chosen = decisions.choose_forwarding_peer(
        reports, services, in_flight_by_host or {}, "dc-1", excluded, NOW_S
    )
    return chosen.host if chosen else None


def test_only_a_host_that_reaches_every_service_is_chosen():
    reports = [make_report("h1"), make_report("h2", ages_s={"s": 0.1, "t": 9.0})]
    assert choose(reports, ["s", "t"]) == "h2"
    assert choose(reports, ["s", "u"]) is None


def test_old_reports_and_old_answers_name_no_host():
    late_s = NOW_S - _forwarding.REPORT_LIFETIME_S - 0.1
    too_old = _forwarding.MAX_ANSWER_AGE_S + 0.1
    assert choose([make_report("h1", seen_s=late_s)]) is None
    assert choose([make_report("h1", ages_s={"s": too_old})]) is None


def test_host_that_accepts_no_requests_is_not_chosen():
    assert choose([make_report("h1", address="")]) is None
    assert choose([make_report("h1"), make_report("h2")], excluded={"h1"}) == "h2"


def test_requests_are_spread_over_the_hosts():
    reports = [make_report(f"h{n}", f"dc-{n % 3}") for n in range(6)]
    in_flight_by_host = collections.Counter()
    for _ in range(60):
        in_flight_by_host[choose(reports, in_flight_by_host=in_flight_by_host)] += 1
    assert len(in_flight_by_host) == 6
    near = [in_flight_by_host["h1"], in_flight_by_host["h4"]]
    assert max(in_flight_by_host.values()) == max(near) <= 14


@hypothesis.given(strategies.integers(1, 400), strategies.integers(0, 40))
def test_every_other_host_is_asked_in_turn(hosts, rounds):
    data_centres_by_host = {f"h{n}": f"dc-{n % 3}" for n in range(hosts)}
    groups = [
        decisions.choose_asked_hosts("h0", data_centres_by_host, rounds + each)
        for each in range(-(-hosts // _forwarding.ASKED_HOSTS) + 1)
    ]
    asked = {host for group in groups for host in group}
    assert asked == set(data_centres_by_host) - {"h0"}
    assert max(map(len, groups)) <= _forwarding.ASKED_HOSTS
