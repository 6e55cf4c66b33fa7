import attrs
import hypothesis
import pytest
from hypothesis import strategies as st

from sycamorespoke import decisions, world

LINK = world.Link(("ruwi", "seeb"), bytes_per_s=1000.0)


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    st.lists(st.tuples(st.floats(0.0, 2.0), st.integers(1, 500)), max_size=50)
)
def test_reserve_never_floods(transfers):
    # Whatever is asked for, what is sent up to any moment stays within the
    # link's speed, one burst and the transfer that is under way.
    pace = decisions.make_link_budget(LINK, 1.0, 0.0).urgent
    now = sent = 0.0
    for passed_s, size in transfers:
        now += passed_s
        pace, wait_s = decisions.reserve_bytes(pace, size, now)
        start = now + wait_s
        assert sent <= LINK.bytes_per_s * start + pace.burst_bytes + 1e-6
        sent += size


@pytest.mark.parametrize("pace", ["urgent", "background"])
@pytest.mark.parametrize(("passed_s", "spare"), [(0.0, False), (0.5, True)])
def test_has_spare_when_nothing_is_owed(pace, passed_s, spare):
    budget = decisions.make_link_budget(LINK, 1.0, 0.0)
    owing, _ = decisions.reserve_bytes(getattr(budget, pace), 600, 0.0)
    budget = attrs.evolve(budget, **{pace: owing})
    assert decisions.has_spare_capacity(budget, passed_s) == spare


@pytest.mark.parametrize(
    ("now", "expected_s"), [(2.0, 10.0), (40.0, 1.0)], ids=["slow", "forgotten"]
)
def test_estimate_transfer_follows_a_slow_link(now, expected_s):
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
    # A quarter of the link is this process's share.
    budget = decisions.make_link_budget(LINK, 0.25, 0.0)
    now = 0.0
    for _ in range(100):
        budget = decisions.begin_transfer(budget, now)
        duration_s = slowdown * 100 / LINK.bytes_per_s
        now += duration_s
        budget = decisions.end_transfer(budget, 100, duration_s, now)
    rates = (budget.urgent.bytes_per_s, budget.background.bytes_per_s)
    assert rates == (urgent, background)


def test_end_transfer_own_transfers_are_no_congestion():
    budget = decisions.make_link_budget(LINK, 0.25, 0.0)
    for _ in range(4):
        budget = decisions.begin_transfer(budget, 0.0)
    budget = decisions.end_transfer(budget, 100, 0.4, 0.4)
    assert budget.urgent.bytes_per_s == LINK.bytes_per_s


@pytest.mark.parametrize(
    ("near_s", "far_s", "far_holds", "chosen"),
    [(0.01, 0.5, 0, "near"), (0.5, 0.01, 0, "far"), (0.01, 0.5, 2, "far")],
)
def test_choose_store(near_s, far_s, far_holds, chosen):
    candidates = [
        decisions.StoreCandidate(_host("near"), near_s),
        decisions.StoreCandidate(_host("far"), far_s, far_holds),
    ]
    assert decisions.choose_store(candidates, "ab").host.name == chosen


def test_choose_store_spreads_prompts():
    candidates = [
        decisions.StoreCandidate(_host(name), 0.01)
        for name in ("ledger-cache", "tag-cache")
    ]
    names = {decisions.choose_store(candidates, str(i)).host.name for i in range(20)}
    assert names == {"ledger-cache", "tag-cache"}


def _host(name):
    return world.Host(name, "seeb", world.HostRole.STORE, "127.0.0.1:1")
