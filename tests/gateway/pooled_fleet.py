"""Many hosts as objects in one process, in simulated time, before failing upstreams."""

import random

import attrs

from sycamorespoke import decisions, messages
from sycamorespoke.gateway import _model, _relay, _table

STEP_S = 0.05
REPORT_INTERVAL_S = 0.25
DATA_CENTRES = 5
# Draws of an upstream that is not ejected.
MAX_DRAWS = 30


def make_upstream(number):
    return _model.Upstream(
        f"i-{number}", 7, "s", f"10.0.{number // 200}.{number % 200 + 1}:80", "z"
    )


@attrs.define
class FleetResult:
    """What the first tries of the requests met."""

    requests: int = 0
    failed: int = 0
    last_failed_s: float = 0.0
    used_again_s: float | None = None


class PooledFleet:
    """Hosts that send requests to upstreams and report outcomes to readers.

    Parameters
    ----------
    hosts, upstreams : int
        Their numbers.
    requests_per_s : float
        Requests per second to all hosts together.
    is_pooled : bool, default=True
        Whether hosts report to readers.
    """

    def __init__(self, hosts, upstreams, requests_per_s, is_pooled=True):
        self.random = random.Random(20261205)
        self.requests_per_s = requests_per_s
        self.is_pooled = is_pooled
        self.upstreams = [make_upstream(number) for number in range(upstreams)]
        names = [f"h{number}" for number in range(hosts)]
        data_centres = {
            name: f"dc{number % DATA_CENTRES}" for number, name in enumerate(names)
        }
        self.data_centres = data_centres
        self.tables_by_host = {
            name: _table.UpstreamTable(name, data_centres[name]) for name in names
        }
        readers = decisions.count_readers(data_centres, len(names))
        self.readers_by_host = {}
        for name in names:
            plan = decisions.plan_readers(name, data_centres, readers)
            self.readers_by_host[name] = None if plan.is_reader else plan.readers[0]
        self.names = names
        self.result = FleetResult()

    def run(self, duration_s, find_weight, unreporting=()):
        """Send requests for some time.

        Parameters
        ----------
        duration_s : float
            Duration, seconds.
        find_weight : callable
            Takes a host, an upstream and the time, and returns the weight of the
            failure that the request meets; ``None`` if it succeeds.
        unreporting : collection of str
            Hosts that have lost their links.
        """
        due = 0.0
        for step in range(round(duration_s / STEP_S)):
            now = step * STEP_S
            due += self.requests_per_s * STEP_S
            while due >= 1.0:
                due -= 1.0
                self._send(self.random.choice(self.names), find_weight, now)
            if self.is_pooled:
                self._report(step, unreporting, now)
        return self.result

    def _send(self, host, find_weight, now):
        table = self.tables_by_host[host]
        upstream = self._choose(table, now)
        self.result.requests += 1
        weight = find_weight(host, upstream, now)
        if weight is None:
            table.record_success(upstream, now)
            return
        self.result.failed += 1
        self.result.last_failed_s = now
        table.record_failure(upstream, weight, now)

    def _report(self, step, unreporting, now):
        steps = round(REPORT_INTERVAL_S / STEP_S)
        for number, host in enumerate(self.names):
            reader = self.readers_by_host[host]
            if reader is None or number % steps != step % steps:
                continue
            table = self.tables_by_host[host]
            request = messages.UpdatesRequest(
                host=host,
                data_centre=self.data_centres[host],
                outcomes_by_upstream=table.outcomes.drain(host in unreporting),
            )
            ejected = self._ask(reader, request, unreporting, now)
            table.set_pooled_ejections(ejected, now)
        if step % steps == 0:
            self._exchange(unreporting, now)

    def _exchange(self, unreporting, now):
        readers = [host for host in self.names if self.readers_by_host[host] is None]
        if len(self.names) <= decisions.MAX_DIRECT_HOSTS:
            return
        for reader in readers:
            request = self.tables_by_host[reader].outcomes.make_forwarding()
            if request is None:
                continue
            for other in readers:
                if other != reader:
                    ejected = self._ask(other, request, unreporting, now)
                    table = self.tables_by_host[reader]
                    table.set_pooled_ejections(ejected, now)

    def _ask(self, reader, request, unreporting, now):
        table = self.tables_by_host[reader]
        return _relay.pool_outcomes(table, request, reader in unreporting, now)

    def _choose(self, table, now):
        for _ in range(MAX_DRAWS):
            upstream = self.random.choice(self.upstreams)
            state = table.read([upstream])[upstream.boot_id]
            if now >= state.ejected_until_s:
                return upstream
        return upstream

    def count_ejecting(self, upstream, now):
        """Return how many hosts avoid an upstream at ``now``."""
        return sum(
            now < table.read([upstream])[upstream.boot_id].ejected_until_s
            for table in self.tables_by_host.values()
        )
