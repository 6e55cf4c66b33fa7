import pytest

from tests.fakes import in_process_gateway, scripted_upstream


@pytest.fixture
def harness():
    """Make gateways and upstreams that are closed at the end."""
    made = []

    class Harness:
        def start_upstream(self, handle, name="i-1"):
            made.append(scripted_upstream.ScriptedUpstream(handle, name))
            return made[-1]

        def start_gateway(self, upstreams=(), **options):
            made.append(in_process_gateway.InProcessGateway(upstreams, **options))
            return made[-1]

    yield Harness()
    for each in reversed(made):
        each.close()
