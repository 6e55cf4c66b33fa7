"""Orders one engine to load a weight version and waits until it has."""

import threading

import loguru

from sycamorespoke import decisions, objects, serving
from sycamorespoke.gateway import _orders

POLL_S = 0.15
LOAD_TIMEOUT_S = 5.0
# An accepted order is visible in the engine's report within this time.
REPORT_LAG_S = 0.4


class WeightLoad:
    """Orders one engine to load the target version and waits until it has.

    Parameters
    ----------
    rollout : WeightRollout
        Rollout that the load belongs to.
    upstream : Upstream
        The engine.
    model : str
        Name of the model.
    fencing_number : int
        Fencing number of the lease under which the orders are sent.

    Attributes
    ----------
    is_unanswered : bool
        Whether the last order had no response and the engine does not report that it
        loads. Such a load does not count among those that may run at once.
    """

    def __init__(self, rollout, upstream, model, fencing_number):
        self.rollout = rollout
        self.upstream = upstream
        self.model = model
        self.fencing_number = fencing_number
        self.is_unanswered = False
        self._ordered_s = None
        self._unanswered_s = None
        self._pause = threading.Event()

    def may_be_running(self, now):
        """Return whether an unanswered order may have been accepted at ``now``.

        It is not known yet, since reports are some hundred milliseconds old.
        """
        if not self.is_unanswered:
            return False
        return now - self._unanswered_s < REPORT_LAG_S

    def run(self):
        """Send orders and poll reports until the engine has the target version.

        Returns
        -------
        bool
            Whether the engine has it. Otherwise the load is to be tried again later.
        """
        deadline_s = serving.read_clock() + LOAD_TIMEOUT_S
        while serving.read_clock() < deadline_s:
            if self._is_barred():
                return False
            report = self.rollout.engines.read_report(self.upstream)
            self._record_statements(report.statements)
            if isinstance(report, objects.Unavailable):
                self._log("engine does not report", reason=report.reason)
                return False
            if report.statements.is_leaving:
                self._log("engine leaving")
                return False
            target_version = self._get_target_version()
            loaded_version = report.versions_by_model.get(self.model, 0)
            if loaded_version >= target_version:
                self.rollout.record_loaded(self.upstream, self.model, loaded_version)
                self._log("engine has the version", version=loaded_version)
                return True
            if self._may_send_order(report) and not self._send_order(
                report, target_version
            ):
                return False
            self._pause.wait(POLL_S)
        self._log("engine load timed out", version=self._get_target_version())
        return False

    def _get_target_version(self):
        target = (self.rollout.views.get().targets_by_model or {}).get(self.model)
        return target.version if target else 0

    def _may_send_order(self, report):
        if report.is_loading:
            self.is_unanswered = False
            return False
        now = serving.read_clock()
        return self._ordered_s is None or now - self._ordered_s >= REPORT_LAG_S

    def _send_order(self, report, version):
        """Send the order; return whether to continue the load.

        An order that follows an unanswered one waits until another load may run.
        """
        # Checked immediately before the order, since the host may have been suspended.
        now = serving.read_clock()
        if not self.rollout.running_loads.try_count(self, now):
            return True
        if not self._is_lease_held() or self._is_barred():
            return False
        order = _orders.VersionOrder(
            self.model, version, self.fencing_number, report.orders
        )
        sent_orders = self.rollout.sent_orders
        if not sent_orders.begin(self.upstream.boot_id, now):
            return False
        try:
            result = self.rollout.engines.order_version(self.upstream, order)
        finally:
            sent_orders.end(self.upstream.boot_id, serving.read_clock())
        self._record_statements(result.statements)
        outcome = result.outcome
        self._log(
            "engine ordered",
            version=version,
            fencing_number=self.fencing_number,
            after_orders=report.orders,
            outcome=outcome.value,
        )
        if outcome is _orders.OrderOutcome.FENCED:
            self.rollout.task_lease.discard()
            return False
        if outcome is _orders.OrderOutcome.UNKNOWN:
            self._unanswered_s = serving.read_clock()
            self.is_unanswered = True
            self.rollout.wake()
        if outcome is _orders.OrderOutcome.ACCEPTED:
            self._ordered_s = now
        return outcome is not _orders.OrderOutcome.REFUSED

    def _is_lease_held(self):
        """Return whether the lease under which this load began is still held."""
        task_lease = self.rollout.task_lease
        return task_lease.is_held() and task_lease.fencing_number == self.fencing_number

    def _is_barred(self):
        now = serving.read_clock()
        obstacle = self.rollout.gate.find_bar(
            self.upstream, now, decisions.Purpose.ORDER
        )
        if obstacle is None:
            return False
        self._log("engine load held", obstacle=obstacle.value)
        return True

    def _record_statements(self, statements):
        if statements is None:
            return
        now = serving.read_clock()
        self.rollout.recorder.record(
            self.upstream, statements, now, self._log_statement, ends_rate_limit=False
        )

    def _log_statement(self, event, upstream, **fields):
        self._log(event, **fields)

    def _log(self, event, **fields):
        loguru.logger.bind(upstream=self.upstream.id, model=self.model, **fields).info(
            event
        )
