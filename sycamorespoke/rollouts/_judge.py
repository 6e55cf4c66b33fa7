"""Judges rollouts from the reports of all hosts, at the host that holds the task."""

import collections
import threading

import attrs
import loguru

from sycamorespoke import messages
from sycamorespoke.rollouts import (
    _host_rollout,
    _orders,
    _phases,
    _reports,
    _timing,
    _verdict,
)

WINDOWS_S = (2.0, 4.0, float("inf"))
# Interval of the evidence that is kept for the windows.
SNAPSHOT_S = 0.25
# A new holder decides no end from evidence that may lack most of the hosts.
FIRST_REPORTS_S = 1.0
FIRST_INTERVALS = 2
# A judge that was not asked to decide for longer than this, or for so many intervals,
# did not hold the task.
MAX_STEP_S = 1.0
MAX_STEP_INTERVALS = 3
# Reports of connections lost at one upstream within this time are one failure.
LOST_TOGETHER_S = 0.5


@attrs.define
class JudgedRollout:
    """A rollout as its judge knows it.

    Parameters
    ----------
    id : RolloutId
        Identifies the rollout.
    since_s : float
        When this host began to judge it, seconds of the boot clock.
    """

    id: _orders.RolloutId
    since_s: float
    end: _orders.RolloutState | None = None
    moving_since_s: float | None = None
    finding: _verdict.Finding | None = None
    wanted_routes: list = attrs.field(factory=list)
    stepped_s: float = float("-inf")
    # Each is a report and the time at which it was received.
    reports_by_boot: dict = attrs.field(factory=dict)
    _lost_s_by_boot: dict = attrs.field(factory=dict)
    _lost_events: dict = attrs.field(factory=collections.Counter)
    _snapshots: collections.deque = attrs.field(factory=collections.deque)

    def receive(self, report, now):
        """Record a report of one host at ``now``."""
        key = report.host, report.boot_id
        previous, _ = self.reports_by_boot.get(key, (None, 0.0))
        self._count_lost(previous, report, now)
        self.reports_by_boot[key] = report, now
        if self.end is not _orders.RolloutState.ROLLED_BACK:
            self.end = _orders.RolloutState.parse_end(report.end) or self.end

    def adopt_move(self, report, duration_s, share, now):
        """Continue a move that another host began to order."""
        if report.is_moving and self.moving_since_s is None:
            moving_s = _phases.compute_moving_s(share, report.fraction, duration_s)
            self.moving_since_s = now - moving_s

    def compute_age_s(self, now):
        """Compute the age of the order: the host that knows it longest tells."""
        ages_s = [
            report.known_s + now - received_s
            for report, received_s in self.reports_by_boot.values()
        ]
        return max(ages_s, default=0.0)

    def is_drained(self, hosts):
        """Return whether all hosts report that the old version serves no request."""
        latest_by_host = {}
        for report, received_s in self.reports_by_boot.values():
            known = latest_by_host.get(report.host)
            if known is None or known[1] < received_s:
                latest_by_host[report.host] = report, received_s
        return all(
            name in latest_by_host
            and latest_by_host[name][0].fraction >= 1.0
            and latest_by_host[name][0].old_in_flight == 0
            for name in hosts
        )

    def sum_evidence(self):
        """Return the outcomes that all hosts have reported, as `Evidence`."""
        by_route_by_side = {True: {}, False: {}}
        for report, _ in self.reports_by_boot.values():
            for tally in report.tallies:
                by_route = by_route_by_side[tally.is_trial]
                known = by_route.get(tally.route, _verdict.Tally())
                by_route[tally.route] = known + _verdict.Tally(
                    tally.requests, tally.bad
                )
        return _host_rollout.make_evidence(
            by_route_by_side[True],
            by_route_by_side[False],
            self._lost_events[True],
            self._lost_events[False],
        )

    def find_bad(self, evidence, now):
        """Return the first `Finding` of the windows that end at ``now``, if any."""
        for window_s in WINDOWS_S:
            earlier = _verdict.Evidence()
            for snapshot_s, snapshot in self._snapshots:
                if snapshot_s <= now - window_s:
                    earlier = snapshot
            finding = _verdict.find_bad(evidence.subtract(earlier), evidence)
            if finding is not None:
                return finding
        return None

    def keep_snapshot(self, evidence, now):
        """Keep evidence for later windows."""
        snapshots = self._snapshots
        if snapshots and now - snapshots[-1][0] < SNAPSHOT_S:
            return
        snapshots.append((now, evidence))
        while len(snapshots) > 1 and now - snapshots[1][0] >= WINDOWS_S[-2]:
            snapshots.popleft()

    def _count_lost(self, previous, report, now):
        for is_trial, name in (
            (True, "trial_lost_by_boot"),
            (False, "old_lost_by_boot"),
        ):
            known = getattr(previous, name, None) or {}
            for boot_id, count in getattr(report, name).items():
                last_s = self._lost_s_by_boot.get(boot_id, float("-inf"))
                if count > known.get(boot_id, 0) and now - last_s >= LOST_TOGETHER_S:
                    self._lost_s_by_boot[boot_id] = now
                    self._lost_events[is_trial] += 1


class Judge:
    """Judges the rollouts while this host holds the task; thread-safe.

    Parameters
    ----------
    limits : Limits
        Limits on the use of a version on trial.
    """

    def __init__(self, limits):
        self.limits = limits
        self._lock = threading.Lock()
        self._judged_by_id = {}

    def receive(self, report, duration_s, now):
        """Record a report and return what its host is to do.

        Parameters
        ----------
        report : messages.RolloutReport
            Report of a host.
        duration_s : float
            Allowed duration of the rollout, seconds.
        now : float
            Current time, seconds of the boot clock.

        Returns
        -------
        messages.RolloutReply
            Reply of the holder of the task, without its name.
        """
        rollout_id = _orders.RolloutId(report.service, report.version, report.created)
        with self._lock:
            judged = self._judged_by_id.get(rollout_id)
            if judged is None:
                judged = JudgedRollout(rollout_id, now)
                self._judged_by_id[rollout_id] = judged
            judged.receive(report, now)
            judged.adopt_move(report, duration_s, self.limits.share, now)
            return self._make_reply(judged, duration_s, now)

    def retain(self, rollout_ids):
        """Forget all rollouts but these."""
        with self._lock:
            for rollout_id in self._judged_by_id.keys() - set(rollout_ids):
                del self._judged_by_id[rollout_id]

    def step(self, order, hosts, now):
        """Decide how a rollout goes on; called only while this host holds the task.

        Parameters
        ----------
        order : RolloutOrder
            The order.
        hosts : collection of str
            Names of the registered entry hosts.
        now : float
            Current time, seconds of the boot clock.
        """
        with self._lock:
            judged = self._judged_by_id.get(order.id)
            if judged is None:
                return
            self._note_gap(judged, len(hosts), now)
            if judged.end is None:
                self._decide(judged, order, hosts, now)

    def _note_gap(self, judged, host_count, now):
        gap_s = now - judged.stepped_s
        judged.stepped_s = now
        interval_s = _timing.compute_report_interval_s(host_count)
        if gap_s <= max(MAX_STEP_S, MAX_STEP_INTERVALS * interval_s):
            return
        judged.since_s = now
        if judged.moving_since_s is not None and gap_s < float("inf"):
            judged.moving_since_s += gap_s

    def _decide(self, judged, order, hosts, now):
        evidence = judged.sum_evidence()
        judged.finding = judged.find_bad(evidence, now)
        judged.keep_snapshot(evidence, now)
        judged.wanted_routes = _verdict.list_wanted_routes(evidence)
        facts = _phases.Facts(
            age_s=judged.compute_age_s(now),
            duration_s=order.duration_s,
            moving_s=_compute_moving_s(judged, now),
            is_bad=judged.finding is not None,
            has_enough=_verdict.has_enough(evidence),
            has_some=_verdict.has_enough(evidence, needs_all_routes=False),
            is_drained=judged.is_drained(hosts),
        )
        interval_s = _timing.compute_report_interval_s(len(hosts))
        first_s = max(FIRST_REPORTS_S, FIRST_INTERVALS * interval_s)
        if not facts.is_bad and now - judged.since_s < first_s:
            return
        if _phases.should_move(facts):
            judged.moving_since_s = now
            _log("rollout moves", judged.id, facts, evidence, None)
            return
        judged.end = _phases.decide_end(facts)
        if judged.end is not None:
            _log("rollout verdict", judged.id, facts, evidence, judged)

    def _make_reply(self, judged, duration_s, now):
        moving_s = _compute_moving_s(judged, now)
        fraction = 0.0
        if moving_s is not None:
            share = self.limits.share
            fraction = _phases.compute_fraction(share, moving_s, duration_s)
        return messages.RolloutReply(
            judged.id.service,
            judged.id.version,
            judged.id.created,
            holder="",
            is_holder=True,
            end=judged.end.value if judged.end else "",
            is_moving=moving_s is not None,
            fraction=fraction,
            wanted_routes=judged.wanted_routes,
        )


def _compute_moving_s(judged, now):
    if judged.moving_since_s is None:
        return None
    return now - judged.moving_since_s


def _log(event, rollout_id, facts, evidence, judged):
    fields = {}
    if judged is not None:
        fields["state"] = judged.end.value
        if judged.finding is not None:
            fields.update(_reports.describe_finding(judged.finding))
    loguru.logger.bind(
        service=rollout_id.service,
        software_version=rollout_id.version,
        age_s=round(facts.age_s, 3),
        trial=attrs.asdict(evidence.sum_trial()),
        old=attrs.asdict(evidence.sum_old()),
        has_enough=facts.has_enough,
        is_drained=facts.is_drained,
        **fields,
    ).info(event)
