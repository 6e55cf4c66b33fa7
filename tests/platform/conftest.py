import contextlib

import pytest

from tests.fakes import object_store, upstream_fleet
from tests.platform import fleet_hosts


@pytest.fixture
def fake_store():
    store = object_store.FakeObjectStore()
    yield store
    store.close()


@pytest.fixture
def start_fleet():
    """Start a fleet of upstreams with the options given; close it after the test."""
    with contextlib.ExitStack() as stack:

        def start(**options):
            fleet = upstream_fleet.UpstreamFleet(fleet_hosts.UPSTREAMS, **options)
            stack.callback(fleet.close)
            return fleet

        yield start


@pytest.fixture
def start_hosts(tmp_path):
    """Start the hosts before a fleet; end their processes after the test."""
    gateways = []

    def start(fleet, **settings):
        fleet_hosts.start_hosts(fleet, tmp_path, gateways, **settings)
        return gateways

    yield start
    for gateway in gateways:
        gateway.close()
