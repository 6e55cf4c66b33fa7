"""Sums and estimates of other hosts' work, and their effect on the choice of engine."""

import random

import pytest

from sycamorespoke.gateway import _chooser, _peer_loads, _prompt_work, _table
from tests.gateway import test_chooser

NOW = 100.0
HOSTS = 74
ENGINES = 12
SLOTS = 16
ROUNDS = 10
MAX_RATIO_TO_MEAN = 2.5


def test_sum_includes_only_recent_reports():
    loads = _peer_loads.PeerLoads()
    loads.record_report("h1", {"a": 2.0}, NOW - _peer_loads.REPORT_LIFETIME_S - 0.1)
    loads.record_report("h2", {"a": 3.0, "b": 1.0}, NOW)
    report = loads.sum_reports({"a": 4.0}, NOW)
    assert report.work_by_boot == {"a": 7.0, "b": 1.0}
    assert report.hosts == 2


def test_newer_report_replaces_the_older_one():
    loads = _peer_loads.PeerLoads()
    loads.record_report("h1", {"a": 2.0}, NOW - 0.2)
    loads.record_report("h1", {}, NOW)
    assert loads.sum_reports({}, NOW).work_by_boot == {}


def test_summary_is_scaled_to_all_hosts_without_own_work():
    loads = _peer_loads.PeerLoads()
    loads.record_summary(_peer_loads.WorkReport({"a": 7.0}, NOW, hosts=4), {"a": 1.0})
    assert loads.estimate_others(13, NOW) == {"a": pytest.approx(24.0)}


@pytest.mark.parametrize("age_s", [_peer_loads.REPORT_LIFETIME_S + 0.1, 1000.0])
def test_old_summary_is_ignored(age_s):
    loads = _peer_loads.PeerLoads()
    loads.record_summary(_peer_loads.WorkReport({"a": 7.0}, NOW, hosts=4), {})
    assert loads.estimate_others(13, NOW + age_s) is None


def test_no_estimate_without_reports():
    assert _peer_loads.PeerLoads().estimate_others(1, NOW) is None


def test_groups_of_other_readers_make_the_sum_whole():
    loads = _peer_loads.PeerLoads()
    loads.record_report("h1", {"a": 2.0}, NOW)
    loads.record_group("reader-2", {"a": 5.0, "b": 1.0}, 7, NOW)
    assert loads.sum_group({"a": 1.0}, NOW).work_by_boot == {"a": 3.0}
    total = loads.sum_reports({"a": 1.0}, NOW)
    assert total.work_by_boot == {"a": 8.0, "b": 1.0}
    assert total.hosts == 9
    # The sum is of all hosts, so that nothing is scaled.
    assert loads.estimate_others(9, NOW) == {"a": 7.0, "b": 1.0}


def test_group_of_a_reader_that_is_lost_expires():
    loads = _peer_loads.PeerLoads()
    loads.record_group("reader-2", {"a": 5.0}, 7, NOW)
    later_s = NOW + _peer_loads.REPORT_LIFETIME_S + 0.1
    assert loads.sum_reports({}, later_s).hosts == 1


class Fleet:
    """Many hosts that each send a few requests with the same prompt."""

    def __init__(self, is_relayed):
        self.is_relayed = is_relayed
        names = [f"i-{number}" for number in range(ENGINES)]
        upstreams = [
            test_chooser.make_upstream(name, slots=SLOTS, versions_by_model={})
            for name in names
        ]
        self.view = test_chooser.make_view(
            *upstreams, hosts_by_name=dict.fromkeys(range(HOSTS))
        )
        self.hosts = [self.make_host(number) for number in range(HOSTS)]

    def make_host(self, number):
        table = _table.UpstreamTable()
        loads = _peer_loads.PeerLoads()
        chooser = _chooser.Chooser(
            f"h{number}",
            "dc-1",
            table,
            test_chooser.LIMITS,
            loads,
            random.Random(number),
        )
        return chooser

    def relay_loads(self):
        group = self.hosts[: HOSTS // 6]
        reader = _peer_loads.PeerLoads()
        for number, host in enumerate(group):
            reader.record_report(number, host.table.get_work_by_boot(), NOW)
        for number, host in enumerate(self.hosts):
            own_by_boot = host.table.get_work_by_boot() if number < len(group) else {}
            host.placer.loads.record_summary(reader.sum_reports({}, NOW), own_by_boot)

    def run(self):
        """Send one request of each host a round; return the requests by engine."""
        request = test_chooser.make_request()
        work = _prompt_work.estimate_work(request.prompt)
        requests_by_engine = {}
        for _ in range(ROUNDS):
            for number, host in enumerate(self.hosts):
                if self.is_relayed and number % 10 == 0:
                    self.relay_loads()
                choice = host.choose(
                    self.view, test_chooser.ROUTE, request, frozenset(), NOW
                )
                host.table.begin_request(choice.upstream, work)
                engine = choice.upstream.id
                requests_by_engine[engine] = requests_by_engine.get(engine, 0) + 1
        return requests_by_engine


def test_requests_with_one_prompt_spread_over_engines_with_relayed_loads():
    mean = HOSTS * ROUNDS / ENGINES
    assert max(Fleet(is_relayed=True).run().values()) <= MAX_RATIO_TO_MEAN * mean
    assert max(Fleet(is_relayed=False).run().values()) > MAX_RATIO_TO_MEAN * mean
