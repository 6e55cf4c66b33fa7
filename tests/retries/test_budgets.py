import bisect
import itertools

import pytest

from sycamorespoke import retries

HOSTS = 4
RATIO = 0.2
SLACK = 58.0
WINDOW_S = 10.0
INTERVAL_S = 0.005
ENDS_S = 40.0
SILENCES = ((12.0, 13.4), (23.0, 24.4))
LOST_S = 12.0


def find_read_s(sent_s):
    """Return when a retry is read that was sent to an upstream of the test."""
    for begun_s, ended_s in SILENCES:
        if begun_s <= sent_s < ended_s:
            return ended_s
    return sent_s


def play(begun_s, found_again_s=LOST_S):
    """Send retries whenever the budget allows; return when requests and retries came.

    Parameters
    ----------
    begun_s : float
        Time from which each request is to be sent again, seconds.
    found_again_s : float, default=LOST_S
        Until when each host knows itself alone, from ``LOST_S`` on, seconds.
    """
    budgets = [retries.RetryBudgets(RATIO, SLACK, WINDOW_S) for _ in range(HOSTS)]
    requests_s, reads_s, unread = [], [], []
    for step, budget in zip(
        range(int(ENDS_S / INTERVAL_S)), itertools.cycle(budgets), strict=False
    ):
        now = step * INTERVAL_S
        requests_s.append(now)
        hosts = 1 if LOST_S <= now < found_again_s else HOSTS
        budget.record_hosts(hosts, now)
        budget.deposit("s", now)
        while unread and unread[0][0] <= now:
            read_s, owner, retry = unread.pop(0)
            owner.record_read(retry, read_s)
        retry = budget.withdraw("s", hosts, now) if now >= begun_s else None
        if retry is not None:
            reads_s.append(find_read_s(now))
            unread.append((reads_s[-1], budget, retry))
    return requests_s, sorted(reads_s)


def count_between(times, begin_s, end_s):
    return bisect.bisect_left(times, end_s) - bisect.bisect_left(times, begin_s)


def compute_worst_excess(requests_s, reads_s):
    """Return by how much the retries of a window exceed what is allowed, at most."""
    worst = float("-inf")
    for begin_s in reads_s:
        end_s = begin_s + WINDOW_S
        count = count_between(reads_s, begin_s, end_s)
        requests = max(
            count_between(requests_s, begin_s - shift_s, end_s - shift_s)
            for shift_s in (0.0, WINDOW_S / 2, WINDOW_S)
        )
        worst = max(worst, count - RATIO * requests - SLACK)
    return worst


@pytest.mark.parametrize("begun_s", [1.0, 11.0, 12.0, 13.0, 23.0])
def test_retries_read_in_any_window_stay_in_the_budget(begun_s):
    requests_s, reads_s = play(begun_s)
    assert compute_worst_excess(requests_s, reads_s) <= 0.0
    # The budget is also there to be used.
    assert count_between(reads_s, begun_s, begun_s + 5.0) >= 0.8 * SLACK


@pytest.mark.parametrize("found_again_s", [12.5, 14.0, 23.0])
@pytest.mark.parametrize("begun_s", [1.0, 12.0, 13.0])
def test_list_of_hosts_that_is_lost_raises_no_share(begun_s, found_again_s):
    requests_s, reads_s = play(begun_s, found_again_s)
    assert compute_worst_excess(requests_s, reads_s) <= 0.0
    assert count_between(reads_s, begun_s, begun_s + 5.0) >= 0.8 * SLACK


def withdraw_all(budget, hosts, now):
    """Withdraw and read retries until the budget allows no more; return how many."""
    for count in itertools.count():
        retry = budget.withdraw("s", hosts, now)
        if retry is None:
            return count
        budget.record_read(retry, now)


def test_share_of_a_host_that_ended_is_free_once_its_retries_no_longer_count():
    ended, other = (retries.RetryBudgets(0.0, 10.0, WINDOW_S) for _ in range(2))
    used = withdraw_all(ended, 2, 10.0)
    assert used + withdraw_all(other, 2, 10.0) == 10
    other.record_hosts(1, 10.5)
    assert withdraw_all(other, 1, 11.0) == 0
    assert withdraw_all(other, 1, 30.0) == 10


def test_slack_is_divided_by_the_hosts_also_where_they_are_many():
    hosts, slack = 200, 50.0
    budgets = [retries.RetryBudgets(RATIO, slack) for _ in range(hosts)]
    count = 0
    for budget in budgets:
        while budget.withdraw("s", hosts, 10.0) is not None:
            count += 1
    assert count <= slack
