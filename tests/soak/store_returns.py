"""Returns of the store from an older copy, and what others write again then."""

import functools
import random
import threading
import time

import attrs

from sycamorespoke.platform import _names
from tests.soak import proxy, store_copies

MIN_AGE_S = 0.5
MAX_AGE_S = 5.0
MIN_WRITE_S = 0.1
MAX_WRITE_S = 1.0
MAX_REMOVAL_S = 2.0
REUSE_SHARE = 0.5
MODES_BY_AWAY = {
    store_copies.Away.REFUSED: proxy.Mode.REFUSE,
    store_copies.Away.RESET: proxy.Mode.RESET,
}


@attrs.frozen
class StoreReturn:
    """A return of the store from an older copy.

    Parameters
    ----------
    away_s, back_s : float
        When the store went away and when it was back, monotonic times in seconds.
    """

    away_s: float
    back_s: float


class StoreReturns:
    """Lets the store of a deployment go away and come back from older copies.

    Parameters
    ----------
    deployment : gateway_deployment.GatewayDeployment
        The deployment, whose operator and upstreams write theirs again.
    copies : store_copies.CopyKeeper
        Copies of the store so far.

    Attributes
    ----------
    returns : list of StoreReturn
        Returns so far.
    """

    def __init__(self, deployment, copies):
        self.deployment = deployment
        self.copies = copies
        self.returns = []
        self._begun_by_fault = {}

    def go_away(self, planned):
        """Begin a planned fault: nobody reaches the store."""
        generator = random.Random(str(planned))
        store_copy = self.copies.find(generator.uniform(MIN_AGE_S, MAX_AGE_S))
        self._begun_by_fault[planned] = time.monotonic(), store_copy, generator
        if planned.variant is store_copies.Away.UNAVAILABLE:
            self.deployment.store.is_unavailable = True
            return
        for host in self.deployment.hosts:
            host.proxy.set_mode(MODES_BY_AWAY[planned.variant])

    def come_back(self, planned):
        """End a planned fault: the store is back, and is written to a moment later."""
        away_s, store_copy, generator = self._begun_by_fault.pop(planned)
        store = self.deployment.store
        with store.changed:
            lost = [
                revision
                for revision, kind, _ in store.events
                if kind == _names.KIND_CONFIGURATION and store_copy.revision < revision
            ]
            store.restore(store_copy)
        self._end_away(planned.variant)
        self.returns.append(StoreReturn(away_s, time.monotonic()))
        reused = max(lost, default=0)
        if generator.random() >= REUSE_SHARE:
            reused = 0
        steps = self._plan_writes(generator, reused)
        threading.Thread(target=_carry_out, args=(steps,), daemon=True).start()

    def _end_away(self, variant):
        if variant is store_copies.Away.UNAVAILABLE:
            self.deployment.store.is_unavailable = False
            return
        mode = MODES_BY_AWAY[variant]
        for host in self.deployment.hosts:
            if host.proxy.mode is mode:
                host.proxy.set_mode(proxy.Mode.PASS)

    def _plan_writes(self, generator, reused):
        """Return steps as pairs of a time from now, seconds, and a function."""
        deployment = self.deployment
        operator = [
            functools.partial(deployment.write_configuration_again, reused),
            deployment.write_weight_version_again,
            deployment.write_data_centres_out_again,
        ]
        upstreams = [
            functools.partial(deployment.register, upstream)
            for upstream in deployment.upstreams
        ]
        steps = [
            (generator.uniform(MIN_WRITE_S, MAX_WRITE_S), write)
            for write in operator + upstreams
        ]
        removal_s = generator.uniform(MIN_WRITE_S, MAX_REMOVAL_S)
        steps.append((removal_s, deployment.remove_left_upstreams))
        return sorted(steps, key=lambda step: step[0])


def _carry_out(steps):
    started_s = time.monotonic()
    for at_s, write in steps:
        time.sleep(max(0.0, started_s + at_s - time.monotonic()))
        write()
