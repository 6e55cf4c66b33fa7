import pytest

from tests.fakes import in_process_gateway, scripted_upstream


@pytest.fixture
def harness():
    """Start gateways and upstreams; close them after the test."""
    started = []

    class Harness:
        def start_upstream(self, handle, name="i-1"):
            started.append(scripted_upstream.ScriptedUpstream(handle, name))
            return started[-1]

        def start_gateway(self, upstreams=(), **options):
            started.append(in_process_gateway.InProcessGateway(upstreams, **options))
            return started[-1]

    yield Harness()
    for server in reversed(started):
        server.close()
