"""Requests whose first event is overdue."""

import pytest

from sycamorespoke.gateway import _attempt_budget, _overdue, _retry_budgets
from tests.fakes import in_process_gateway


class Attempts:
    def __init__(self):
        self.told = 0

    def handle_overdue(self):
        self.told += 1


@pytest.mark.parametrize(
    ("expected_s", "due_s"),
    [(0.0, _overdue.MIN_PATIENCE_S), (2.0, 2.0 * _overdue.PATIENCE_FACTOR)],
)
def test_attempt_is_told_once_when_its_patience_is_over(expected_s, due_s):
    watch, attempts = _overdue.OverdueWatch(), Attempts()
    watch.watch(attempts, expected_s, 10.0)
    watch.step(10.0 + due_s - 0.01)
    assert attempts.told == 0
    watch.step(10.0 + due_s)
    watch.step(10.0 + due_s + 1.0)
    assert attempts.told == 1


def test_attempt_that_has_begun_is_not_told():
    watch, attempts = _overdue.OverdueWatch(), Attempts()
    watch.watch(attempts, 0.0, 10.0)
    watch.unwatch(attempts)
    watch.step(100.0)
    assert attempts.told == 0


class Budgets:
    """What an attempt budget needs of a gateway."""

    def __init__(self, slack):
        self.budgets = _retry_budgets.RetryBudgets(0.0, slack)
        self.views = self

    def get(self):
        return self

    hosts = ("h1",)


def make_budget(slack, attempts=2):
    route = in_process_gateway.make_route(
        "stream", in_process_gateway._model.RouteKind.STREAM, attempts=attempts
    )
    request = type("Request", (), {"forward_mark": None})()
    return _attempt_budget.AttemptBudget(Budgets(slack), request, route)


def test_reserved_retry_is_used_by_the_next_attempt_and_counts_once():
    budget = make_budget(slack=1.0)
    assert budget.reserve("s", 1)
    assert budget.withdraw("s", 1)
    assert not budget.withdraw("s", 1)


def test_nothing_is_reserved_without_a_retry_or_another_attempt():
    assert not make_budget(slack=0.5, attempts=1).reserve("s", 1)
    budget = make_budget(slack=1.0)
    assert budget.reserve("s", 1)
    assert budget.reserve("s", 1)
    assert budget.withdraw("s", 1)
