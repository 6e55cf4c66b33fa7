"""Less urgent prompts that wait at the host while engines have no memory."""

import threading

import attrs
import pytest

from sycamorespoke.gateway import _model, _requests, _room_wait
from tests.fakes import in_process_gateway
from tests.gateway import test_chooser, test_placing

NOW = test_placing.NOW
FULL_TOKENS = 4.0 * test_placing.ENGINE.cache_tokens
URGENT, OTHER = (
    in_process_gateway.make_route(
        name, _model.RouteKind.STREAM, priority=priority, carries_prompt=True
    )
    for name, priority in (("urgent", 0), ("other", 2))
)


class Attempts:
    """What `RoomWait` needs of the attempts of a request."""

    def __init__(self, placing, route=OTHER, **changes):
        self.gateway = self
        self.chooser = self
        self.placer = placing.placer
        self.placing = placing
        self.route = route
        self.request = attrs.evolve(test_chooser.make_request(), **changes)
        self.deadline_s = NOW + 12.0
        self.timing = _requests.RequestTiming(NOW)
        self.hold_ended = threading.Event()
        self.was_held = False

    def preview(self, view, upstreams, request, route, now):
        return self.placing.place(request)


@pytest.fixture
def full():
    """Placing before engines that have no memory left."""
    placing = test_placing.Placing()
    placing.view = attrs.evolve(
        placing.view,
        configuration=_model.Configuration(
            1, (URGENT, OTHER), {"s": test_placing.SERVICE}
        ),
    )
    placing.tell({}, {upstream.boot_id: FULL_TOKENS for upstream in placing.upstreams})
    return placing


def wait(attempts, room_wait=None):
    room_wait = room_wait or _room_wait.RoomWait()
    return room_wait.wait(attempts, attempts.placing.view, NOW)


def test_less_urgent_prompt_waits_while_engines_are_full(full):
    room_wait = _room_wait.RoomWait()
    attempts = Attempts(full)
    assert wait(attempts, room_wait)
    assert wait(attempts, room_wait)
    assert (room_wait.held, room_wait.holds) == (0, 1)


def test_less_urgent_prompt_is_sent_while_engines_have_room(full):
    full.tell({}, {})
    assert not wait(Attempts(full))


@pytest.mark.parametrize(
    ("route", "changes"),
    [
        (URGENT, {}),
        (OTHER, {"prompt": None}),
        (OTHER, {"continues_stream": True}),
        (OTHER, {"forward_mark": _requests.ForwardMark("h2", 1, True)}),
    ],
)
def test_other_requests_do_not_wait(full, route, changes):
    assert not wait(Attempts(full, route, **changes))


def test_request_that_an_upstream_has_got_does_not_wait(full):
    attempts = Attempts(full)
    attempts.timing.sent_s = NOW
    assert not wait(attempts)


def test_nothing_waits_where_loads_are_not_shared(full):
    full.placer.shared_load_hosts = 0
    assert not wait(Attempts(full))


def test_nothing_waits_when_the_figures_are_old(full):
    attempts = Attempts(full)
    full.loads.tokens._summary = attrs.evolve(
        full.loads.tokens._summary, seen_s=NOW - 10.0
    )
    assert not wait(attempts)


def test_held_requests_are_bounded(full):
    room_wait = _room_wait.RoomWait(held=_room_wait.MAX_HELD)
    assert not wait(Attempts(full), room_wait)


def test_wait_ends_at_once_when_the_caller_leaves(full):
    attempts = Attempts(full)
    attempts.hold_ended.set()
    assert wait(attempts)
