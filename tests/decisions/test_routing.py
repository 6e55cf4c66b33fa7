import random

import pytest

from sycamorespoke import decisions, domain

GROUP = domain.UpstreamGroup(
    "scribe", domain.UpstreamKind.MODEL, limit=4, prefill_tokens_per_s=10000.0
)
PROMPT_TOKENS = 10000


def make_candidate(name, running=0, **values):
    host = domain.Host(name, "seeb", domain.HostRole.UPSTREAM, "127.0.0.1:1")
    report = domain.LoadReport("boot", running, 0, "v1", True, 0.0)
    return decisions.Candidate(host=host, group=GROUP, report=report, **values)


def choose(*candidates, prompt_tokens=PROMPT_TOKENS, **weights):
    choice = decisions.choose_upstream(
        list(candidates), domain.CostWeights(**weights), prompt_tokens, random.Random(1)
    )
    return choice[0].host.name, choice[1].imports


def test_choose_upstream_prefers_cached_blocks():
    cached = make_candidate("cached", cached_blocks=4, stored_blocks=4)
    assert choose(make_candidate("empty"), cached) == ("cached", False)


def test_choose_upstream_avoids_a_long_queue_despite_cached_blocks():
    cached = make_candidate("cached", running=12, cached_blocks=1, mean_duration_s=2.0)
    assert choose(make_candidate("empty"), cached) == ("empty", False)


@pytest.mark.parametrize(("transfer_s", "imports"), [(0.1, True), (3.0, False)])
def test_choose_upstream_imports_only_if_faster_than_recomputing(transfer_s, imports):
    candidate = make_candidate("one", stored_blocks=4, transfer_s=transfer_s)
    assert choose(candidate) == ("one", imports)


def test_choose_upstream_depends_on_cost_weights():
    cached = make_candidate(
        "cached", running=4, cached_blocks=4, stored_blocks=4, mean_duration_s=4.0
    )
    empty = make_candidate("empty")
    assert choose(cached, empty, recomputed=0.0)[0] == "empty"
    assert choose(cached, empty, recomputed=5.0)[0] == "cached"


def test_choose_upstream_refuses_without_candidates():
    refusal = decisions.choose_upstream(
        [], domain.CostWeights(), PROMPT_TOKENS, random.Random(1)
    )
    assert refusal.kind is domain.ErrorKind.NO_UPSTREAM


def test_choose_upstream_prefers_upstreams_with_load_report():
    unreported = decisions.Candidate(
        host=make_candidate("unreported").host, group=GROUP, report=None
    )
    reported = make_candidate("reported")
    assert choose(unreported, reported, prompt_tokens=100) == ("reported", False)
