import pytest_bdd
from pytest_bdd import parsers

from sycamorespoke import domain, membership, messages
from tests import fakes

pytest_bdd.scenarios("cold_permits.feature")

TICK_S = 0.25
REQUEST_DURATION_S = 2.5
REPORT_LAG_S = 1.0
NEVER_CONFIRMED_S = float("-inf")


class PermitHost:
    """An entry host that sends a request whenever it gets a permit."""

    def __init__(self, name, simulation):
        self.name = name
        self.simulation = simulation
        self.is_frozen = False
        self.is_partitioned = False
        self.connection = fakes.InterruptiblePlatform(simulation.platform)
        self.running_by_permit = {}
        self.issuer = membership.PermitIssuer(
            "seeb", name, self.connection, self.make_view, simulation.clock
        )
        self.client = membership.PermitClient(
            name, self.make_view, self.send_request, self.issuer, simulation.clock
        )

    def make_view(self):
        return self.simulation.make_view(self)

    def send_request(self, address, message, timeout_s):
        peer = self.simulation.hosts_by_name[address]
        if peer.is_frozen or peer.is_partitioned != self.is_partitioned:
            return None
        return peer.issuer.handle_message(message)

    def is_owner(self):
        return self.issuer.keeper.is_held(self.simulation.clock())

    def step(self, step_number):
        self.issuer.step(may_acquire=True)
        self.issuer.record_load_report("scribe-1", self.simulation.make_load_report())
        if step_number % 4 == 0:
            self.client.renew()
        for permit, end_s in list(self.running_by_permit.items()):
            if self.simulation.clock() >= end_s:
                del self.running_by_permit[permit]
                self.simulation.change_running(-1)
                self.client.release(permit)
        if self.simulation.is_sending:
            permit = self.client.acquire(self.simulation.upstream)
            if isinstance(permit, membership.Permit):
                self.send(permit)

    def send(self, permit):
        now = self.simulation.clock()
        if not self.client.is_usable(permit, now):
            return False
        self.running_by_permit[permit] = now + REQUEST_DURATION_S
        self.simulation.change_running(1)
        return True


class PermitSimulation:
    """Entry hosts of one data centre, a cold upstream and the platform.

    Time is simulated.
    """

    def __init__(self, count, budget):
        self.platform = fakes.SlowPlatform()
        self.platform_up_s = self.platform.now
        self.running = 0
        self.max_running = 0
        self.sent_s = []
        self.running_history = [(0.0, 0)]
        self.upstream = domain.Host(
            "scribe-1", "seeb", domain.HostRole.UPSTREAM, "", group="scribe"
        )
        group = domain.UpstreamGroup(
            "scribe", domain.UpstreamKind.MODEL, cold_limit=budget
        )
        route = domain.Route("chat", "scribe", model="scribe", deadline_s=20.0)
        self.configuration = domain.Configuration(
            1, groups_by_name={"scribe": group}, routes_by_name={"chat": route}
        )
        self.hosts_by_name = {}
        for number in range(count):
            name = f"seeb-{number}"
            self.hosts_by_name[name] = PermitHost(name, self)
        entries = [
            domain.Host(name, "seeb", domain.HostRole.ENTRY, "", name)
            for name in self.hosts_by_name
        ]
        self.hosts = domain.HostList(
            1, {host.name: host for host in [*entries, self.upstream]}
        )
        self.killed = []
        self.step_number = 0
        self.is_sending = True

    def clock(self):
        return self.platform.now

    def list_live_hosts(self):
        return [host for host in self.hosts_by_name.values() if not host.is_frozen]

    def make_view(self, viewer):
        now = self.clock()
        reachable = [
            host
            for host in self.list_live_hosts()
            if host.is_partitioned == viewer.is_partitioned
        ]
        with_platform = [host for host in reachable if not host.connection.is_down]
        viewer.confirmed_s = (
            now if with_platform else getattr(viewer, "confirmed_s", 1000.0)
        )
        owners = [h.name for h in reachable if h is not viewer and h.is_owner()]
        has_majority = 2 * len(reachable) > len(self.hosts_by_name)
        return membership.View(
            self.configuration,
            hosts=self.hosts,
            last_heartbeat_s_by_name={
                host.name: now for host in reachable if host is not viewer
            },
            confirmed_s=now,
            platform_confirmed_s=viewer.confirmed_s,
            peers_confirmed_s=now if has_majority else NEVER_CONFIRMED_S,
            started_s=1000.0,
            holder_by_shard={"permits-seeb": owners[0]} if owners else {},
        )

    def change_running(self, change):
        self.running += change
        self.max_running = max(self.max_running, self.running)
        self.running_history.append((self.clock(), self.running))
        if change > 0:
            self.sent_s.append(self.clock())

    def make_load_report(self):
        as_of_s = self.clock() - REPORT_LAG_S
        running = [count for at_s, count in self.running_history if at_s <= as_of_s][-1]
        return domain.LoadReport("boot", running, 0, "v1", False, self.clock())

    def run(self, seconds):
        end_s = self.clock() + seconds
        while self.clock() < end_s:
            self.platform.now += TICK_S
            self.step_number += 1
            for host in self.list_live_hosts():
                host.step(self.step_number)

    def find_owner(self):
        return next(host for host in self.list_live_hosts() if host.is_owner())


@pytest_bdd.given(
    parsers.parse(
        "{count:d} entry hosts and a cold upstream that bears {budget:d} requests"
    ),
    target_fixture="simulation",
)
def _(count, budget):
    return PermitSimulation(count, budget)


@pytest_bdd.when(parsers.parse("every host sends for {seconds:d} s"))
def _(simulation, seconds):
    simulation.run(seconds)


@pytest_bdd.when("the owner is killed", target_fixture="former")
@pytest_bdd.when("the owner is frozen", target_fixture="former")
def _(simulation):
    # In both cases the upstream continues to run the requests of the owner.
    owner = simulation.find_owner()
    owner.is_frozen = True
    return owner


@pytest_bdd.when("the owner thaws", target_fixture="first_reply")
def _(former):
    former.is_frozen = False
    # The host replies to permit requests before its lease thread has run.
    return former.issuer.handle_message(
        messages.PermitRequest("late", "seeb-3", "scribe-1", "")
    )


@pytest_bdd.then("it granted nothing at the thaw")
def _(first_reply):
    assert first_reply.reason == "not the owner"


@pytest_bdd.when(
    "a host that holds an unused permit is frozen", target_fixture="unused"
)
def _(simulation):
    owner = simulation.find_owner()
    host = next(host for host in simulation.list_live_hosts() if host is not owner)
    simulation.is_sending = False
    for _ in range(100):
        permit = host.client.acquire(simulation.upstream)
        if isinstance(permit, membership.Permit):
            host.is_frozen = True
            simulation.is_sending = True
            return host, permit
        simulation.run(TICK_S)
    raise AssertionError("no permit was granted")


@pytest_bdd.when(
    "that host thaws and sends under its permit if it may", target_fixture="was_sent"
)
def _(unused):
    host, permit = unused
    host.is_frozen = False
    return host.send(permit)


@pytest_bdd.when(parsers.parse("the platform is {state}"))
def _(simulation, state):
    for host in simulation.hosts_by_name.values():
        host.connection.is_down = state == "down"


@pytest_bdd.when("only the owner reaches the platform")
def _(simulation):
    owner = simulation.find_owner()
    for host in simulation.hosts_by_name.values():
        host.connection.is_down = host is not owner


@pytest_bdd.when("the owner is cut off from the others")
def _(simulation):
    simulation.find_owner().is_partitioned = True


@pytest_bdd.then(
    parsers.parse(
        "the upstream never ran more than {most:d} and ran at least {least:d}"
    )
)
def _(simulation, most, least):
    assert simulation.max_running <= most
    assert len(simulation.sent_s) >= least


@pytest_bdd.then("another host is the owner")
def _(simulation, former):
    assert simulation.find_owner() is not former


@pytest_bdd.then("nothing was sent under the old permit")
def _(was_sent):
    assert not was_sent


@pytest_bdd.then(parsers.parse("it was used in the last {seconds:d} s"))
def _(simulation, seconds):
    assert simulation.sent_s[-1] >= simulation.clock() - seconds
