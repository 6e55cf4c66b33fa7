"""Records of upstreams that end, shared by entry hosts through the platform."""

import random

import attrs
import pytest

from sycamorespoke import decisions, quarantine
from sycamorespoke.entry import _crash_objects, _crash_watch
from tests.fakes import entry_view, platform

STEP_S = 0.25
# Reports, the wait before the verdict and the turns of the hosts that write it.
VERDICT_S = 4.0
BAD = decisions.Content(decisions.ContentKind.REQUEST, "bad")
SERVICE = _crash_watch.UpstreamStart("bibdesk-1", "bibdesk", "127.0.0.1:1")


def make_content(fingerprint):
    return decisions.Content(decisions.ContentKind.REQUEST, fingerprint)


@attrs.define
class EntryHost:
    """What an entry host shares, stepped by the test in place of its threads."""

    objects: _crash_objects.CrashObjects
    monitor: quarantine.CrashMonitor
    quarantine: quarantine.Quarantine

    def step(self, now):
        self.objects.watch_once(0.0)
        self.objects.refresh(now)
        self.quarantine.step(now)


class EntryHosts:
    """Entry hosts on one platform; the upstream's process has always ended."""

    def __init__(self, count, store=None):
        self.now = 100.0
        self.store = store or platform.FakePlatform()
        self.names = [f"entry-{n}" for n in range(count)]
        self.by_name = {}
        for name in self.names:
            self.start(name)

    def start(self, name):
        """Start a host, or another process of it."""
        view = entry_view.make_entry_view(self.names)
        objects = _crash_objects.CrashObjects(self.store, lambda: view)
        monitor = quarantine.CrashMonitor(
            lambda upstream: True, lambda service: None, lambda upstream: False
        )
        self.by_name[name] = EntryHost(
            objects, monitor, quarantine.Quarantine(name, objects, monitor, objects)
        )

    def run(self, seconds):
        ends_s = self.now + seconds
        while self.now < ends_s:
            self.now += STEP_S
            for host in list(self.by_name.values()):
                host.step(self.now)

    def end_service(self, fingerprints_by_number):
        """End the service under requests, by the number of the host of each."""
        self.run(1.5 * decisions.MOMENT_S)
        for number, fingerprint in fingerprints_by_number.items():
            self.by_name[f"entry-{number}"].monitor.record_lost(
                SERVICE, fingerprint, (make_content(fingerprint),), self.now
            )

    def list_quarantined(self):
        self.run(2 * STEP_S)
        return {
            frozenset(host.objects.crashes.quarantined_by_content)
            for host in self.by_name.values()
        }


@pytest.mark.parametrize("count", [3, 9, 40])
def test_request_that_ends_the_only_upstream_again_and_again_is_quarantined(count):
    hosts = EntryHosts(count)
    for n in range(3):
        hosts.end_service({n: "bad"})
    hosts.run(3.0)
    assert hosts.list_quarantined() == {frozenset({BAD})}


def test_requests_of_other_hosts_that_are_lost_beside_it_stay_usable():
    hosts = EntryHosts(9)
    for n in range(3):
        # One host sends a sound request that is lost each time, too.
        hosts.end_service({n: "bad", 7: "sound", 8: f"other{n}"})
    hosts.run(1.0)
    whole = (make_content("sound"),)
    hosts.by_name["entry-6"].monitor.record_whole(whole, hosts.now)
    hosts.run(VERDICT_S)
    assert hosts.list_quarantined() == {frozenset({BAD})}


def test_request_that_is_lost_twice_in_a_moment_ended_the_upstream_once():
    hosts = EntryHosts(3)
    for n in range(2):
        hosts.end_service({n: "bad", 2: "bad"})
    hosts.run(VERDICT_S)
    assert hosts.list_quarantined() == {frozenset()}


def test_complete_response_at_any_host_ends_the_quarantine_on_all():
    hosts = EntryHosts(9)
    for n in range(3):
        hosts.end_service({n: "bad"})
    hosts.run(VERDICT_S)
    hosts.by_name["entry-8"].monitor.record_whole((BAD,), hosts.now)
    hosts.run(1.0)
    assert hosts.list_quarantined() == {frozenset()}
    hosts.run(VERDICT_S)
    assert hosts.list_quarantined() == {frozenset()}


def test_hosts_that_restart_keep_the_quarantine_and_the_reports():
    hosts = EntryHosts(3)
    for _ in range(3):
        hosts.end_service({0: "bad"})
        hosts.run(STEP_S)
        hosts.start("entry-0")
    hosts.run(VERDICT_S)
    for name in hosts.names:
        hosts.start(name)
    assert hosts.list_quarantined() == {frozenset({BAD})}


def test_quarantine_stays_in_force_while_the_platform_is_down():
    hosts = EntryHosts(3)
    for n in range(3):
        hosts.end_service({n: "bad"})
    hosts.run(VERDICT_S)
    hosts.store.is_down = True
    hosts.run(60.0)
    assert hosts.list_quarantined() == {frozenset({BAD})}


def test_reports_of_an_outage_are_shared_once_the_platform_is_back():
    hosts = EntryHosts(3)
    hosts.store.is_down = True
    for n in range(3):
        hosts.end_service({n: "bad"})
    hosts.run(10.0)
    assert hosts.list_quarantined() == {frozenset()}
    hosts.store.is_down = False
    hosts.run(VERDICT_S)
    assert hosts.list_quarantined() == {frozenset({BAD})}


@pytest.mark.parametrize("fault", ["lost", "dropped", "stale"])
def test_faults_of_single_requests_do_not_prevent_the_verdict(fault):
    hosts = EntryHosts(3, platform.FakePlatform())
    for n in range(3):
        hosts.end_service({n: "bad"})
        hosts.store.faults[:] = [fault, "ok"] * 10
        hosts.run(3 * STEP_S)
    hosts.store.faults.clear()
    hosts.run(_crash_objects.REFRESH_INTERVAL_S + VERDICT_S)
    assert hosts.list_quarantined() == {frozenset({BAD})}


def test_idle_hosts_read_the_records_rarely():
    hosts = EntryHosts(3)
    hosts.run(1.0)
    lists = []
    list_objects = hosts.store.list
    hosts.store.list = lambda prefix: lists.append(prefix) or list_objects(prefix)
    hosts.run(20.0)
    assert len(lists) <= 3 * (1 + 20.0 / _crash_objects.REFRESH_INTERVAL_S)


def test_malformed_record_is_left_out_and_the_others_are_read():
    hosts = EntryHosts(1)
    record = quarantine.make_quarantined_content(BAD)
    hosts.store.put(_crash_objects.PREFIX + "n", {"other": 1}, 0)
    hosts.store.put(_crash_objects.PREFIX + record.name, record.to_value(), 0)
    assert hosts.list_quarantined() == {frozenset({BAD})}


@pytest.mark.parametrize("count", [3, 9])
def test_quarantine_stays_in_force_when_the_platform_is_back_from_an_older_copy(count):
    random.seed(7)
    hosts = EntryHosts(count)
    hosts.run(1.0)
    older = hosts.store.copy()
    for n in range(3):
        hosts.end_service({n: "bad"})
    hosts.run(VERDICT_S)
    hosts.store.restore(older)
    assert hosts.list_quarantined() == {frozenset({BAD})}
    # Hosts write the lost records again for those that start later.
    hosts.run(10 * _crash_objects.REFRESH_INTERVAL_S)
    for name in hosts.names:
        hosts.start(name)
    assert hosts.list_quarantined() == {frozenset({BAD})}


def test_quarantine_that_the_platform_lost_ends_in_its_time():
    random.seed(7)
    hosts = EntryHosts(3)
    hosts.run(1.0)
    older = hosts.store.copy()
    for n in range(3):
        hosts.end_service({n: "bad"})
    hosts.run(VERDICT_S)
    ends_s = {
        each.seen_s
        for host in hosts.by_name.values()
        for each in host.objects.crashes.quarantined_by_content.values()
    }
    hosts.store.restore(older)
    hosts.run(10 * _crash_objects.REFRESH_INTERVAL_S)
    assert ends_s == {
        each.seen_s
        for host in hosts.by_name.values()
        for each in host.objects.crashes.quarantined_by_content.values()
    }


def test_quarantine_can_be_lifted_after_the_platform_is_back():
    random.seed(7)
    hosts = EntryHosts(3)
    older = hosts.store.copy()
    for n in range(3):
        hosts.end_service({n: "bad"})
    hosts.run(VERDICT_S)
    hosts.store.restore(older)
    hosts.run(10 * _crash_objects.REFRESH_INTERVAL_S)
    hosts.by_name["entry-1"].monitor.record_whole((BAD,), hosts.now)
    hosts.run(3.0)
    assert hosts.list_quarantined() == {frozenset()}
    hosts.run(3 * _crash_objects.REFRESH_INTERVAL_S)
    assert hosts.list_quarantined() == {frozenset()}
