"""The store comes back from before a claim or its outcome was written."""

import random
import time

import pytest

from sycamorespoke import claims, decisions, domain
from sycamorespoke.claims import _restorer
from tests import fakes

KEY = decisions.hash_claim_key("abrr", "bibs", "key-1")
OTHER_KEY = decisions.hash_claim_key("abrr", "bibs", "key-2")
REQUEST = decisions.hash_request("POST", "/bibs", b"{}")
CREATED = decisions.Outcome(201, (("Content-Type", "text/plain"),), b"bib 7")
WAIT_S = 5.0


@pytest.fixture
def platform():
    return fakes.FakePlatform()


@pytest.fixture
def hosts(platform):
    hosts = [claims.Claims(platform, f"entry-{n}", shards=1) for n in (1, 2)]
    yield hosts
    for host in hosts:
        host.stop()


def claim(host, key=KEY):
    return host.claim(key, REQUEST, time.time(), wait_s=WAIT_S)


@pytest.mark.parametrize("has_older_claims", [False, True])
def test_claim_that_the_store_lost_is_not_granted_again_at_its_host(
    platform, hosts, has_older_claims
):
    if has_older_claims:
        claim(hosts[1], OTHER_KEY)
    older = platform.copy()
    assert isinstance(claim(hosts[0]), claims.Claimed)
    platform.restore(older)
    assert claim(hosts[0]).kind is domain.ErrorKind.IN_PROGRESS
    # From then on, the store has it again for all hosts.
    assert claim(hosts[1]).kind is domain.ErrorKind.IN_PROGRESS


def test_claim_that_the_store_lost_twice_is_not_granted_again_at_its_host(
    platform, hosts
):
    older = platform.copy()
    claim(hosts[0])
    for _ in range(2):
        platform.restore(older)
        assert claim(hosts[0]).kind is domain.ErrorKind.IN_PROGRESS


def test_outcome_that_the_store_lost_is_replayed_by_its_host(platform, hosts):
    first = claim(hosts[0])
    older = platform.copy()
    hosts[0].record(first.token, CREATED)
    assert hosts[0].flush(time.monotonic() + WAIT_S) == 0
    platform.restore(older)
    assert claim(hosts[0]) == claims.Recorded(CREATED)
    assert claim(hosts[1]) == claims.Recorded(CREATED)


def test_claim_that_another_host_saw_is_not_granted_again_there(platform, hosts):
    older = platform.copy()
    claim(hosts[0])
    assert claim(hosts[1]).kind is domain.ErrorKind.IN_PROGRESS
    platform.restore(older)
    assert claim(hosts[1]).kind is domain.ErrorKind.IN_PROGRESS


def test_claim_released_before_the_store_lost_it_can_be_granted(platform, hosts):
    older = platform.copy()
    hosts[0].release(claim(hosts[0]).token)
    assert hosts[0].flush(time.monotonic() + WAIT_S) == 0
    platform.restore(older)
    assert isinstance(claim(hosts[0]), claims.Claimed)


def test_claim_that_the_store_lost_is_not_granted_again_at_another_host(
    platform, hosts
):
    older = platform.copy()
    assert isinstance(claim(hosts[0]), claims.Claimed)
    platform.restore(older)
    assert not isinstance(claim(hosts[1]), claims.Claimed)


def read_entries(platform):
    stored = platform.get("claims/0")
    return stored.value["entries"] if hasattr(stored, "value") else {}


@pytest.mark.parametrize("is_down", [False, True])
def test_claims_that_the_store_lost_are_written_again_without_a_request(
    platform, hosts, is_down
):
    older = platform.copy()
    claim(hosts[0])
    claim(hosts[1], OTHER_KEY)
    platform.restore(older)
    platform.is_down = is_down
    time.sleep(0.5)
    platform.is_down = False
    ends_s = time.monotonic() + WAIT_S
    while time.monotonic() < ends_s and len(read_entries(platform)) < 2:
        time.sleep(0.05)
    assert set(read_entries(platform)) == {KEY, OTHER_KEY}
    assert claim(hosts[1]).kind is domain.ErrorKind.IN_PROGRESS


def test_hosts_share_the_rate_at_which_they_restore_claims():
    source = random.Random(7)
    pauses_s = [_restorer.choose_pause_s(20, source) for _ in range(2000)]
    writes_per_s = 20 * len(pauses_s) / sum(pauses_s)
    assert writes_per_s == pytest.approx(_restorer.MAX_WRITES_PER_S, rel=0.05)
    assert len(set(pauses_s)) > 1000
