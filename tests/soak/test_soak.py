"""A short run of the soak, and what it checks checked itself."""

import itertools

import attrs
import pytest

from tests.soak import callers, faults, guarantees, run, upstreams

SECONDS = 5.0
# Seeds whose faults overlap; those that ever failed are added with their cause.
SEEDS = (1, 2)
OUTCOME = callers.Outcome(
    "c1-1",
    callers.RequestKind.UNSAFE,
    "h0",
    sent_s=1.0,
    ended_s=2.0,
    status=200,
    has_receipt=True,
    body=upstreams.make_body("c1-1"),
    is_whole=True,
)
STREAM = attrs.evolve(
    OUTCOME, kind=callers.RequestKind.ONCE, body=upstreams.make_stream("c1-1")
)
RUN = upstreams.Run("c1-1", "i-1-1", 1.5)


@pytest.mark.processes
@pytest.mark.parametrize("seed", SEEDS)
def test_the_promises_hold_under_faults(seed):
    verdict = run.run_seed(seed, SECONDS)
    assert verdict.broken == []
    assert verdict.requests > 0


def test_a_seed_always_gives_the_same_faults():
    plans = [faults.plan_faults(7, 60.0, 3, 4) for _ in range(2)]
    assert plans[0] == plans[1]
    assert {each.fault for each in plans[0]} == set(faults.Fault)
    assert all(each.ends_s <= 60.0 for each in plans[0])


def test_faults_overlap():
    planned = faults.plan_faults(7, 60.0, 3, 4)
    pairs = itertools.pairwise(planned)
    assert any(after.at_s < before.ends_s for before, after in pairs)


def test_sound_answers_break_nothing():
    assert guarantees.check([OUTCOME], [RUN]) == []
    assert guarantees.check([STREAM], [RUN]) == []


@pytest.mark.parametrize(
    ("outcome", "runs"),
    [
        (OUTCOME, [RUN, RUN]),
        (attrs.evolve(OUTCOME, status=503, has_receipt=False, body=b""), [RUN]),
        (attrs.evolve(OUTCOME, status=401, has_receipt=False, body=b""), []),
        (attrs.evolve(OUTCOME, has_receipt=False), [RUN]),
        (attrs.evolve(OUTCOME, body=upstreams.make_body("c1-2")), [RUN]),
        (attrs.evolve(STREAM, body=upstreams.encode_event("c1-1", 1)), [RUN]),
        (
            attrs.evolve(
                STREAM, body=upstreams.encode_event("c1-1", 2), is_whole=False
            ),
            [RUN],
        ),
        (attrs.evolve(OUTCOME, request_id="c1-9", body=b""), [RUN]),
    ],
)
def test_each_broken_promise_is_found(outcome, runs):
    assert guarantees.check([outcome], runs)


def test_poor_service_after_the_faults_is_found():
    failed = attrs.evolve(OUTCOME, status=None, is_whole=False)
    assert guarantees.check_recovery([OUTCOME] * 8 + [failed] * 2)
    assert guarantees.check_recovery([OUTCOME] * 19 + [failed]) == []


def test_hosts_that_stay_away_after_the_faults_are_found():
    assert guarantees.check_recovery([])
