"""Streams before upstreams of several software versions."""

import http.client

import attrs
import pytest

from sycamorespoke import decisions, serving
from sycamorespoke.gateway import _connections, _model, _software_versions
from tests.fakes import scripted_upstream

FIRST = {"X_Sycamorespoke_Request_Id": "call-1"}
NEXT = {"X_Sycamorespoke_Request_Id": "call-2"}
HOUR_S = 3600.0


def break_off(request):
    """Break a new stream off after two events, and end one that goes on."""
    last_event_id = request.headers.get("Last-Event-Id")
    scripted_upstream.start_stream(request)
    if last_event_id is None:
        scripted_upstream.send_events(request, 1, 2)
        scripted_upstream.abort(request)
    scripted_upstream.send_events(request, int(last_event_id) + 1, 4)
    scripted_upstream.send_chunk(request, b"")


def break_before_first_event(request):
    scripted_upstream.start_stream(request)
    scripted_upstream.abort(request)


def finish(request):
    scripted_upstream.start_stream(request)
    scripted_upstream.send_events(request, 1, 4)
    scripted_upstream.send_chunk(request, b"")


@pytest.fixture
def start(harness):
    """Start a gateway before upstreams; takes their handlers and versions in order."""

    def start_gateway(*handlers_and_versions):
        upstreams = [
            harness.start_upstream(handle, f"i-{number}")
            for number, (handle, _) in enumerate(handlers_and_versions, 1)
        ]
        gateway = harness.start_gateway()
        for upstream, (_, version) in zip(
            upstreams, handlers_and_versions, strict=True
        ):
            gateway.versions_by_name[upstream.name] = version
        gateway.register(upstreams)
        return gateway, upstreams

    return start_gateway


def begin_stream(gateway, upstream, others=()):
    """Begin a stream at the first upstream and lose it."""
    gateway.register([upstream])
    with pytest.raises((OSError, http.client.HTTPException)):
        gateway.request("/stream/x", **FIRST)
    gateway.register([upstream, *others])
    gateway.pool.retain(set(), serving.read_clock())


def test_broken_stream_does_not_go_on_at_another_version(start):
    gateway, upstreams = start((break_off, "v1"), (break_off, "v2"))
    with pytest.raises((OSError, http.client.HTTPException)):
        gateway.request("/stream/x")
    assert sum(len(upstream.requests) for upstream in upstreams) == 1


def test_broken_stream_goes_on_at_the_same_version(start):
    gateway, _ = start((break_off, "v1"), (break_off, "v1"))
    status, _, body = gateway.request("/stream/x")
    assert (status, body) == (200, scripted_upstream.encode_events(1, 4))


def test_broken_stream_does_not_go_on_where_versions_are_unknown(start):
    gateway, upstreams = start((break_off, ""), (break_off, ""))
    with pytest.raises((OSError, http.client.HTTPException)):
        gateway.request("/stream/x")
    assert sum(len(upstream.requests) for upstream in upstreams) == 1


def test_request_may_change_the_version_before_its_first_event(start):
    gateway, upstreams = start((break_before_first_event, "v1"), (finish, "v2"))
    # Which of the two gets a request first is drawn.
    for _ in range(40):
        assert gateway.request("/stream/x")[0] == 200
        if upstreams[0].requests:
            return
    raise AssertionError("no request went to the first upstream")


@pytest.mark.parametrize("version", ["v1", "v2"])
def test_caller_takes_a_stream_up_at_the_version_that_began_it(start, version):
    gateway, upstreams = start((break_off, "v1"), (break_off, version))
    begin_stream(gateway, upstreams[0], upstreams[1:])
    for number in range(6):
        request_id = {"X_Sycamorespoke_Request_Id": f"call-{number + 2}"}
        status, _, body = gateway.request(
            "/stream/x", Resumes="call-1", Last_Event_Id="2", **request_id
        )
        assert (status, body) == (200, scripted_upstream.encode_events(3, 4))
    assert bool(upstreams[1].requests) == (version == "v1")


def test_stream_is_refused_while_no_upstream_has_its_version(start):
    gateway, upstreams = start((break_off, "v1"), (break_off, "v2"))
    begin_stream(gateway, upstreams[0])
    gateway.register(upstreams[1:])
    status, headers, _ = gateway.request(
        "/stream/x", Resumes="call-1", Last_Event_Id="2", **NEXT
    )
    assert (status, upstreams[1].requests) == (503, [])
    assert "Retry-After" in headers


@pytest.mark.parametrize(
    "headers",
    [
        {"Resumes": "call-9", "Last_Event_Id": "2"},
        {"Resumes": "call-9"},
        {"Last_Event_Id": "2"},
        {"Last_Event_Id": "two"},
    ],
    ids=["unknown request", "no last event", "no request", "unreadable last event"],
)
def test_stream_of_unknown_origin_is_refused(start, log_lines, headers):
    gateway, upstreams = start((break_off, "v1"), (break_off, "v2"))
    status, response_headers, _ = gateway.request("/stream/x", **headers, **NEXT)
    assert status == 503
    assert "Retry-After" in response_headers
    assert [upstream.requests for upstream in upstreams] == [[], []]
    assert log_lines.wait_for("stream taken up")["software_version"] is None


def test_request_without_a_stream_may_name_a_last_event(start):
    gateway, _ = start((scripted_upstream.respond, "v1"))
    assert gateway.request("/safe/x", Last_Event_Id="2")[0] == 200


def record_versions(gateway, upstreams, age_s):
    """Record the listed versions as known for some time, and the list as confirmed."""
    now = serving.read_clock()
    gateway.software_versions.record(upstreams, now - age_s)
    gateway.views.confirm("upstreams", now)


def take_up_unnamed(gateway):
    return gateway.request("/stream/x", Last_Event_Id="2", **NEXT)[0]


def test_unnamed_stream_goes_on_if_there_was_only_one_version(start):
    gateway, _ = start((break_off, "v1"), (break_off, "v1"))
    registered = gateway.views.get().upstreams_by_id.values()
    record_versions(gateway, registered, HOUR_S)
    assert take_up_unnamed(gateway) == 200


def test_unnamed_stream_is_refused_if_another_version_was_listed_lately(start):
    gateway, _ = start((break_off, "v1"))
    (registered,) = gateway.views.get().upstreams_by_id.values()
    other = attrs.evolve(registered, id="i-2", software_version="v2")
    record_versions(gateway, [registered, other], HOUR_S)
    record_versions(gateway, [registered], 1.0)
    assert take_up_unnamed(gateway) == 503


def test_unnamed_stream_is_refused_by_a_host_that_has_just_started(start):
    gateway, _ = start((break_off, "v1"))
    record_versions(gateway, gateway.views.get().upstreams_by_id.values(), 1.0)
    assert take_up_unnamed(gateway) == 503


def test_unnamed_stream_is_refused_by_a_host_out_of_touch(start):
    gateway, _ = start((break_off, "v1"))
    registered = gateway.views.get().upstreams_by_id.values()
    record_versions(gateway, registered, HOUR_S)
    gateway.views.confirm("upstreams", serving.read_clock() - 10.0)
    assert take_up_unnamed(gateway) == 503


def test_unnamed_stream_is_refused_if_another_version_has_joined_unseen(start):
    gateway, upstreams = start((break_off, "v1"))
    registered = list(gateway.views.get().upstreams_by_id.values())
    record_versions(gateway, registered, HOUR_S)
    # The host stood still or was cut off for less time than a list is trusted.
    gateway.views.confirm("upstreams", serving.read_clock() - 3.0)
    other = attrs.evolve(registered[0], id="i-2", software_version="v2")
    gateway.list_source.joined = [other]
    assert take_up_unnamed(gateway) == 503
    assert upstreams[0].requests == []


def test_unnamed_stream_is_refused_while_the_list_cannot_be_asked(start):
    gateway, _ = start((break_off, "v1"))
    registered = gateway.views.get().upstreams_by_id.values()
    record_versions(gateway, registered, HOUR_S)
    gateway.list_source.is_away = True
    assert take_up_unnamed(gateway) == 503
    gateway.list_source.is_away = False
    assert take_up_unnamed(gateway) == 200


def test_version_that_was_gone_long_ago_does_not_count():
    versions = _software_versions.SoftwareVersions()
    old = _model.Upstream("i-1", 1, "s", "1.1.1.1:1", "z", software_version="v1")
    new = attrs.evolve(old, id="i-2", software_version="v2")
    versions.record([old], 0.0)
    versions.record([old, new], 10.0)
    versions.record([new], 20.0)
    assert versions.find_only("s", 19.0) is None
    assert versions.find_only("s", 21.0) == "v2"
    assert versions.find_only("other", 21.0) is None


def test_nothing_is_sent_to_a_start_whose_version_has_changed(start, monkeypatch):
    gateway, upstreams = start((finish, "v1"))
    connect = _connections.Connection.connect

    def change_version(connection):
        connect(connection)
        gateway.versions_by_name["i-1"] = "v2"
        gateway.register(upstreams)

    monkeypatch.setattr(_connections.Connection, "connect", change_version)
    assert gateway.request("/stream/x")[0] == 503
    assert upstreams[0].requests == []


def test_stream_stays_in_the_service_that_began_it(harness):
    upstream = harness.start_upstream(break_off)
    gateway = harness.start_gateway([upstream])
    origin = decisions.StreamOrigin("other", "v1")
    gateway.directory.record("call-1", origin, 10.0, serving.read_clock())
    status, _, _ = gateway.request(
        "/stream/x", Resumes="call-1", Last_Event_Id="2", **NEXT
    )
    assert (status, upstream.requests) == (503, [])


def test_stream_that_may_not_resume_is_not_recorded(start):
    gateway, _ = start((finish, "v1"))
    assert gateway.request("/once/x")[0] == 200
    assert gateway.directory.origins.count() == 0
    assert gateway.request("/stream/x")[0] == 200
    assert gateway.directory.origins.count() == 1
