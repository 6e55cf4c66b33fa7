"""Holds less urgent requests while no engine has memory for them."""

import random
import threading

import attrs
import loguru

from sycamorespoke import placement

# Each held request keeps one of the threads that serve callers.
MAX_HELD = 24


@attrs.define
class RoomWait:
    """Requests of this host that wait for memory of engines; thread-safe.

    Parameters
    ----------
    generator : random.Random
        Spreads the moments at which they try again.

    Attributes
    ----------
    held : int
        Requests that wait now.
    holds : int
        Requests that have waited so far.
    """

    generator: random.Random = attrs.field(factory=random.Random)
    held: int = 0
    holds: int = 0
    _lock: threading.Lock = attrs.field(factory=threading.Lock, init=False)

    def wait(self, attempts, view, now):
        """Wait a moment if the request had better not be sent yet.

        Parameters
        ----------
        attempts : Attempts
            Attempts of the request; has ``hold_ended``, which ends the wait.
        view : View
            Current view of the deployment.
        now : float
            Current time, seconds of the boot clock.

        Returns
        -------
        bool
            Whether it has waited, so that all is to be decided again.
        """
        if not self._may_yield(attempts, view):
            return False
        arrived_s = attempts.request.arrived_s
        hold_s = placement.choose_hold_s(
            _estimate_memory_wait_s(attempts, view, now),
            now - arrived_s,
            attempts.deadline_s - arrived_s,
            self.generator.random(),
        )
        if not hold_s or not self._begin(attempts):
            return False
        try:
            attempts.hold_ended.wait(hold_s)
        finally:
            with self._lock:
                self.held -= 1
        return True

    def _may_yield(self, attempts, view):
        """Return whether it is new and more urgent prompts share the engines."""
        route, request = attempts.route, attempts.request
        if request.prompt is None or request.continues_stream:
            return False
        if request.forward_mark is not None or attempts.timing.sent_s is not None:
            return False
        return route.priority > view.configuration.highest_prompt_priority

    def _begin(self, attempts):
        with self._lock:
            if self.held >= MAX_HELD:
                return False
            self.held += 1
            is_first = not attempts.was_held
            self.holds += is_first
        if is_first:
            attempts.was_held = True
            loguru.logger.bind(
                request_id=attempts.request.id, route=attempts.route.name
            ).debug("request held")
        return True


def _estimate_memory_wait_s(attempts, view, now):
    gateway, route = attempts.gateway, attempts.route
    if not gateway.chooser.placer.is_load_shared(view):
        return 0.0
    upstreams = [
        each
        for service in route.weights_by_service
        for each in view.list_upstreams(service)
    ]
    placed = gateway.chooser.preview(view, upstreams, attempts.request, route, now)
    return 0.0 if placed is None else placed.memory_wait_s
