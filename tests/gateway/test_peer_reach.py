import time

import pytest

from sycamorespoke import messages, serving
from sycamorespoke.gateway import _model, _peer_reach, _views
from tests.fakes import free_ports

KEY = "the hosts' key"


@pytest.fixture
def start_peers():
    """Start hosts that reply; return one that may ask them."""
    started = []

    def start(*handles):
        hosts = [_model.Host("h", "dc-1", "127.0.0.1:9")]
        for number, handle in enumerate(handles):
            address = f"127.0.0.1:{free_ports.choose_free_port()}"
            started.append(messages.Server(address, KEY, handle, 1))
            hosts.append(_model.Host(f"h{number}", "dc-1", address))
        views = _views.Views()
        views.replace_fields(hosts_by_name={host.name: host for host in hosts})
        reach = _peer_reach.PeerReach(hosts[0], views)
        started.append(reach)
        reach.start(messages.Codec(KEY))
        return reach

    yield start
    for each in reversed(started):
        each.stop()


def make_reply(*services):
    return messages.ReachReply("10.0.0.1:1", dict.fromkeys(services, 0.1))


def wait_found(reach, *services):
    deadline_s = time.monotonic() + 5.0
    while time.monotonic() < deadline_s:
        peer = reach.find(services, (), serving.read_clock())
        if peer is not None:
            return peer
        time.sleep(0.01)
    return None


def test_host_that_reaches_the_services_is_found(start_peers):
    reach = start_peers(
        lambda message: make_reply("a"), lambda message: make_reply("a", "b")
    )
    assert wait_found(reach, "a", "b").host == "h1"


def test_first_request_waits_for_the_replies(start_peers):
    reach = start_peers(lambda message: make_reply("a"))
    assert reach.find(["a"], (), serving.read_clock()).host == "h0"


def test_nobody_is_asked_before_a_service_is_wanted(start_peers):
    questions = []
    start_peers(questions.append)
    time.sleep(0.3)
    assert questions == []


def test_hosts_that_do_not_know_the_question_are_left_alone(start_peers):
    # An older build drops the message, which is a request without a reply.
    questions = []
    reach = start_peers(questions.append, lambda message: make_reply("a"))
    assert wait_found(reach, "a").host == "h1"
    time.sleep(1.5)
    assert wait_found(reach, "a").host == "h1"
    assert len(questions) == 1


def test_questions_become_rarer_while_no_host_reaches_a_service(start_peers):
    questions = []

    def answer(message):
        questions.append(message)
        return make_reply()

    reach = start_peers(answer)
    ends_s = time.monotonic() + 2.0
    while time.monotonic() < ends_s:
        assert reach.find(["a"], (), serving.read_clock()) is None
        time.sleep(0.02)
    assert len(questions) <= 2.0 / _peer_reach.ASK_INTERVAL_S + 5
