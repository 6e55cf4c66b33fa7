import pytest
import pytest_bdd
from pytest_bdd import parsers

from sycamorespoke import clients, decisions, domain, membership, steward
from tests import fakes

STEP_S = 0.5

pytest_bdd.scenarios("orders.feature")


class StewardSimulation:
    """Two stewards of one data centre and fake engines, in simulated time."""

    def __init__(self, count, checks_fencing, loads_at_once):
        self.platform = fakes.SlowPlatform()
        hosts_by_name = {
            f"scribe-{i}": domain.Host(
                f"scribe-{i}", "seeb", domain.HostRole.UPSTREAM, "", group="scribe"
            )
            for i in range(count)
        }
        group = domain.UpstreamGroup(
            "scribe",
            domain.UpstreamKind.MODEL,
            domain.Contract(checks_fencing=checks_fencing),
            model="scribe",
            version="v2",
        )
        self.configuration = domain.Configuration(
            revision=1,
            groups_by_name={"scribe": group},
            data_centres_by_name={
                "seeb": domain.DataCentre("seeb", loads_at_once=loads_at_once)
            },
        )
        self.hosts = domain.HostList(1, hosts_by_name)
        self.engines = fakes.FakeEngines(
            hosts_by_name, self.platform.clock, checks_fencing
        )
        self.thawed_s = 0.0
        self.stewards_by_name = {name: self.make_steward(name) for name in "AB"}

    def make_steward(self, name):
        return steward.ShardSteward(
            "seeb",
            name,
            self.platform,
            self.engines,
            self.engines,
            self.make_view,
            self.platform.clock,
        )

    def make_view(self):
        return membership.View(
            self.configuration, hosts=self.hosts, confirmed_s=self.platform.now
        )

    def run(self, names, seconds):
        end_s = self.platform.now + seconds
        while self.platform.now < end_s:
            self.platform.now += STEP_S
            for name in names:
                self.stewards_by_name[name].step()


@pytest.fixture
def late_order():
    return {}


@pytest_bdd.given(
    parsers.parse(
        "{count:d} engines that {fencing} fencing numbers and {loads:d} loads at once"
    ),
    target_fixture="simulation",
)
def _(count, fencing, loads):
    return StewardSimulation(count, fencing == "check", loads)


@pytest_bdd.given(parsers.parse("steward {name} runs for {seconds:d} s"))
@pytest_bdd.when(parsers.parse("steward {name} runs for {seconds:d} s"))
def _(simulation, name, seconds):
    simulation.run([name], seconds)


@pytest_bdd.when(parsers.parse("both stewards run for {seconds:d} s"))
def _(simulation, seconds):
    simulation.run("AB", seconds)


@pytest_bdd.when("steward A is paused")
def _(simulation):
    # Paused within a step: the plan exists and the order has not been sent.
    shard_steward = simulation.stewards_by_name["A"]
    assert shard_steward.keeper.is_held(simulation.platform.now)
    assert simulation.engines.orders


@pytest_bdd.when("steward A thaws in the middle of a step")
def _(simulation):
    shard_steward = simulation.stewards_by_name["A"]
    order = decisions.LoadOrder("scribe-4", "scribe", "v0")
    shard_steward._send_order(order, simulation.make_view())


@pytest_bdd.when(
    parsers.parse("an order that steward A sent before its pause arrives at {name}")
)
def _(simulation, late_order, name):
    host = simulation.hosts.by_name[name]
    shard_steward = simulation.stewards_by_name["A"]
    number = shard_steward.keeper.held.fencing_number
    late_order["result"] = simulation.engines.order_load(host, "scribe", "v0", number)


@pytest_bdd.then("it is refused")
def _(late_order):
    assert isinstance(late_order["result"], clients.Conflict)


@pytest_bdd.then("every engine holds version v2")
def _(simulation):
    assert simulation.engines.list_versions() == {"v2"}


@pytest_bdd.then(parsers.parse("never more than {count:d} engines loaded at once"))
def _(simulation, count):
    assert 0 < simulation.engines.max_concurrent_loads <= count


@pytest_bdd.then("no order came under an older lease than one before")
def _(simulation):
    numbers = [number for _, _, number in simulation.engines.orders]
    assert numbers == sorted(numbers)


@pytest_bdd.then("steward B holds the lease")
def _(simulation):
    assert simulation.stewards_by_name["B"].keeper.is_held(simulation.platform.now)


@pytest_bdd.then("steward B has given no order")
def _(simulation):
    number = simulation.stewards_by_name["B"].keeper.held.fencing_number
    assert number not in [order[2] for order in simulation.engines.orders]
