"""Suspended hosts, jumping clocks and connections that have fallen silent."""

import pathlib
import re
import time

import pytest

import sycamorespoke
from sycamorespoke import gateway, serving
from sycamorespoke.platform import _store
from tests.fakes import object_store, scripted_upstream
from tests.soak import proxy

ROOT = pathlib.Path(sycamorespoke.__file__).parent
# The time of day decides nothing in these.
PACKAGES = ("decisions", "gateway", "membership", "messages", "platform", "serving")
TIME_OF_DAY = re.compile(r"time\.time\(|datetime|time_ns\(|CLOCK_REALTIME")
SUSPENDED_S = 60.0


@pytest.mark.parametrize("package", PACKAGES)
def test_nothing_reads_the_time_of_day(package):
    for path in (ROOT / package).rglob("*.py"):
        assert not TIME_OF_DAY.search(path.read_text()), path


def test_the_clock_counts_a_suspension():
    boot_s = time.clock_gettime(time.CLOCK_BOOTTIME)
    assert boot_s <= serving.read_clock() <= time.clock_gettime(time.CLOCK_BOOTTIME)


def test_a_call_is_not_sent_after_a_suspension_that_took_its_time(harness):
    stub = harness.start_upstream(scripted_upstream.respond)
    tested_gateway = harness.start_gateway([stub])
    tested_gateway.gateway.read_clock = lambda: serving.read_clock() + SUSPENDED_S
    assert tested_gateway.request("/unsafe/x")[0] == 504
    assert stub.requests == []


def test_a_call_to_a_silent_upstream_ends_at_its_deadline_and_the_next_is_served(
    harness,
):
    stub = harness.start_upstream(scripted_upstream.respond)
    tested_gateway = harness.start_gateway([stub])
    between = proxy.LoopbackProxy(stub.address)
    stub.address = between.address
    tested_gateway.register([stub])
    try:
        assert tested_gateway.request("/safe/x")[0] == 200
        between.set_mode(proxy.Mode.SILENCE)
        headers = {"X-Sycamorespoke-Deadline-Ms": "300"}
        assert tested_gateway.request("/safe/x", **headers)[0] in (502, 504)
        between.set_mode(proxy.Mode.PASS)
        # The silent connection is kept by nobody.
        assert tested_gateway.request("/safe/x")[0] == 200
    finally:
        between.close()


@pytest.mark.parametrize("mode", [proxy.Mode.SILENCE, proxy.Mode.ONE_WAY])
def test_a_watch_over_a_silent_connection_ends_and_the_next_list_is_right(mode):
    stand_in = object_store.FakeObjectStore()
    between = proxy.LoopbackProxy(stand_in.address)
    try:
        store = _store.ObjectStoreClient(between.address)
        stand_in.put("k", "a", 1)
        revision = store.list("k").revision
        between.set_mode(mode)
        stand_in.put("k", "a", 2)
        answer = store.watch("k", revision, 0.1)
        assert isinstance(answer, gateway.Unavailable)
        between.set_mode(proxy.Mode.PASS)
        listing = store.list("k")
        assert [value["Spec"] for value in listing.values] == [2]
    finally:
        between.close()
        stand_in.close()
