import hypothesis
from hypothesis import strategies

from sycamorespoke import decisions
from sycamorespoke.decisions import _reachability


def fail(state, *boot_ids, now=0.0, **options):
    for boot_id in boot_ids:
        state = decisions.record_link_failure(state, boot_id, now, **options)
    return state


def test_one_failing_upstream_of_several_is_no_lost_link():
    state = fail(decisions.LinkState(), *["i-1"] * 20)
    assert not state.is_lost(0.0)
    assert state.is_suspect(0.0)


def test_the_only_upstream_of_a_service_shows_a_lost_link():
    assert fail(decisions.LinkState(), "i-1", wanted=1).is_lost(0.0)


def test_failures_that_are_long_apart_are_no_lost_link():
    state = fail(decisions.LinkState(), "i-1")
    later_s = _reachability.EVIDENCE_LIFETIME_S
    assert not fail(state, "i-2", now=later_s).is_lost(later_s)


def test_links_count_as_lost_until_no_request_has_failed_for_a_while():
    state = fail(decisions.LinkState(), "i-1", "i-2")
    state = fail(state, "i-2", now=4.0)
    assert state.lost_since_s == 0.0
    assert state.is_lost(8.9)
    assert not state.is_lost(9.0)


def test_trials_become_rarer_up_to_a_bound():
    state = fail(decisions.LinkState(), "i-1", "i-2")
    trials, now = [], 0.0
    while now < 10.0:
        if state.may_try(now):
            trials.append(now)
            state = decisions.begin_link_trial(state, now)
        now += 0.25
    assert trials == [0.5, *map(float, range(1, 10))]


@hypothesis.given(
    strategies.lists(
        strategies.tuples(strategies.sampled_from("abc"), strategies.floats(0, 3)),
        max_size=30,
    )
)
def test_links_are_lost_only_after_failures_of_two_upstreams(failures):
    state, now = decisions.LinkState(), 0.0
    failed = set()
    for boot_id, pause_s in failures:
        now += pause_s
        state = decisions.record_link_failure(state, boot_id, now)
        failed.add(boot_id)
        assert not state.is_lost(now) or len(failed) >= 2
        assert state.is_suspect(now)
