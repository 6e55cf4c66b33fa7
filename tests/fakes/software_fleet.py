"""Hosts as objects in simulated time that bring in a software version of a service."""

import heapq
import itertools
import random

import attrs

from sycamorespoke import messages, rollouts
from sycamorespoke.gateway import _model, _views

SERVICE = "s"
OLD, NEW = "v1", "v2"
STEP_S = 0.05
ROUTES = {"short": 0.7, "long": 0.3}
DURATION_S_BY_ROUTE = {"short": 0.05, "long": 0.2}
SLOW_FACTOR = 8.0
LEASE_S = 3.0
# A bad version fails, or is slow for, this share of its requests.
BAD_SHARE = 0.5


def make_upstream(number, version):
    return _model.Upstream(
        f"{version}-{number}",
        7,
        SERVICE,
        "10.0.0.1:80",
        "z",
        slots=4,
        software_version=version,
    )


@attrs.define
class FakeLease:
    """Lease of one host, decided by the fleet."""

    fleet: object
    name: str

    def is_held(self):
        fleet = self.fleet
        return fleet.holder == self.name and fleet.now < fleet.renewed_s + LEASE_S

    def get_holder(self):
        return self.fleet.told_holder


@attrs.define
class Peer:
    """Connection to another host, which does not reply while either is cut off."""

    fleet: object
    sender: str
    receiver: str

    def send_request(self, report, timeout_s):
        fleet = self.fleet
        if not {self.sender, self.receiver} <= fleet.alive - fleet.cut:
            return messages.NoReply("no connection")
        codec = messages.Codec("0" * 64)
        direction = messages.Direction.REQUEST
        data = codec.encode(report, b"12345678", direction)
        report = codec.decode(data, direction).message
        return fleet.hosts_by_name[self.receiver].exchange.handle(report, fleet.now)

    def close(self):
        pass


class Host:
    """One host: what it knows of the rollout, and its judge."""

    def __init__(self, fleet, name):
        self.name = name
        limits = rollouts.Limits(fleet.share, fleet.slack)
        self.rollouts = rollouts.Rollouts(name, limits)
        self.exchange = rollouts.RolloutExchange(
            name,
            self.rollouts,
            rollouts.Judge(limits),
            fleet.views,
            FakeLease(fleet, name),
        )
        self.exchange._get_peer = lambda address: Peer(fleet, name, address)
        self.next_report_s = fleet.now + fleet.random.random() * 0.25


@attrs.define(slots=False)
class SoftwareFleet:
    """Hosts, upstreams of two versions, and callers.

    Attributes
    ----------
    failing_share : float
        Share of the requests that fail whatever the version is.
    requests, exposed : int
        Requests to the service since the order, and those to the new version.
    bad_s : list of float
        Times at which the new version gave bad responses.
    last_exposed_s : float
        When it last got a request.
    """

    host_count: int = 9
    requests_per_s: float = 200.0
    find_badness: object = None
    duration_s: float = 16.0
    share: float = 0.1
    slack: float = 50.0
    upstream_count: int = 10
    seed: int = 1
    failing_share: float = 0.0
    requests: int = 0
    exposed: int = 0
    bad_s: list = attrs.field(factory=list)
    last_exposed_s: float = 0.0
    now: float = 100.0
    holder: str = ""
    told_holder: str = ""
    renewed_s: float = 0.0
    is_store_away: bool = False
    stored: rollouts.RolloutOrder | None = None
    alive: set = attrs.field(factory=set)
    cut: set = attrs.field(factory=set)
    hosts_by_name: dict = attrs.field(factory=dict)
    weights_by_host: dict = attrs.field(factory=dict)

    def __attrs_post_init__(self):
        self.random = random.Random(self.seed)
        self.views = _views.Views()
        names = [f"h{number}" for number in range(self.host_count)]
        self.set_registered(names)
        self.old = [make_upstream(n, OLD) for n in range(self.upstream_count)]
        self.new = [make_upstream(n, NEW) for n in range(self.upstream_count)]
        self.running = []
        self._numbers = itertools.count()
        self._free_since_s = self.now
        self.ordered_s = None
        self.listed = list(self.old)
        for name in names:
            self.start_host(name)
            self.weights_by_host[name] = 1.0

    def set_registered(self, names):
        self.views.replace_fields(
            hosts_by_name={name: _model.Host(name, "z", name) for name in names}
        )

    def start_host(self, name):
        host = Host(self, name)
        self.hosts_by_name[name] = host
        self.alive.add(name)
        host.rollouts.record_upstreams(self.listed, self.now)
        if self.stored is not None and not self.is_store_away:
            host.rollouts.record_orders([self.stored], self.now)

    def kill_host(self, name):
        self.alive.discard(name)
        if self.holder == name:
            # Nobody renews the lease any more; the host may start again meanwhile.
            self.holder = f"{name} before its end"

    def order(self):
        """Order the new version; its upstreams register a moment later."""
        rollout_id = rollouts.RolloutId(SERVICE, NEW, 5)
        self.stored = rollouts.RolloutOrder(SERVICE, rollout_id, self.duration_s, 5)
        self.ordered_s = self.now
        self.publish()

    def publish(self):
        for host in self._list_reached():
            host.rollouts.record_orders([self.stored], self.now)

    def _list_reached(self):
        if self.is_store_away:
            return []
        return [self.hosts_by_name[name] for name in sorted(self.alive - self.cut)]

    def run(self, duration_s, register_after_s=0.5):
        """Let the time pass with requests, reports and writes to the store."""
        end_s = self.now + duration_s
        while self.now < end_s:
            self.now += STEP_S
            is_due = self.ordered_s and self.now >= self.ordered_s + register_after_s
            if is_due and len(self.listed) == len(self.old):
                self.listed = [*self.old, *self.new]
                for host in self._list_reached():
                    host.rollouts.record_upstreams(self.listed, self.now)
            self._end_requests()
            self._send_requests()
            self._step_hosts()
            self._step_store()

    def _send_requests(self):
        count = self.requests_per_s * STEP_S
        count = int(count) + (self.random.random() < count % 1)
        names = sorted(self.alive)
        weights = [self.weights_by_host.get(name, 1.0) for name in names]
        for name in self.random.choices(names, weights, k=count) if names else ():
            route = self.random.choices(list(ROUTES), ROUTES.values())[0]
            self._send(self.hosts_by_name[name], route)

    def _send(self, host, route):
        request = rollouts.PlannedRequest(SERVICE, route, str(next(self._numbers)))
        known_s = self.now if host.name not in self.cut else float("-inf")
        plan = host.rollouts.plan(
            request,
            self.listed,
            self.views.get().hosts_by_name,
            known_s,
            self.now,
        )
        group = next((each for each in plan.groups if each), None)
        if group is None:
            return
        upstream = self.random.choice(group)
        sent = host.rollouts.begin(upstream, route, self.now)
        is_new = upstream.software_version == NEW
        if self.ordered_s and self.now <= self.ordered_s + self.duration_s:
            self.requests += 1
            self.exposed += is_new
        badness = None
        if is_new:
            self.last_exposed_s = self.now
            badness = self.find_badness and self.find_badness(self, upstream, route)
        duration_s = DURATION_S_BY_ROUTE[route] * self.random.uniform(0.7, 1.4)
        outcome = rollouts.Outcome.WHOLE
        if self.random.random() < self.failing_share:
            outcome = rollouts.Outcome.FAILED
        if badness is not None and self.random.random() < BAD_SHARE:
            duration_s *= SLOW_FACTOR if badness == "slow" else 1.0
            if badness == "errors":
                outcome = rollouts.Outcome.FAILED
            self.bad_s.append(self.now)
        end_s = self.now + duration_s
        item = (end_s, next(self._numbers), host, sent, outcome)
        heapq.heappush(self.running, item)

    def _end_requests(self):
        while self.running and self.running[0][0] <= self.now:
            end_s, _, host, sent, outcome = heapq.heappop(self.running)
            host.rollouts.end(sent, outcome, end_s)

    def _step_hosts(self):
        for name in sorted(self.alive):
            host = self.hosts_by_name[name]
            if self.now >= host.next_report_s:
                host.next_report_s = self.now + 0.25
                host.exchange.step(self.now)

    def _step_store(self):
        """Renew the lease, or give it to another host; write what was decided."""
        if self.is_store_away or self.stored is None:
            return
        reached = self._list_reached()
        names = [host.name for host in reached]
        is_free = self.now >= max(self.renewed_s + LEASE_S, self._free_since_s)
        if is_free and reached:
            self.holder = self.told_holder = self.random.choice(names)
        if self.holder in names:
            self.renewed_s = self.now
            known = self.hosts_by_name[self.holder].rollouts
            end = known.get_end(self.stored.id)
            if end is not None and self.stored.state is not end:
                revision = self.stored.revision + 1
                self.stored = attrs.evolve(self.stored, state=end, revision=revision)
        self.publish()

    def is_within_bounds(self, rollback_s=5.0):
        """Return whether a bad version got no more than it may."""
        if self.exposed > self.share * self.requests + self.slack:
            return False
        if len(self.bad_s) < 50:
            return True
        return self.last_exposed_s <= self.bad_s[49] + rollback_s
