import threading
import time

import pytest

from sycamorespoke import claims, decisions, domain
from sycamorespoke.claims import _writer
from tests import fakes

KEY = decisions.hash_claim_key("abrr", "bibs", "key-1")
REQUEST = decisions.hash_request("POST", "/bibs", b"{}")
CREATED = decisions.Outcome(201, (("Content-Type", "text/plain"),), b"bib 7")
WAIT_S = 5.0


@pytest.fixture
def start():
    started = []

    def start_claims(platform, holder="entry-1", **parameters):
        started.append(claims.Claims(platform, holder, **parameters))
        return started[-1]

    yield start_claims
    for one in started:
        one.stop()


def flush(host):
    return host.flush(time.monotonic() + WAIT_S)


def claim(host, key=KEY, request=REQUEST, now=None):
    return host.claim(key, request, now or time.time(), wait_s=WAIT_S)


def test_claim_returns_outcome_recorded_by_another_host(start):
    platform = fakes.FakePlatform()
    one, other = start(platform), start(platform, "entry-2")
    first = claim(one)
    assert isinstance(first, claims.Claimed)
    assert claim(other).kind is domain.ErrorKind.IN_PROGRESS
    one.record(first.token, CREATED)
    assert flush(one) == 0
    assert claim(other) == claims.Recorded(CREATED)


def test_claim_past_deadline_stays_open_with_unknown_outcome(start):
    platform = fakes.FakePlatform()
    day_before = time.time() - 2 * 86400
    claim(start(platform), now=day_before)
    late = claim(start(platform, "entry-2"))
    assert late.kind is domain.ErrorKind.OUTCOME_UNKNOWN


def test_claim_refuses_other_request_with_same_key(start):
    host = start(fakes.FakePlatform())
    claim(host)
    other = decisions.hash_request("POST", "/bibs", b"{1}")
    assert claim(host, request=other).kind is domain.ErrorKind.KEY_REUSED


def test_release_makes_key_claimable_again(start):
    host = start(fakes.FakePlatform())
    host.release(claim(host).token)
    assert isinstance(claim(host), claims.Claimed)


@pytest.mark.parametrize(
    ("faults", "granted"),
    [
        (["ok", "lost"], True),
        (["ok", "dropped"], True),
        (["ok", "late"], True),
        (["ok", "late", "ok", "late"], True),
        (["down"], False),
        (["ok", "down"], False),
        (["ok", "lost", "down"], False),
        (["ok", "dropped", "down"], False),
        (["ok", "late", "down"], False),
    ],
)
def test_claim_refused_after_faults_leaves_key_claimable(start, faults, granted):
    platform = fakes.FakePlatform(faults)
    host = start(platform)
    result = claim(host)
    assert isinstance(result, claims.Claimed) is granted
    if not granted:
        assert result.kind is domain.ErrorKind.CLAIMS_UNAVAILABLE
        assert flush(host) == 0
        platform.land_late()
        assert isinstance(claim(start(platform, "entry-2")), claims.Claimed)


def test_record_is_written_after_platform_outage(start):
    platform = fakes.FakePlatform()
    host = start(platform)
    token = claim(host).token
    platform.is_down = True
    host.record(token, CREATED)
    assert claim(host) == claims.Recorded(CREATED)
    assert host.flush(time.monotonic() + 0.1) == 1
    platform.is_down = False
    assert flush(host) == 0
    assert claim(start(platform, "entry-2")) == claims.Recorded(CREATED)


def test_claim_is_refused_with_another_number_of_shards(start):
    platform = fakes.FakePlatform()
    first = claim(start(platform, shards=4))
    other = claim(start(platform, "entry-2", shards=8))
    assert isinstance(first, claims.Claimed)
    assert other.kind is domain.ErrorKind.CLAIMS_UNAVAILABLE


def test_cache_of_shard_values_is_limited(start, monkeypatch):
    monkeypatch.setattr(_writer, "MAX_CACHED_BYTES", 500)
    platform = fakes.FakePlatform()
    host = start(platform, shards=64, writers=1)
    keys = [decisions.hash_claim_key("abrr", "bibs", str(i)) for i in range(20)]
    for key in keys:
        host.record(claim(host, key).token, CREATED)
    assert flush(host) == 0
    assert {type(claim(host, key)) for key in keys} == {claims.Recorded}
    assert host.stats().reads > len(keys)


def test_concurrent_claims_share_writes(start):
    platform = fakes.FakePlatform()
    host = start(platform, shards=1)
    keys = [decisions.hash_claim_key("abrr", "bibs", str(i)) for i in range(50)]
    results = []
    with platform._lock:
        threads = [
            threading.Thread(target=lambda k=key: results.append(claim(host, k)))
            for key in keys
        ]
        for thread in threads:
            thread.start()
        time.sleep(0.2)
    for thread in threads:
        thread.join()
    assert [type(result) for result in results] == [claims.Claimed] * 50
    assert host.stats().writes <= 3
