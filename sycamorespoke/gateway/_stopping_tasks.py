"""Tasks of a host that stops: handed over, or continued until the process ends."""

import threading

import loguru
import pykka

from sycamorespoke import serving
from sycamorespoke.gateway import _rollout

TICK_S = 0.1
# A lease is released this long before the process must have ended, if it still has
# to be then: longer than a write to the store usually takes.
RELEASE_LEAD_S = 1.0
# Bound on what the release adds to a shutdown that ends early.
RELEASE_TIMEOUT_S = 0.3


class StoppingTasks:
    """Lets the actors of the tasks act, and release their leases, during a shutdown.

    Parameters
    ----------
    actors : list of pykka.ActorRef
        Actors that handle `Tick` and `Stop`.
    task_leases : list of TaskLease
        Leases of the actors, in the same order.
    deadline_s : float
        When the process must have ended, seconds of the boot clock.
    """

    def __init__(self, actors, task_leases, deadline_s):
        self.actors = actors
        self.task_leases = task_leases
        self.deadline_s = deadline_s
        self._is_ended = threading.Event()

    def start(self):
        """Tell the actors of the shutdown and let them act until `finish`."""
        now = serving.read_clock()
        for actor in self.actors:
            actor.tell(_rollout.Stop(now, self.deadline_s - RELEASE_LEAD_S))
        threading.Thread(target=self._run, name="stopping tasks", daemon=True).start()

    def finish(self):
        """Release the leases that are still held, shortly before the process ends."""
        self._is_ended.set()
        end_s = min(serving.read_clock() + RELEASE_TIMEOUT_S, self.deadline_s)
        for actor, task_lease in zip(self.actors, self.task_leases, strict=True):
            if not self._release(actor, task_lease, end_s):
                loguru.logger.bind(lease=task_lease.name).info("lease not released")
            actor.stop(block=False)

    def _release(self, actor, task_lease, end_s):
        while task_lease.is_release_pending():
            now = serving.read_clock()
            if now >= end_s:
                return False
            try:
                actor.ask(_rollout.Stop(now, now), timeout=end_s - now)
            except pykka.Timeout:
                return False
            if task_lease.is_release_pending():
                threading.Event().wait(min(TICK_S, max(end_s - now, 0.0)))
        return True

    def _run(self):
        while not self._is_ended.wait(TICK_S):
            now = serving.read_clock()
            for actor in self.actors:
                actor.tell(_rollout.Tick(now))
