"""Writes the state of rollouts of software versions, by one host at a time."""

import attrs
import loguru
import pykka

from sycamorespoke import clients, rollouts
from sycamorespoke.gateway import _orders, _task_messages

LEASE_NAME = "rollouts"
# Conflicts in a row after which a write waits for the next step.
MAX_CONFLICTS = 3


class RolloutStates(pykka.ThreadingActor):
    """Holds the lease of the task while rollouts are under way; writes their state.

    The host that holds the lease also judges, see `rollouts.RolloutExchange`.

    Parameters
    ----------
    task_lease : TaskLease
        Lease of the task.
    known : rollouts.Rollouts
        What this host knows of the rollouts.
    writer : object
        Has ``write(order, state)``, which returns a `clients.WriteResult`.
    """

    use_daemon_thread = True

    def __init__(self, task_lease, known, writer):
        super().__init__()
        self.task_lease = task_lease
        self.known = known
        self.writer = writer

    def on_receive(self, message):
        """Handle a `Tick`, a `Stop` or a `LeaseUpdate`."""
        try:
            if isinstance(message, _orders.LeaseUpdate):
                self.task_lease.observe(message)
                return
            if isinstance(message, _task_messages.Stop):
                self.task_lease.set_stopping(message.release_at_s)
            self.step(message.now)
        except Exception:
            loguru.logger.exception("rollout step failed")

    def step(self, now):
        """Acquire or renew the lease and write the states that the store lacks.

        A host that stops hands the task over instead if it must.

        Parameters
        ----------
        now : float
            Current time, seconds of the boot clock.
        """
        if self.task_lease.must_hand_over(now):
            self.task_lease.release({}, now)
            return
        pending = self.known.list_pending()
        if not pending:
            self.task_lease.set_idle()
            return
        if not self.task_lease.try_acquire("", now):
            return
        for order in pending:
            state = self.known.get_end(order.id) or rollouts.RolloutState.RUNNING
            if order.state is not state:
                self._write(order, state, now)

    def _write(self, order, state, now):
        for _ in range(MAX_CONFLICTS):
            if not self.task_lease.is_held():
                return
            result = self.writer.write(order, state)
            _log_written(order, state, result)
            if result.outcome is clients.WriteOutcome.APPLIED:
                self._record_written(order, state, result.stored, now)
                return
            if result.outcome is not clients.WriteOutcome.CONFLICT:
                return
            order = self._adopt(order, result.stored, now)
            if order is None:
                return

    def _record_written(self, order, state, stored, now):
        if stored is not None and stored.id != order.id:
            # A later era of the store gave the revision to another order.
            self.known.record_order(stored, now)
            return
        revision = stored.revision if stored else order.revision
        written = attrs.evolve(order, state=state, revision=revision)
        self.known.record_order(written, now)

    def _adopt(self, order, stored, now):
        """Return the changed order if its state is still to be written."""
        if stored is None:
            return None
        self.known.record_order(stored, now)
        is_same = stored.id == order.id and not stored.is_ended
        return stored if is_same else None


def _log_written(order, state, result):
    loguru.logger.bind(
        service=order.id.service,
        software_version=order.id.version,
        state=state.value,
        outcome=result.outcome.value,
        reason=result.reason,
    ).info("rollout status written")
