"""Suspended hosts, clock jumps and connections that stop delivering data."""

import pathlib
import re
import time

import pytest

import sycamorespoke
from sycamorespoke import objects, serving
from sycamorespoke.platform import _store
from tests.fakes import object_store, scripted_upstream
from tests.soak import proxy

ROOT = pathlib.Path(sycamorespoke.__file__).parent
# No decision in these packages depends on the wall clock, which may jump.
WALL_CLOCK_FREE_PACKAGES = (
    "decisions",
    "gateway",
    "membership",
    "messages",
    "platform",
    "serving",
)
WALL_CLOCK = re.compile(r"time\.time\(|datetime|time_ns\(|CLOCK_REALTIME")
SUSPENDED_S = 60.0


@pytest.mark.parametrize("package", WALL_CLOCK_FREE_PACKAGES)
def test_wall_clock_is_not_read(package):
    for path in (ROOT / package).rglob("*.py"):
        assert not WALL_CLOCK.search(path.read_text()), path


def test_clock_includes_time_in_suspension():
    boot_s = time.clock_gettime(time.CLOCK_BOOTTIME)
    assert boot_s <= serving.read_clock() <= time.clock_gettime(time.CLOCK_BOOTTIME)


def test_request_whose_deadline_passed_in_a_suspension_is_not_sent(harness):
    upstream = harness.start_upstream(scripted_upstream.respond)
    tested_gateway = harness.start_gateway([upstream])
    tested_gateway.gateway.read_clock = lambda: serving.read_clock() + SUSPENDED_S
    assert tested_gateway.request("/unsafe/x")[0] == 504
    assert upstream.requests == []


def test_silent_connection_fails_at_the_deadline_and_is_not_reused(
    harness,
):
    upstream = harness.start_upstream(scripted_upstream.respond)
    tested_gateway = harness.start_gateway([upstream])
    loopback = proxy.LoopbackProxy(upstream.address)
    upstream.address = loopback.address
    tested_gateway.register([upstream])
    try:
        assert tested_gateway.request("/safe/x")[0] == 200
        loopback.set_mode(proxy.Mode.SILENCE)
        headers = {"X-Sycamorespoke-Deadline-Ms": "300"}
        assert tested_gateway.request("/safe/x", **headers)[0] in (502, 504)
        loopback.set_mode(proxy.Mode.PASS)
        # The silent connection is not reused.
        assert tested_gateway.request("/safe/x")[0] == 200
    finally:
        loopback.close()


@pytest.mark.parametrize("mode", [proxy.Mode.SILENCE, proxy.Mode.ONE_WAY])
def test_watch_on_a_silent_connection_times_out_and_next_list_is_current(mode):
    fake_store = object_store.FakeObjectStore()
    loopback = proxy.LoopbackProxy(fake_store.address)
    try:
        store = _store.ObjectStoreClient(loopback.address)
        fake_store.put("k", "a", 1)
        revision = store.list("k").revision
        loopback.set_mode(mode)
        fake_store.put("k", "a", 2)
        response = store.watch("k", revision, 0.1)
        assert isinstance(response, objects.Unavailable)
        loopback.set_mode(proxy.Mode.PASS)
        listing = store.list("k")
        assert [value["Spec"] for value in listing.values] == [2]
    finally:
        loopback.close()
        fake_store.close()
