"""Interleavings of hosts, crashes and uncertain writes on one shard."""

import collections

import hypothesis
from hypothesis import strategies

from sycamorespoke import claims, decisions, domain
from sycamorespoke.claims import _shard_writer, _waiter
from tests import fakes

HOUR_S = 3600.0
REQUEST = decisions.hash_request("POST", "/bookings", b"{}")
KEYS = [decisions.hash_claim_key("abrr", "bibs", name) for name in ("one", "two")]
STEPS = ["claim", "claim", "send", "unsent", "lose", "write", "crash", "late", "hour"]
FAULTS = ["ok", "ok", "ok", "down", "lost", "dropped", "late", "stale", "rival"]


class Deployment:
    """Four hosts that share a platform and a service that counts runs by key."""

    def __init__(self, faults):
        self.now = 1e9
        self.platform = fakes.FakePlatform(faults)
        self.platform.concurrent_writer = self.write_concurrently
        self.runs_by_key = collections.Counter()
        self.lost_keys = set()
        self.nonces = 0
        self.writers = [self.make_writer() for _ in range(4)]
        self.held = [[] for _ in range(4)]

    def make_writer(self):
        return _shard_writer.ShardWriter(
            self.platform,
            0,
            24 * HOUR_S,
            900_000,
            lambda: self.now,
            _shard_writer.WriterStats(),
        )

    def claim(self, host, key):
        self.nonces += 1
        token = decisions.ClaimToken(key, REQUEST, f"{host}/{self.nonces}")
        operation = decisions.Claim(token, self.now, self.now + 30.0)
        pending = _waiter.PendingClaim(operation)
        self.writers[host].claims.append(pending)
        self.writers[host].write()
        result = pending.wait(0.0)
        if isinstance(result, claims.Claimed):
            self.held[host].append(token)
        if isinstance(result, claims.Recorded):
            assert self.runs_by_key[key] == 1
        return result

    def write_concurrently(self):
        faults, self.platform.faults = self.platform.faults, []
        self.claim(3, KEYS[0])
        self.platform.faults = faults

    def step(self, step, host, key):
        if step == "claim":
            self.claim(host, key)
        elif step in ("send", "unsent", "lose") and self.held[host]:
            self.finish_claim(step, host, self.held[host].pop(0))
        elif step == "write":
            self.writers[host].write()
        elif step == "crash":
            waiting = [each.token for each in self.writers[host].background]
            lost = [*self.held[host], *waiting]
            self.lost_keys.update(token.key_hash for token in lost)
            self.writers[host] = self.make_writer()
            self.held[host] = []
        elif step == "late":
            self.platform.land_late()
        elif step == "hour":
            self.now += HOUR_S

    def finish_claim(self, step, host, token):
        background = self.writers[host].background
        if step == "unsent":
            background.append(decisions.ReleaseClaim(token))
            return
        self.runs_by_key[token.key_hash] += 1
        assert self.runs_by_key[token.key_hash] == 1
        if step == "lose":
            self.lost_keys.add(token.key_hash)
        status = 0 if step == "lose" else 201
        background.append(decisions.RecordOutcome(token, decisions.Outcome(status)))

    def heal(self):
        self.platform.faults = []
        for host in range(4):
            while self.held[host]:
                self.finish_claim("send", host, self.held[host].pop(0))
            assert self.writers[host].write()
        self.platform.land_late()


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(
    strategies.lists(strategies.sampled_from(FAULTS), max_size=30),
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(STEPS),
            strategies.integers(0, 2),
            strategies.sampled_from(KEYS),
        ),
        max_size=25,
    ),
)
@hypothesis.example(["ok", "late", "down"], [("claim", 0, KEYS[0])])
@hypothesis.example(
    ["ok", "ok", "ok", "late", "down", "stale"],
    [
        ("claim", 1, KEYS[0]),
        ("claim", 0, KEYS[1]),
        ("write", 0, KEYS[1]),
        ("late", 0, KEYS[1]),
    ],
)
@hypothesis.example(["ok", "lost"], [("claim", 0, KEYS[0])])
def test_interleavings_run_at_most_once_and_land(faults, steps):
    deployment = Deployment(faults)
    for step, host, key in steps:
        deployment.step(step, host, key)
    deployment.heal()
    for key in KEYS:
        result = deployment.claim(0, key)
        if key not in deployment.lost_keys:
            landed = deployment.runs_by_key[key] == 1
            assert isinstance(result, claims.Recorded if landed else claims.Claimed)
        if isinstance(result, claims.Claimed):
            deployment.step("send", 0, key)


def test_retention_drops_recorded_and_keeps_open_claims():
    recorded = decisions.ClaimToken(KEYS[0], REQUEST, "entry-1/1")
    running = decisions.ClaimToken(KEYS[1], REQUEST, "entry-1/2")
    first = decisions.apply_claim_operations(
        None,
        [
            decisions.Claim(recorded, 0.0, 30.0),
            decisions.Claim(running, 0.0, 30.0),
            decisions.RecordOutcome(recorded, decisions.Outcome(201)),
        ],
        now=0.0,
    )
    again = [
        decisions.Claim(decisions.ClaimToken(key, REQUEST, "entry-2/1"), 1e5, 1e5 + 30)
        for key in KEYS
    ]
    results = decisions.apply_claim_operations(first.value, again, now=1e5).results
    assert isinstance(results[0], claims.Claimed)
    assert results[1].kind is domain.ErrorKind.OUTCOME_UNKNOWN


def test_full_shard_refuses_claims_and_records_outcomes():
    value = None
    tokens = []
    for number in range(100):
        key = decisions.hash_claim_key("abrr", "bibs", str(number))
        token = decisions.ClaimToken(key, REQUEST, f"entry-1/{number}")
        claim = decisions.Claim(token, 0.0, 30.0)
        step = decisions.apply_claim_operations(value, [claim], 0.0, shard_bytes=8000)
        value = step.value
        if isinstance(step.results[0], claims.Claimed):
            tokens.append(token)
    assert step.results[0].kind is domain.ErrorKind.CLAIMS_UNAVAILABLE
    outcome = decisions.Outcome(201, body=b"x" * 2000)
    records = [decisions.RecordOutcome(token, outcome) for token in tokens]
    full = decisions.apply_claim_operations(value, records, 0.0, shard_bytes=8000)
    assert set(full.value["entries"]) == {token.key_hash for token in tokens}
    assert full.value["bytes"] < 12_000
    repeated = decisions.Claim(tokens[0], 1.0, 31.0)
    result = decisions.apply_claim_operations(full.value, [repeated], 1.0).results[0]
    assert result.outcome.status == 201
