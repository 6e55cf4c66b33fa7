import attrs
import pytest

from sycamorespoke import serving
from sycamorespoke.gateway import _chooser, _dispatcher, _model, _requests
from tests.fakes import in_process_gateway

LATE = 5


@pytest.fixture
def dispatch(harness):
    """Dispatch a request with a prompt that arrived so long ago, seconds."""
    upstream = _model.Upstream("i-1", 1, "s", "127.0.0.1:9", "dc-1")
    gateway = harness.start_gateway().gateway
    route = in_process_gateway.make_route(
        "stream", _model.RouteKind.STREAM, is_resumable=True, priority=0
    )

    def build(age_s, last_event_id=None, **changes):
        now = serving.read_clock()
        block = _requests.PromptBlock("aa", 100)
        request = _requests.Request(
            id="call-1",
            host=in_process_gateway.HOST,
            method="POST",
            target="/stream/x",
            headers=(),
            body=b"",
            arrived_s=now - age_s,
            prompt=_requests.Prompt("m", (block,), 100, 3),
        )
        request = attrs.evolve(request, **changes)
        dispatcher = _dispatcher.Dispatcher(gateway, request, route, None, now + 9.0)
        choice = _chooser.Choice(upstream, None, 8)
        return dispatcher.build(choice, last_event_id).priority

    return build


def test_new_stream_that_is_late_for_its_first_event_is_less_urgent(dispatch):
    assert dispatch(0.0) == 0
    assert dispatch(1.0) == LATE


@pytest.mark.parametrize("changes", [{"continues_stream": True}, {"last_event_id": 3}])
def test_stream_that_goes_on_is_not_late_for_its_first_event(dispatch, changes):
    assert dispatch(1.0, **{"continues_stream": True, **changes}) == 0


def test_stream_that_goes_on_at_another_upstream_is_not_late(dispatch):
    assert dispatch(1.0, last_event_id=3) == 0
