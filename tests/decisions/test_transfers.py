import attrs
import hypothesis
import pytest
from hypothesis import strategies as st

from sycamorespoke import decisions, domain

LINK = domain.Link(("ruwi", "seeb"), bytes_per_s=1000.0)


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    st.lists(st.tuples(st.floats(0.0, 2.0), st.integers(1, 500)), max_size=50)
)
def test_reserve_bytes_never_exceeds_rate_and_burst(transfers):
    # At any time, the bytes sent are at most what the rate allows plus one burst
    # and the transfer in progress, whatever sizes are requested.
    bucket = decisions.make_link_budget(LINK, 1.0, 0.0).urgent
    now = sent = 0.0
    for elapsed_s, size in transfers:
        now += elapsed_s
        bucket, wait_s = decisions.reserve_bytes(bucket, size, now)
        start = now + wait_s
        assert sent <= LINK.bytes_per_s * start + bucket.burst_bytes + 1e-6
        sent += size


@pytest.mark.parametrize("name", ["urgent", "background"])
@pytest.mark.parametrize(("now", "has_spare"), [(0.0, False), (0.5, True)])
def test_has_spare_capacity_without_deficit(name, now, has_spare):
    budget = decisions.make_link_budget(LINK, 1.0, 0.0)
    bucket, _ = decisions.reserve_bytes(getattr(budget, name), 600, 0.0)
    budget = attrs.evolve(budget, **{name: bucket})
    assert decisions.has_spare_capacity(budget, now) == has_spare


@pytest.mark.parametrize(
    ("now", "expected_s"), [(2.0, 10.0), (40.0, 1.0)], ids=["recent", "expired"]
)
def test_estimate_transfer_uses_recently_observed_speed(now, expected_s):
    budget = decisions.make_link_budget(LINK, 1.0, 0.0)
    budget = decisions.begin_transfer(budget, 0.0)
    budget = decisions.begin_transfer(budget, 0.0)
    budget = decisions.end_transfer(budget, 100, 0.1, 1.0)
    budget = decisions.end_transfer(budget, 0, 1.0, 1.0)
    assert decisions.estimate_transfer_s(budget, 1000, now) == expected_s


@pytest.mark.parametrize(
    ("slowdown", "urgent", "background"), [(1.0, 1000.0, 800.0), (8.0, 250.0, 31.25)]
)
def test_end_transfer_adapts_rates(slowdown, urgent, background):
    # The share of this process is a quarter of the link.
    budget = decisions.make_link_budget(LINK, 0.25, 0.0)
    now = 0.0
    for _ in range(100):
        budget = decisions.begin_transfer(budget, now)
        duration_s = slowdown * 100 / LINK.bytes_per_s
        now += duration_s
        budget = decisions.end_transfer(budget, 100, duration_s, now)
    rates = (budget.urgent.bytes_per_s, budget.background.bytes_per_s)
    assert rates == (urgent, background)


def test_end_transfer_ignores_slowdown_by_own_transfers():
    budget = decisions.make_link_budget(LINK, 0.25, 0.0)
    for _ in range(4):
        budget = decisions.begin_transfer(budget, 0.0)
    budget = decisions.end_transfer(budget, 100, 0.4, 0.4)
    assert budget.urgent.bytes_per_s == LINK.bytes_per_s


@pytest.mark.parametrize(
    ("near_s", "far_s", "far_stored_blocks", "chosen"),
    [(0.01, 0.5, 0, "near"), (0.5, 0.01, 0, "far"), (0.01, 0.5, 2, "far")],
)
def test_choose_store_by_stored_blocks_then_transfer_time(
    near_s, far_s, far_stored_blocks, chosen
):
    candidates = [
        decisions.StoreCandidate(_make_host("near"), near_s),
        decisions.StoreCandidate(_make_host("far"), far_s, far_stored_blocks),
    ]
    assert decisions.choose_store(candidates, "ab").host.name == chosen


def test_choose_store_spreads_prompts_over_equal_stores():
    candidates = [
        decisions.StoreCandidate(_make_host(name), 0.01)
        for name in ("ledger-cache", "tag-cache")
    ]
    names = {decisions.choose_store(candidates, str(i)).host.name for i in range(20)}
    assert names == {"ledger-cache", "tag-cache"}


def _make_host(name):
    return domain.Host(name, "seeb", domain.HostRole.STORE, "127.0.0.1:1")
