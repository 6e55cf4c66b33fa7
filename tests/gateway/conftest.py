import pytest

from tests.fakes import path_gateway, path_upstream


@pytest.fixture
def world():
    """Make gateways and upstreams that are closed at the end."""
    made = []

    class World:
        def upstream(self, behave, name="i-1"):
            made.append(path_upstream.PathUpstream(behave, name))
            return made[-1]

        def gateway(self, upstreams=(), **options):
            made.append(path_gateway.PathGateway(upstreams, **options))
            return made[-1]

    yield World()
    for each in reversed(made):
        each.close()
