"""Puts contents that end upstreams into quarantine, for all hosts together.

No host sees enough of them by itself. Each writes what it has seen into one shared
object, reads those of the others, and one of them writes the verdict.
"""

import collections
import secrets
import threading

import loguru

from sycamorespoke import clients, decisions, serving
from sycamorespoke.quarantine import _records

MIN_INTERVAL_S = 0.25
# All hosts together write at most this many reports per second.
MAX_REPORTS_PER_S = 300.0
# Before a verdict, other hosts have time to report that contents are sound: two rounds
# of reports and the delivery of the changes.
ROUNDS_BEFORE_VERDICT = 2
DELIVERY_S = 0.5
# Time in which a complete response or the end of another upstream may decide between
# requests with equal evidence.
CONTEST_S = 2.0
MAX_REPORTED_REQUESTS = 100
REPORT_LIFETIME_S = 600.0
PROCESS_NUMBER_BYTES = 4


class Quarantine:
    """Shares what this host has seen and decides on contents; used by one thread.

    Parameters
    ----------
    host : str
        Name of this host.
    views : object
        Has ``get()``, whose result has the names of all ``hosts`` and the
        `CrashRecords` ``crashes``; with a history that tells eras, also
        ``discard_lost(contents)``, which ends quarantines that the store may lack.
    monitor : CrashMonitor
        Observes upstreams that end.
    records : object
        Has ``write(name, value)`` and ``delete(name)``, which return whether the
        source confirmed the change.
    history : clients.StoreHistory or None, default=None
        Tells the era of the store; what an earlier one had confirmed may be lost.
    """

    def __init__(self, host, views, monitor, records, history=None):
        self.host = host
        self.views = views
        self.monitor = monitor
        self.records = records
        # An object of its own for each process, so that a restart keeps what the
        # previous one has reported.
        self.report_name = f"{host}.{secrets.token_hex(PROCESS_NUMBER_BYTES)}"
        self._broken = collections.deque(maxlen=MAX_REPORTED_REQUESTS)
        self.history = history or clients.StoreHistory()
        self._written = None
        self._written_era = 0
        # Since when quarantines are known that the store may lack.
        self._lost_since_s_by_content = {}
        self._suspected_since_s_by_content = {}
        self._quarantined_contents = frozenset()
        self._lifted_s_by_content = {}
        self._judged_evidence = None
        self._suspicion = None

    def start(self, stop_requested, prepare=lambda now: None):
        """Run `step` in a background thread until ``stop_requested`` is set.

        Parameters
        ----------
        stop_requested : threading.Event
            Ends the thread.
        prepare : callable, optional
            Called with the current time before each step, to update the views.
        """
        threading.Thread(
            target=self._run,
            args=(stop_requested, prepare),
            name="quarantine",
            daemon=True,
        ).start()

    def step(self, now):
        """Collect, report and decide once, at ``now``, seconds of the boot clock."""
        view = self.views.get()
        self._handle_lifted(view, now)
        for broken in self.monitor.collect(now):
            self._broken.append((now, broken))
        sound_contents = self._find_sound_contents(view, now)
        self._discard_old(now)
        self._discard_contents(sound_contents)
        self._report(view, now)
        self._decide(view, sound_contents, now)
        self._lift_disproved(view, now)
        self._write_lost(view, now)
        self._remove_expired(view, now)

    def _run(self, stop_requested, prepare):
        while not stop_requested.wait(self._interval_s()):
            try:
                prepare(serving.read_clock())
                self.step(serving.read_clock())
            except Exception:
                loguru.logger.exception("quarantine step failed")

    def _interval_s(self):
        return max(MIN_INTERVAL_S, len(self.views.get().hosts) / MAX_REPORTS_PER_S)

    def _handle_lifted(self, view, now):
        """Forget what spoke against contents whose quarantine has ended."""
        contents = frozenset(view.crashes.quarantined_by_content)
        lifted = self._quarantined_contents - contents
        self._quarantined_contents = contents
        self._lifted_s_by_content.update(dict.fromkeys(lifted, now))
        self._discard_contents(lifted)

    def _list_reported_by_others(self, view):
        """Return the observations of other processes, without lifted contents."""
        reported = []
        for report in view.crashes.reports:
            if report.name == self.report_name:
                continue
            lifted = {
                content
                for content, lifted_s in self._lifted_s_by_content.items()
                if report.seen_s <= lifted_s
            }
            reported += decisions.discard_contents(report.broken_requests, lifted)
        return reported

    def _list_broken_requests(self, view):
        """Return the observations of all hosts, including new ones of this host."""
        own = [broken for _, broken in self._broken]
        return self._list_reported_by_others(view) + own

    def _find_sound_contents(self, view, now):
        """Return the suspected contents that some host knows as sound."""
        suspected = _list_contents(self._list_broken_requests(view))
        sound_contents = self.monitor.sound_contents.select(suspected, now)
        for report in view.crashes.reports:
            if report.name != self.report_name:
                sound_contents.update(report.sound_contents)
        return sound_contents

    def _discard_old(self, now):
        while self._broken and now - self._broken[0][0] > REPORT_LIFETIME_S:
            self._broken.popleft()

    def _discard_contents(self, contents):
        remaining = [
            (seen_s, each)
            for seen_s, broken in self._broken
            for each in decisions.discard_contents([broken], contents)
        ]
        self._broken.clear()
        self._broken.extend(remaining)

    def _report(self, view, now):
        suspected_by_others = _list_contents(self._list_reported_by_others(view))
        report = _records.CrashReport(
            self.report_name,
            tuple(broken for _, broken in self._broken),
            self._list_known_sound(suspected_by_others, now),
        )
        is_empty = not report.broken_requests and not report.sound_contents
        era = self.history.era
        if is_empty and self._written is None:
            return
        if report == self._written and era == self._written_era:
            return
        if is_empty:
            is_done = self.records.delete(report.name)
        else:
            is_done = self.records.write(report.name, report.to_value(now))
        if is_done:
            self._written, self._written_era = report, era

    def _list_known_sound(self, contents, now):
        sound = self.monitor.sound_contents.select(contents, now)
        return tuple(sorted(sound, key=lambda each: (each.kind.value, each.id)))

    def _decide(self, view, sound_contents, now):
        suspicion = self._find_suspicion(view, sound_contents)
        if suspicion is None:
            self._suspected_since_s_by_content.clear()
            return
        content = suspicion.content
        if content not in self._suspected_since_s_by_content:
            self._suspected_since_s_by_content[content] = now
            _log_content("suspected", content)
        for sound in sound_contents & self._suspected_since_s_by_content.keys():
            del self._suspected_since_s_by_content[sound]
        since_s = self._suspected_since_s_by_content[content]
        record = _records.make_quarantined_content(content)
        wait_s = ROUNDS_BEFORE_VERDICT * self._interval_s() + DELIVERY_S
        if suspicion.is_contested:
            wait_s += CONTEST_S
        if now - since_s >= wait_s + self._compute_turn_s(view, record.name):
            is_written = self.records.write(record.name, record.to_value())
            _log_content("quarantined", content, written=is_written)

    def _find_suspicion(self, view, sound_contents):
        """Return the suspicion, which is computed only if the evidence has changed."""
        evidence = (
            self._list_broken_requests(view),
            sound_contents,
            view.crashes.quarantined_by_content.keys(),
        )
        if evidence != self._judged_evidence:
            self._judged_evidence = evidence
            self._suspicion = decisions.find_fatal_content(*evidence)
        return self._suspicion

    def _lift_disproved(self, view, now):
        """End the quarantine of contents on which this host saw a whole response."""
        quarantined = view.crashes.quarantined_by_content
        disproved = self.monitor.sound_contents.select(quarantined, now)
        # Of these, what the store holds is delivered again, and then deleted.
        lost = disproved & self._list_lost(view).keys()
        if lost:
            self.views.discard_lost(lost)
        for content in lost:
            _log_content("lost quarantine disproved", content)
        for content in disproved - lost:
            is_lifted = self.records.delete(quarantined[content].name)
            _log_content("quarantine disproved", content, written=is_lifted)

    def _write_lost(self, view, now):
        """Write quarantines again that a later era of the store may lack."""
        lost = self._list_lost(view)
        for content in self._lost_since_s_by_content.keys() - lost.keys():
            del self._lost_since_s_by_content[content]
        disproved = self.monitor.sound_contents.select(lost, now)
        for content in lost.keys() - disproved:
            name = lost[content].name
            since_s = self._lost_since_s_by_content.setdefault(content, now)
            if now - since_s < DELIVERY_S + self._compute_turn_s(view, name):
                continue
            # Not before the next turn, by when the change has been delivered.
            self._lost_since_s_by_content[content] = now
            is_written = self.records.write(name, lost[content].to_value())
            _log_content("quarantine written again", content, written=is_written)

    def _list_lost(self, view):
        """Return the quarantines that were last seen in an earlier era."""
        return {
            content: each
            for content, each in view.crashes.quarantined_by_content.items()
            if each.is_of_earlier_era(self.history.era)
        }

    def _remove_expired(self, view, now):
        expired = [
            each.name
            for each in view.crashes.reports
            if each.name != self.report_name
            and self._is_expired(view, each, REPORT_LIFETIME_S, now)
        ]
        expired += [
            each.name
            for content, each in view.crashes.quarantined_by_content.items()
            # One that the store may lack is written again first.
            if content not in self._lost_since_s_by_content
            and self._is_expired(view, each, _records.QUARANTINE_S, now)
        ]
        for name in expired:
            self.records.delete(name)

    def _is_expired(self, view, item, lifetime_s, now):
        return now - item.seen_s >= lifetime_s + self._compute_turn_s(view, item.name)

    def _compute_turn_s(self, view, key):
        """Return how long this host waits so that not all write the same."""
        return decisions.compute_acquire_delay_s(self.host, view.hosts, "", key)


def _list_contents(broken_requests):
    return {content for broken in broken_requests for content in broken.contents}


def _log_content(event, content, **fields):
    """Log an event whose line starts with the kind of the contents."""
    kind = content.kind.value
    loguru.logger.bind(**{kind: content.id}, **fields).info(f"{kind} {event}")
