import attrs
import pytest

from sycamorespoke import gateway

ROUTE = gateway.Route(
    name="lookups",
    host="a.example",
    path_prefix="/lookups/",
    kind=gateway.RouteKind.SAFE,
    timeout_s=2.0,
    target_latency_s=0.5,
    priority=1,
    weights_by_service={"desk": 1.0},
    attempts=2,
)
SERVICE = gateway.Service("desk", 8, 3.0, 20.0)


@pytest.fixture
def make_route():
    return lambda **changes: attrs.evolve(ROUTE, **changes)


@pytest.fixture
def make_service():
    return lambda **changes: attrs.evolve(SERVICE, **changes)


@pytest.fixture
def make_entries():
    """Make a configuration in which nothing is found, with some members replaced."""

    def make(**changes):
        account = gateway.AccountEntry(gateway.Account("clerks"), ("key-1",))
        members = {
            "version": 4,
            "routes": (ROUTE,),
            "services": (SERVICE,),
            "accounts": (account,),
            "needs_key": True,
        }
        return gateway.ConfigurationEntries(**{**members, **changes})

    return make
