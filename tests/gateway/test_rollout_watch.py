"""Each attempt is reported to the rollouts once, with how it ended."""

import contextlib
import http.client

import pytest

from sycamorespoke import rollouts
from tests.fakes import in_process_gateway, scripted_upstream


class Recorder:
    """Stands for the rollouts; allows everything."""

    def __init__(self):
        self.begun = []
        self.ended = []

    def begin(self, upstream, route, now):
        self.begun.append((upstream.id, route))
        return upstream.id

    def end(self, sent, outcome, now):
        self.ended.append((sent, outcome))


def respond_with(status):
    return lambda request: scripted_upstream.respond(request, status, b"body")


def stream_whole(request):
    scripted_upstream.start_stream(request)
    scripted_upstream.send_events(request, 1, 2)
    scripted_upstream.send_chunk(request, b"")


def stream_broken(request):
    scripted_upstream.start_stream(request)
    scripted_upstream.send_events(request, 1, 2)
    scripted_upstream.abort(request)


@pytest.mark.parametrize(
    ("route", "script", "outcome"),
    [
        ("unsafe", respond_with(200), rollouts.Outcome.WHOLE),
        ("unsafe", respond_with(404), rollouts.Outcome.WHOLE),
        ("unsafe", respond_with(500), rollouts.Outcome.FAILED),
        ("unsafe", scripted_upstream.abort, rollouts.Outcome.LOST),
        ("once", stream_whole, rollouts.Outcome.WHOLE),
        ("once", stream_broken, rollouts.Outcome.LOST),
    ],
)
def test_end_of_an_attempt_is_reported_once(route, script, outcome):
    server = scripted_upstream.ScriptedUpstream(script, "i-1")
    gateway = in_process_gateway.InProcessGateway([server])
    recorder = Recorder()
    gateway.gateway.rollouts = recorder
    with contextlib.suppress(http.client.HTTPException):
        gateway.request(f"/{route}/x")
    gateway.close()
    server.close()
    assert recorder.begun == [("i-1", route)]
    assert recorder.ended == [("i-1", outcome)]


def test_upstream_that_is_not_there_says_nothing_of_its_version():
    server = scripted_upstream.ScriptedUpstream(respond_with(200), "i-1")
    gateway = in_process_gateway.InProcessGateway([server])
    server.close()
    recorder = Recorder()
    gateway.gateway.rollouts = recorder
    gateway.request("/unsafe/x")
    gateway.close()
    outcomes = {outcome for _, outcome in recorder.ended}
    assert outcomes == {rollouts.Outcome.CANCELLED}
