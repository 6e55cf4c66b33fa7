"""Quarantine of contents that end upstreams, decided by several hosts together."""

import pytest

from sycamorespoke import clients, decisions, domain
from sycamorespoke.gateway import _model, _views
from sycamorespoke.quarantine import _monitor, _quarantine, _records

STEP_S = _quarantine.MIN_INTERVAL_S
# Reports, the wait before the verdict and the turns of the hosts that write it.
VERDICT_S = 4.0
QUARANTINED_KEYS = set(_records.QUARANTINED_KEY_BY_KIND.values())


def make_prompt(*block_ids):
    """Return the contents of a request whose last block is its own."""
    kind = decisions.ContentKind.BLOCK
    blocks = tuple(decisions.Content(kind, each) for each in block_ids[:-1])
    return (*blocks, *make_plain(" ".join(block_ids)))


def make_plain(fingerprint):
    """Return the contents of a request without a prompt."""
    return (decisions.Content(decisions.ContentKind.REQUEST, fingerprint),)


class SharedRecords:
    """The source of shared objects; each change reaches all hosts at once."""

    def __init__(self):
        self.values_by_name = {}
        self.seen_s_by_name = {}
        self.writes = 0
        self.is_available = True
        self._verdicts = set()

    def write(self, name, value):
        if not self.is_available:
            return False
        self.writes += 1
        if not value.keys().isdisjoint(QUARANTINED_KEYS):
            self._verdicts.add(name)
        if self.values_by_name.get(name) != value:
            self.seen_s_by_name[name] = None
        self.values_by_name[name] = value
        return True

    def delete(self, name):
        if self.is_available:
            self.values_by_name.pop(name, None)
        return self.is_available

    def count_verdicts(self):
        """Return how many contents have ever been in quarantine."""
        return len(self._verdicts)

    def deliver(self, views, now, era=0):
        items = []
        for name, value in self.values_by_name.items():
            if self.seen_s_by_name[name] is None:
                self.seen_s_by_name[name] = now
            seen_s = self.seen_s_by_name[name]
            revision = domain.make_revision(era, 1)
            items.append(_records.parse_crash_record(name, value, seen_s, revision))
        views.replace_fields(crashes=_records.CrashRecords.from_items(items))


class Hosts:
    """Hosts that share their records; ``running`` are the upstreams that accept."""

    def __init__(self, count):
        self.now = 100.0
        self.records = SharedRecords()
        self.history = clients.StoreHistory()
        self.running = set()
        self.hosts_by_name = {
            name: _model.Host(name, "dc-1", "127.0.0.1:1")
            for name in (f"h{n}" for n in range(count))
        }
        self.by_name = {}
        for name in self.hosts_by_name:
            self.start(name)

    def start(self, name):
        """Start a host, or another process of it."""
        views = _views.Views(self.history)
        views.replace_fields(hosts_by_name=self.hosts_by_name, upstreams_by_id={})
        monitor = _monitor.CrashMonitor(
            views.is_registered,
            lambda service: None,
            lambda upstream: upstream.id in self.running,
        )
        self.by_name[name] = _quarantine.Quarantine(
            name, views, monitor, self.records, self.history
        )

    def end_upstream(self, upstream_id, lost_by_host):
        """End an upstream under requests, some time after the one before."""
        self.run(1.5 * decisions.MOMENT_S)
        self.end_at_once({upstream_id: lost_by_host})

    def end_at_once(self, lost_by_host_by_upstream):
        """End upstreams in one moment under requests, by the host that sent each."""
        for upstream_id, lost_by_host in lost_by_host_by_upstream.items():
            self._end_upstream(upstream_id, lost_by_host)

    def _end_upstream(self, upstream_id, lost_by_host):
        upstream = _model.Upstream(upstream_id, 1, "s", "127.0.0.1:1", "dc-1")
        for name, contents in lost_by_host.items():
            monitor = self.by_name[name].monitor
            monitor.record_lost(upstream, contents[-1].id, contents, self.now)
            if upstream_id in self.running:
                registered = {upstream_id: upstream}
                self.by_name[name].views.replace_fields(upstreams_by_id=registered)

    def run(self, seconds):
        ends_s = self.now + seconds
        while self.now < ends_s:
            self.now += STEP_S
            for quarantine in list(self.by_name.values()):
                self.records.deliver(quarantine.views, self.now, self.history.era)
                quarantine.step(self.now)

    def list_quarantined(self):
        self.run(STEP_S)
        return {
            frozenset(one.id for one in each.views.get().crashes.quarantined_by_content)
            for each in self.by_name.values()
        }


@pytest.mark.parametrize("count", [3, 9, 40])
def test_block_is_quarantined_though_no_host_sees_it_end_two_upstreams(count):
    hosts = Hosts(count)
    for n in range(3):
        hosts.end_upstream(f"i-{n}", {f"h{n}": make_prompt("sys", "bad", f"own{n}")})
    # The other blocks have complete responses at another host.
    hosts.by_name[f"h{count - 1}"].monitor.record_whole(
        make_prompt("sys", "x"), hosts.now
    )
    hosts.run(VERDICT_S)
    assert hosts.list_quarantined() == {frozenset({"bad"})}


def test_block_is_in_quarantine_within_the_stability_window_of_the_third_end():
    hosts = Hosts(9)
    for n in range(3):
        hosts.end_upstream(f"i-{n}", {f"h{n}": make_prompt("bad", f"own{n}")})
    hosts.run(3.0)
    assert hosts.list_quarantined() == {frozenset({"bad"})}


def test_sound_blocks_of_requests_in_flight_beside_it_stay_usable():
    hosts = Hosts(9)
    for n in range(6):
        hosts.end_upstream(
            f"i-{n}",
            {
                f"h{n}": make_prompt("sys", "bad", f"own{n}"),
                f"h{n + 1}": make_prompt("sys", "doc", f"p{n}"),
                f"h{n + 2}": make_prompt("sys", f"doc{n}", f"q{n}"),
            },
        )
        sound_host = hosts.by_name[f"h{(n + 4) % 9}"]
        sound_host.monitor.record_whole(make_prompt("sys", "doc", "r"), hosts.now)
        hosts.run(1.0)
    hosts.run(VERDICT_S)
    assert hosts.list_quarantined() == {frozenset({"bad"})}


def test_block_that_another_host_completes_after_the_losses_is_not_quarantined():
    hosts = Hosts(9)
    for n in range(5):
        hosts.end_upstream(f"i-{n}", {f"h{n}": make_prompt("doc", f"own{n}")})
        # The third loss is enough for a verdict.
        if n >= 2:
            hosts.run(STEP_S * 2)
            whole = make_prompt("doc", f"x{n}")
            hosts.by_name["h8"].monitor.record_whole(whole, hosts.now)
    hosts.run(VERDICT_S)
    assert hosts.records.count_verdicts() == 0


def test_losses_that_a_complete_response_explained_away_do_not_count_later():
    hosts = Hosts(9)
    for n in range(2):
        hosts.end_upstream(f"i-{n}", {f"h{n}": make_prompt("doc", f"own{n}")})
    hosts.run(1.0)
    hosts.by_name["h8"].monitor.record_whole(make_prompt("doc", "x"), hosts.now)
    hosts.run(60.0)
    hosts.end_upstream("i-9", {"h3": make_prompt("doc", "own9")})
    hosts.run(VERDICT_S)
    assert hosts.list_quarantined() == {frozenset()}


def test_broken_responses_of_upstreams_that_still_run_quarantine_nothing():
    hosts = Hosts(9)
    hosts.running.update(f"i-{n}" for n in range(9))
    for n in range(9):
        hosts.end_upstream(f"i-{n}", {f"h{n}": make_prompt("doc", f"own{n}")})
    hosts.run(VERDICT_S)
    assert hosts.list_quarantined() == {frozenset()}
    assert hosts.records.writes == 0


def test_loss_of_one_data_centre_under_different_prompts_quarantines_nothing():
    hosts = Hosts(9)
    hosts.end_at_once(
        {f"i-{n}": {f"h{n}": make_prompt("sys", f"doc{n}", "o")} for n in range(9)}
    )
    hosts.by_name["h0"].monitor.record_whole(make_prompt("sys", "o"), hosts.now)
    hosts.run(VERDICT_S)
    assert hosts.records.count_verdicts() == 0


def test_restarted_host_loses_no_observation():
    hosts = Hosts(3)
    for n in range(3):
        hosts.end_upstream(f"i-{n}", {"h0": make_prompt("bad", f"own{n}")})
        hosts.run(STEP_S)
        hosts.start("h0")
    hosts.run(VERDICT_S)
    assert hosts.list_quarantined() == {frozenset({"bad"})}


def test_observations_survive_an_outage_of_the_source():
    hosts = Hosts(3)
    hosts.records.is_available = False
    for n in range(3):
        hosts.end_upstream(f"i-{n}", {f"h{n}": make_prompt("bad", f"own{n}")})
    hosts.run(20.0)
    assert hosts.list_quarantined() == {frozenset()}
    hosts.records.is_available = True
    hosts.run(VERDICT_S)
    assert hosts.list_quarantined() == {frozenset({"bad"})}


def test_quarantine_ends_and_its_reports_are_removed():
    hosts = Hosts(3)
    for n in range(3):
        hosts.end_upstream(f"i-{n}", {f"h{n}": make_prompt("bad", f"own{n}")})
    hosts.run(VERDICT_S)
    hosts.start("h0")
    hosts.run(_quarantine.REPORT_LIFETIME_S + 5.0)
    assert len(hosts.records.values_by_name) == 1
    hosts.now += _records.QUARANTINE_S
    hosts.run(5.0)
    assert hosts.list_quarantined() == {frozenset()}
    assert hosts.records.values_by_name == {}


def test_unchanged_observations_are_written_once():
    hosts = Hosts(9)
    hosts.end_upstream("i-1", {"h0": make_prompt("a", "own")})
    hosts.run(30.0)
    assert hosts.records.writes == 1


def test_retry_after_of_a_quarantined_prompt_is_when_the_quarantine_ends():
    block = _records.QuarantinedContent("n", make_plain("bad")[0], seen_s=10.0)
    ends_s = 10.0 + _records.QUARANTINE_S
    assert block.compute_retry_after_s(ends_s - 7.5) == 8
    assert block.compute_retry_after_s(ends_s + 7.5) == 1


def test_every_kind_of_contents_has_a_refusal_of_its_own():
    contents = [decisions.Content(kind, "bad") for kind in decisions.ContentKind]
    records = [_records.make_quarantined_content(each) for each in contents]
    kinds = {record.make_refusal(now=0.0).kind for record in records}
    assert len(kinds) == len(decisions.ContentKind)


def test_report_is_read_back_as_it_was_written():
    contents = make_prompt("a", "b", "own")
    broken = decisions.BrokenRequest("i-1@5", "p", contents, lost_s=4.0)
    sound = make_prompt("c", "own")
    report = _records.CrashReport("h0.1", (broken,), sound, seen_s=7.0)
    parsed = _records.parse_crash_record("h0.1", report.to_value(7.0), 7.0)
    assert parsed == report
    # Another host has another clock.
    parsed = _records.parse_crash_record("h0.1", report.to_value(7.0), 107.0)
    assert parsed.broken_requests[0].lost_s == 104.0


@pytest.mark.parametrize(
    "value", [None, [], {}, {"quarantined": None}, {"broken_requests": 1}]
)
def test_malformed_record_is_rejected(value):
    with pytest.raises(ValueError, match="not a crash record"):
        _records.parse_crash_record("n", value, 0.0)


def test_block_whose_quarantine_an_operator_ended_needs_new_losses():
    hosts = Hosts(3)
    for n in range(3):
        hosts.end_upstream(f"i-{n}", {f"h{n}": make_prompt("bad", f"own{n}")})
    hosts.run(VERDICT_S)
    # The report of the process before stays in the store.
    hosts.start("h0")
    hosts.run(STEP_S)
    block = decisions.Content(decisions.ContentKind.BLOCK, "bad")
    hosts.records.delete(_records.make_quarantined_content(block).name)
    hosts.run(VERDICT_S)
    assert hosts.list_quarantined() == {frozenset()}
    for n in range(2):
        hosts.end_upstream(f"j-{n}", {f"h{n}": make_prompt("bad", f"new{n}")})
    hosts.run(VERDICT_S)
    assert hosts.list_quarantined() == {frozenset()}
    hosts.end_upstream("j-2", {"h2": make_prompt("bad", "new2")})
    hosts.run(VERDICT_S)
    assert hosts.list_quarantined() == {frozenset({"bad"})}


@pytest.mark.parametrize("count", [3, 9, 40])
def test_request_is_quarantined_though_no_host_sees_it_end_two_upstreams(count):
    hosts = Hosts(count)
    for n in range(3):
        hosts.end_upstream(f"i-{n}", {f"h{n}": make_plain("bad")})
    hosts.run(3.0)
    assert hosts.list_quarantined() == {frozenset({"bad"})}


def test_sound_requests_beside_it_stay_usable_though_they_were_sent_again():
    hosts = Hosts(9)
    for n in range(3):
        lost_by_host = {
            f"h{n}": make_plain("bad"),
            # Lost at each of the three, by one host that sends it again.
            "h7": make_plain("sound"),
            f"h{n + 3}": make_plain(f"other{n}"),
        }
        hosts.end_upstream(f"i-{n}", lost_by_host)
        hosts.run(0.25)
    hosts.run(1.0)
    hosts.by_name["h8"].monitor.record_whole(make_plain("sound"), hosts.now)
    hosts.run(VERDICT_S)
    assert hosts.list_quarantined() == {frozenset({"bad"})}


def test_request_that_returns_is_quarantined_before_one_that_was_beside_it_so_far():
    hosts = Hosts(9)
    for n in range(3):
        lost_by_host = {f"h{n}": make_plain("bad"), "h7": make_plain("z sound")}
        hosts.end_upstream(f"i-{n}", lost_by_host)
    hosts.run(1.5)
    hosts.end_upstream("i-3", {"h3": make_plain("bad")})
    hosts.run(VERDICT_S)
    assert hosts.list_quarantined() == {frozenset({"bad"})}


def test_two_requests_that_end_upstreams_are_both_quarantined():
    hosts = Hosts(9)
    for n in range(3):
        hosts.end_upstream(f"i-{n}", {f"h{n}": make_plain("bad")})
        hosts.end_upstream(f"j-{n}", {f"h{n + 3}": make_plain("worse")})
    hosts.run(2 * VERDICT_S)
    assert hosts.list_quarantined() == {frozenset({"bad", "worse"})}


@pytest.mark.parametrize("make", [make_prompt, make_plain])
def test_complete_response_at_any_host_lifts_a_quarantine_that_was_wrong(make):
    hosts = Hosts(9)
    for n in range(3):
        lost = make("doc", f"own{n}") if make is make_prompt else make("doc")
        hosts.end_upstream(f"i-{n}", {f"h{n}": lost})
    hosts.run(VERDICT_S)
    assert hosts.list_quarantined() == {frozenset({"doc"})}
    # It was in progress all the while.
    in_progress = make("doc", "other") if make is make_prompt else make("doc")
    hosts.by_name["h8"].monitor.record_whole(in_progress, hosts.now)
    hosts.run(2 * STEP_S)
    assert hosts.list_quarantined() == {frozenset()}
    hosts.run(60.0)
    assert hosts.list_quarantined() == {frozenset()}


@pytest.mark.parametrize("completed_s_before", [None, 40.0])
def test_block_on_upstreams_that_are_lost_together_is_not_quarantined(
    completed_s_before,
):
    hosts = Hosts(9)
    if completed_s_before is not None:
        hosts.by_name["h8"].monitor.record_whole(make_prompt("doc", "x"), hosts.now)
        hosts.run(completed_s_before)
    lost_by_host_by_upstream = {
        f"i-{n}": {f"h{n}": make_prompt("sys", "doc", f"own{n}")} for n in range(5)
    }
    hosts.end_at_once(lost_by_host_by_upstream)
    hosts.run(VERDICT_S)
    assert hosts.list_quarantined() == {frozenset()}
    # Nor on those that are lost together a second time.
    hosts.run(20.0)
    hosts.end_at_once(lost_by_host_by_upstream)
    hosts.run(VERDICT_S)
    # The reports of all hosts are read anew.
    hosts.start("h0")
    hosts.run(VERDICT_S)
    assert hosts.records.count_verdicts() == 0


@pytest.mark.parametrize("interval_s", [0.25, 0.5, 1.0, 2.0])
def test_fatal_block_reaches_three_upstreams_at_most_after_the_bound(interval_s):
    hosts = Hosts(9)
    ends_s = []
    while len(ends_s) < 60 and hosts.list_quarantined() == {frozenset()}:
        number = len(ends_s)
        lost = make_prompt("sys", "bad", f"own{number}")
        hosts.end_at_once({f"i-{number}": {f"h{number % 9}": lost}})
        ends_s.append(hosts.now)
        # Stepping above takes a part of the interval.
        hosts.run(interval_s - STEP_S)
        sound = make_prompt("sys", f"own{number}")
        hosts.by_name["h8"].monitor.record_whole(sound, hosts.now)
    assert hosts.list_quarantined() == {frozenset({"bad"})}
    bound_s = ends_s[4] + 3.0 if len(ends_s) >= 5 else hosts.now
    assert sum(each > bound_s for each in ends_s) <= 3


def test_block_that_two_fatal_ones_share_is_not_quarantined():
    hosts = Hosts(9)
    for n in range(8):
        fatal = "bad" if n % 2 else "worse"
        lost = make_prompt("sys", fatal, f"own{n}")
        hosts.end_upstream(f"i-{n}", {f"h{n}": lost})
    hosts.run(VERDICT_S)
    assert hosts.list_quarantined() == {frozenset({"bad", "worse"})}


@pytest.mark.parametrize("interval_s", [0.5, 1.0, 2.0])
@pytest.mark.parametrize("branches", [1, 2, 3, 5])
def test_fatal_block_is_stopped_though_few_blocks_follow_it(branches, interval_s):
    hosts = Hosts(9)
    sent_s = []

    def is_refused(contents):
        crashes = hosts.by_name["h0"].views.get().crashes
        return crashes.find_quarantined(contents) is not None

    for number in range(60):
        lost = make_prompt("bad", f"doc{number % branches}", f"own{number}")
        if not is_refused(lost):
            hosts.end_at_once({f"i-{number}": {f"h{number % 9}": lost}})
            sent_s.append(hosts.now)
        hosts.run(interval_s)
    bound_s = sent_s[4] + 3.0 if len(sent_s) >= 5 else hosts.now
    assert sum(each > bound_s for each in sent_s) <= 3


def test_sound_prompts_beside_a_fatal_block_stay_usable_though_none_is_completed():
    hosts = Hosts(9)
    for n in range(5):
        hosts.end_upstream(
            f"i-{n}",
            {
                f"h{n}": make_prompt("sys", "bad", f"own{n}"),
                f"h{n + 1}": make_prompt("sys", "doc", f"p{n}"),
                f"h{n + 2}": make_prompt("sys", "doc", f"q{n}"),
            },
        )
    hosts.run(VERDICT_S)
    assert hosts.list_quarantined() == {frozenset({"bad"})}


def test_fatal_block_is_quarantined_by_the_hosts_that_reach_the_store():
    hosts = Hosts(8)
    cut_off = {f"h{n}" for n in range(0, 8, 2)}
    for name in cut_off:
        hosts.by_name[name].records = SharedRecords()
        hosts.by_name[name].records.is_available = False
    for n in range(6):
        hosts.end_upstream(f"i-{n}", {f"h{n}": make_prompt("bad", f"own{n}")})
    hosts.run(VERDICT_S)
    for name in hosts.by_name.keys() - cut_off:
        quarantined = hosts.by_name[name].views.get().crashes.quarantined_by_content
        assert {each.id for each in quarantined} == {"bad"}


def test_report_is_written_again_once_in_a_later_era():
    hosts = Hosts(3)
    hosts.end_upstream("i-0", {"h0": make_plain("bad")})
    hosts.run(1.0)
    before = dict(hosts.records.values_by_name)
    writes = hosts.records.writes
    hosts.records.values_by_name.clear()
    hosts.history.record_era(1, hosts.now)
    hosts.run(1.0)
    assert hosts.records.values_by_name.keys() == before.keys()
    assert hosts.records.writes == writes + 1


def test_report_that_was_deleted_and_is_back_is_deleted_again():
    hosts = Hosts(3)
    hosts.end_upstream("i-0", {"h0": make_plain("bad")})
    hosts.run(1.0)
    before = dict(hosts.records.values_by_name)
    assert before
    hosts.by_name["h1"].monitor.record_whole(make_plain("bad"), hosts.now)
    hosts.run(40.0)
    assert not hosts.records.values_by_name
    hosts.records.values_by_name.update(before)
    hosts.history.record_era(1, hosts.now)
    hosts.run(1.0)
    assert not hosts.records.values_by_name


def make_quarantine(count):
    hosts = Hosts(count)
    for n in range(3):
        hosts.end_upstream(f"i-{n}", {f"h{n}": make_plain("bad")})
    hosts.run(VERDICT_S)
    assert hosts.list_quarantined() == {frozenset({"bad"})}
    return hosts


@pytest.mark.parametrize("count", [3, 40])
def test_verdict_that_an_older_copy_lacks_goes_on_and_is_written_again(count):
    hosts = make_quarantine(count)
    hosts.records.values_by_name.clear()
    # What hosts report again is not enough for a verdict.
    for each in hosts.by_name.values():
        each._broken.clear()
    hosts.history.record_era(1, hosts.now)
    writes = hosts.records.writes
    for _ in range(12):
        assert hosts.list_quarantined() == {frozenset({"bad"})}
    (value,) = hosts.records.values_by_name.values()
    assert value == {"quarantined_request": "bad"}
    # A few hosts may have their turn before the first write is delivered.
    assert 1 <= hosts.records.writes - writes <= 3
    hosts.start("new")
    hosts.run(STEP_S)
    assert hosts.list_quarantined() == {frozenset({"bad"})}


def test_verdict_that_is_lifted_in_a_later_era_ends():
    hosts = make_quarantine(3)
    hosts.history.record_era(1, hosts.now)
    hosts.run(1.0)
    hosts.by_name["h1"].monitor.record_whole(make_plain("bad"), hosts.now)
    hosts.run(VERDICT_S)
    assert hosts.list_quarantined() == {frozenset()}


def test_verdict_that_a_host_disproves_as_the_copy_lacks_it_ends():
    hosts = make_quarantine(3)
    hosts.records.values_by_name.clear()
    hosts.history.record_era(1, hosts.now)
    hosts.by_name["h1"].monitor.record_whole(make_plain("bad"), hosts.now)
    for _ in range(16):
        hosts.now += STEP_S
        for each in hosts.by_name.values():
            hosts.records.deliver(each.views, hosts.now, hosts.history.era)
        for each in hosts.by_name.values():
            each.step(hosts.now)
    assert hosts.list_quarantined() == {frozenset()}


@pytest.mark.parametrize("is_in_copy", [False, True])
@pytest.mark.parametrize("count", [3, 9])
def test_verdict_that_all_hosts_disprove_in_a_later_era_ends(count, is_in_copy):
    hosts = make_quarantine(count)
    if not is_in_copy:
        hosts.records.values_by_name.clear()
    hosts.history.record_era(1, hosts.now)
    deleted = []
    delete = hosts.records.delete
    hosts.records.delete = lambda name: deleted.append(name) or delete(name)
    for each in hosts.by_name.values():
        each.monitor.record_whole(make_plain("bad"), hosts.now)
    # The first step is before the list of the new era is delivered.
    for each in hosts.by_name.values():
        each.step(hosts.now)
    hosts.run(STEP_S)
    for _ in range(200):
        assert hosts.list_quarantined() == {frozenset()}
    assert not hosts.records.values_by_name
    verdict = _records.make_quarantined_content(make_plain("bad")[0])
    assert deleted.count(verdict.name) <= (count if is_in_copy else 0)
