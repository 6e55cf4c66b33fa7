"""Puts blocks of prompts that end upstreams into quarantine, for all hosts together.

No host sees enough of a block by itself. Each writes what it has seen into one shared
object, reads those of the others, and one of them writes the verdict.
"""

import collections
import math
import secrets
import threading

import loguru

from sycamorespoke import decisions, serving
from sycamorespoke.gateway import _crash_records

MIN_INTERVAL_S = 0.25
# All hosts together write at most this many reports per second.
MAX_REPORTS_PER_S = 300.0
# Before a verdict, other hosts have time to report that a block is sound: two rounds
# of reports and the delivery of the changes.
ROUNDS_BEFORE_VERDICT = 2
DELIVERY_S = 0.5
MAX_REPORTED_PROMPTS = 100
REPORT_LIFETIME_S = 600.0
QUARANTINE_S = 3600.0
PROCESS_NUMBER_BYTES = 4


class Quarantine:
    """Shares what this host has seen and decides on blocks; used by one thread.

    Parameters
    ----------
    host : str
        Name of this host.
    views : Views
        View with the reports of all hosts.
    monitor : CrashMonitor
        Observes upstreams that end.
    records : object
        Has ``write(name, value)`` and ``delete(name)``, which return whether the
        source confirmed the change.
    """

    def __init__(self, host, views, monitor, records):
        self.host = host
        self.views = views
        self.monitor = monitor
        self.records = records
        # An object of its own for each process, so that a restart keeps what the
        # previous one has reported.
        self.report_name = f"{host}.{secrets.token_hex(PROCESS_NUMBER_BYTES)}"
        self._broken = collections.deque(maxlen=MAX_REPORTED_PROMPTS)
        self._written = None
        self._suspected_since_s_by_block = {}
        self._quarantined_blocks = frozenset()
        self._lifted_s_by_block = {}

    def start(self, stop_requested):
        """Run `step` in a background thread until ``stop_requested`` is set."""
        threading.Thread(
            target=self._run, args=(stop_requested,), name="quarantine", daemon=True
        ).start()

    def step(self, now):
        """Collect, report and decide once, at ``now``, seconds of the boot clock."""
        view = self.views.get()
        self._handle_lifted(view, now)
        for broken in self.monitor.collect(now):
            self._broken.append((now, broken))
        sound_blocks = self._find_sound_blocks(view, now)
        self._discard_old(now)
        self._discard_blocks(sound_blocks)
        self._report(view, now)
        self._decide(view, sound_blocks, now)
        self._remove_expired(view, now)

    def _run(self, stop_requested):
        while not stop_requested.wait(self._interval_s()):
            try:
                self.step(serving.read_clock())
            except Exception:
                loguru.logger.exception("quarantine step failed")

    def _interval_s(self):
        return max(MIN_INTERVAL_S, len(self.views.get().hosts) / MAX_REPORTS_PER_S)

    def _handle_lifted(self, view, now):
        """Forget what spoke against blocks whose quarantine has ended."""
        blocks = frozenset(view.quarantined_by_block)
        lifted = self._quarantined_blocks - blocks
        self._quarantined_blocks = blocks
        self._lifted_s_by_block.update(dict.fromkeys(lifted, now))
        self._discard_blocks(lifted)

    def _list_reported_by_others(self, view):
        """Return the observations of other processes, without lifted blocks."""
        reported = []
        for report in view.crash_reports:
            if report.name == self.report_name:
                continue
            lifted = {
                block
                for block, lifted_s in self._lifted_s_by_block.items()
                if report.seen_s <= lifted_s
            }
            reported += decisions.discard_blocks(report.broken_prompts, lifted)
        return reported

    def _list_broken_prompts(self, view):
        """Return the observations of all hosts, including new ones of this host."""
        own = [broken for _, broken in self._broken]
        return self._list_reported_by_others(view) + own

    def _find_sound_blocks(self, view, now):
        """Return the suspected blocks that this or another host knows as sound."""
        suspected = _list_blocks(self._list_broken_prompts(view))
        sound_blocks = self.monitor.sound_blocks.select(suspected, now)
        for report in view.crash_reports:
            if report.name != self.report_name:
                sound_blocks.update(report.sound_blocks)
        return sound_blocks

    def _discard_old(self, now):
        while self._broken and now - self._broken[0][0] > REPORT_LIFETIME_S:
            self._broken.popleft()

    def _discard_blocks(self, blocks):
        remaining = [
            (seen_s, each)
            for seen_s, broken in self._broken
            for each in decisions.discard_blocks([broken], blocks)
        ]
        self._broken.clear()
        self._broken.extend(remaining)

    def _report(self, view, now):
        suspected_by_others = _list_blocks(self._list_reported_by_others(view))
        report = _crash_records.CrashReport(
            self.report_name,
            tuple(broken for _, broken in self._broken),
            tuple(sorted(self.monitor.sound_blocks.select(suspected_by_others, now))),
        )
        is_empty = not report.broken_prompts and not report.sound_blocks
        if report == self._written or (is_empty and self._written is None):
            return
        if is_empty:
            self._written = None if self.records.delete(report.name) else self._written
        elif self.records.write(report.name, report.to_value()):
            self._written = report

    def _decide(self, view, sound_blocks, now):
        block = decisions.find_fatal_block(
            self._list_broken_prompts(view), sound_blocks, view.quarantined_by_block
        )
        if block is None:
            self._suspected_since_s_by_block.clear()
            return
        if block not in self._suspected_since_s_by_block:
            self._suspected_since_s_by_block[block] = now
            loguru.logger.bind(block=block).info("block suspected")
        for sound in sound_blocks & self._suspected_since_s_by_block.keys():
            del self._suspected_since_s_by_block[sound]
        since_s = self._suspected_since_s_by_block[block]
        wait_s = ROUNDS_BEFORE_VERDICT * self._interval_s() + DELIVERY_S
        if now - since_s >= wait_s + self._compute_turn_s(view, block):
            record = _crash_records.make_quarantined_block(block)
            is_written = self.records.write(record.name, record.to_value())
            loguru.logger.bind(block=block, written=is_written).info(
                "block quarantined"
            )

    def _remove_expired(self, view, now):
        expired = [
            each.name
            for each in view.crash_reports
            if each.name != self.report_name
            and self._is_expired(view, each, REPORT_LIFETIME_S, now)
        ]
        expired += [
            each.name
            for each in view.quarantined_by_block.values()
            if self._is_expired(view, each, QUARANTINE_S, now)
        ]
        for name in expired:
            self.records.delete(name)

    def _is_expired(self, view, item, lifetime_s, now):
        return now - item.seen_s >= lifetime_s + self._compute_turn_s(view, item.name)

    def _compute_turn_s(self, view, key):
        """Return how long this host waits so that not all write the same."""
        return decisions.compute_acquire_delay_s(self.host, view.hosts, "", key)


def _list_blocks(broken_prompts):
    return {block for broken in broken_prompts for block in broken.blocks}


def compute_retry_after_s(quarantined, now):
    """Return after how many seconds a quarantine ends, 1 or more.

    Parameters
    ----------
    quarantined : QuarantinedBlock
        The block.
    now : float
        Current time, seconds of the boot clock.
    """
    return max(math.ceil(quarantined.seen_s + QUARANTINE_S - now), 1)
