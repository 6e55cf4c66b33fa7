"""Tasks that one host at a time performs for all, from its start to its end."""

import threading

import loguru
import pykka

from sycamorespoke import serving
from sycamorespoke.gateway import (
    _retirement,
    _rollout_states,
    _task_lease,
    _task_messages,
    _weight_rollout,
)

MS_PER_S = 1000.0
# Interval of the ticks during a shutdown.
TICK_S = 0.1
# A lease is released this long before the process must have ended, if it still has
# to be then: longer than a write to the store usually takes.
RELEASE_LEAD_S = 1.0
# Bound on what the release adds to a shutdown that ends early.
RELEASE_TIMEOUT_S = 0.3


class HostTasks:
    """Actors of the tasks that need a lease, and these leases.

    Parameters
    ----------
    gateway_settings : settings.GatewaySettings
        Validated settings.
    deployment : Deployment
        Clients of the platform.
    views : Views
        Current view of the deployment.
    table : UpstreamTable
        States of the upstreams.
    block_planner : BlockPlanner
        Indexes of the block stores.
    rollouts : rollouts.Rollouts or None, default=None
        What this host knows of rollouts of software versions, if they are followed.
    """

    def __init__(
        self,
        gateway_settings,
        deployment,
        views,
        table,
        block_planner,
        rollouts=None,
    ):
        def make_lease(name):
            return _task_lease.TaskLease(
                name,
                gateway_settings.name,
                views,
                deployment.leases,
                serving.read_clock,
                gateway_settings.lease_ms / MS_PER_S,
                deployment.source.history,
            )

        self.leases_by_name = {
            name: make_lease(name)
            for name in (_weight_rollout.LEASE_NAME, _retirement.LEASE_NAME)
        }
        rollout_lease, retirement_lease = self.leases_by_name.values()
        self.actors_by_lease = {
            _weight_rollout.LEASE_NAME: _weight_rollout.WeightRollout.start(
                rollout_lease, views, table, deployment.leases, deployment.engines
            ),
            _retirement.LEASE_NAME: _retirement.Retirement.start(
                retirement_lease, views, block_planner, deployment.block_stores
            ),
        }
        if rollouts is not None:
            name = _rollout_states.LEASE_NAME
            self.leases_by_name[name] = make_lease(name)
            self.actors_by_lease[name] = _rollout_states.RolloutStates.start(
                self.leases_by_name[name], rollouts, deployment.rollout_states
            )
        self._is_ended = threading.Event()

    def tick(self, now):
        """Let the actors check for pending work at ``now``."""
        for actor in self.actors_by_lease.values():
            actor.tell(_task_messages.Tick(now))

    def start_stop(self, deadline_s):
        """Tell the actors of a shutdown and let them act until `finish_stop`.

        Parameters
        ----------
        deadline_s : float
            When the process must have ended, seconds of the boot clock.
        """
        now = serving.read_clock()
        for actor in self.actors_by_lease.values():
            actor.tell(_task_messages.Stop(now, deadline_s - RELEASE_LEAD_S))
        threading.Thread(target=self._run, name="stopping tasks", daemon=True).start()

    def finish_stop(self, deadline_s):
        """Release the leases that are still held, shortly before the process ends.

        Parameters
        ----------
        deadline_s : float
            When the process must have ended, seconds of the boot clock.
        """
        self._is_ended.set()
        end_s = min(serving.read_clock() + RELEASE_TIMEOUT_S, deadline_s)
        for name, actor in self.actors_by_lease.items():
            if not self._release(actor, self.leases_by_name[name], end_s):
                loguru.logger.bind(lease=name).info("lease not released")
            actor.stop(block=False)

    def _release(self, actor, task_lease, end_s):
        while task_lease.is_release_pending():
            now = serving.read_clock()
            if now >= end_s:
                return False
            try:
                actor.ask(_task_messages.Stop(now, now), timeout=end_s - now)
            except pykka.Timeout:
                return False
            if task_lease.is_release_pending():
                threading.Event().wait(min(TICK_S, max(end_s - now, 0.0)))
        return True

    def _run(self):
        while not self._is_ended.wait(TICK_S):
            self.tick(serving.read_clock())
