import threading
import time

import pytest

from sycamorespoke import admission, domain

ANSWERED = admission.AttemptOutcome.ANSWERED
WAIT_S = 5.0


def configuration(limit=2, queue_wait_s=2.0, **account):
    accounts = [domain.ClientAccount("large", "0"), domain.ClientAccount("small", "1")]
    if account:
        accounts.append(domain.ClientAccount("limited", "2", **account))
    group = domain.UpstreamGroup("agenda", domain.UpstreamKind.SERVICE, limit=limit)
    return domain.Configuration(
        limits=domain.Limits(queue_wait_s=queue_wait_s, queue_length=100),
        groups_by_name={"agenda": group},
        routes_by_name={"jobs": domain.Route("jobs", "agenda")},
        accounts_by_name={one.name: one for one in accounts},
    )


def slot_table(**parameters):
    table = admission.SlotTable(configuration(**parameters))
    table.set_upstreams("agenda", ["agenda-1"], now=0.0)
    return table


def record_hold(table, hold_s=0.5):
    ticket = table.request_slot("small", "jobs", 30.0, now=0.0)
    table.release(ticket, ANSWERED, None, now=hold_s)


def test_request_slot_serves_small_account_next_during_flood():
    table = slot_table(limit=1)
    first = table.request_slot("large", "jobs", 30.0, now=0.0)
    for _ in range(20):
        table.request_slot("large", "jobs", 30.0, now=0.0)
    small = table.request_slot("small", "jobs", 30.0, now=0.0).ticket
    granted = table.release(first, ANSWERED, None, now=0.1)
    granted += table.release(granted[0], ANSWERED, None, now=0.2)
    assert small in granted


@pytest.mark.parametrize(
    ("deadline_s", "waiting"),
    [(30.0, 4), (4.0, 4), (2.0, 2), (1.0, 1)],
)
def test_request_slot_refuses_on_arrival_if_estimated_wait_is_too_long(
    deadline_s, waiting
):
    table = slot_table(limit=2)
    record_hold(table, hold_s=0.5)
    results = [
        table.request_slot("large", "jobs", deadline_s, now=1.0) for _ in range(30)
    ]
    kinds = [type(result) for result in results]
    assert kinds.count(admission.Ticket) == 2
    assert kinds.count(admission.Queued) == waiting
    assert results[-1].kind is domain.ErrorKind.OVERLOADED
    assert results[-1].error_response().retry_after_s >= 1


def test_request_slot_refuses_earlier_behind_standing_queue():
    table = slot_table(limit=2)
    record_hold(table, hold_s=0.5)
    for _ in range(6):
        table.request_slot("large", "jobs", 30.0, now=1.0)
    assert isinstance(
        table.request_slot("small", "jobs", 30.0, now=1.5), admission.Queued
    )
    refusal = table.request_slot("small", "jobs", 30.0, now=2.5)
    assert refusal.kind is domain.ErrorKind.OVERLOADED


@pytest.mark.parametrize(
    ("account", "kind"),
    [
        ({"rate": 1.0}, domain.ErrorKind.RATE_LIMITED),
        ({"concurrency": 1}, domain.ErrorKind.CONCURRENCY_LIMITED),
    ],
)
def test_request_slot_refuses_account_over_its_limit(account, kind):
    table = slot_table(**account)
    assert isinstance(
        table.request_slot("limited", "jobs", 30.0, now=0.0), admission.Ticket
    )
    assert table.request_slot("limited", "jobs", 30.0, now=0.0).kind is kind
    assert isinstance(
        table.request_slot("small", "jobs", 30.0, now=0.0), admission.Ticket
    )


def test_request_slot_refuses_without_upstream():
    table = admission.SlotTable(configuration())
    refusal = table.request_slot("small", "jobs", 30.0, now=0.0)
    assert refusal.kind is domain.ErrorKind.NO_UPSTREAM


def test_assign_respects_limit_and_refusals_halve_it():
    table = slot_table(limit=4)
    tickets = [table.request_slot("large", "jobs", 30.0, now=0.0) for _ in range(4)]
    assert all(table.assign(ticket, "agenda-1") for ticket in tickets)
    assert not table.assign(tickets[0], "agenda-1")
    for ticket in tickets:
        table.release(ticket, admission.AttemptOutcome.REFUSED, None, now=1.0)
    assert table.free_by_upstream("agenda") == {"agenda-1": 2}


def test_acquire_retry_is_limited_to_a_tenth_of_requests():
    table = slot_table(limit=1000)
    for _ in range(100):
        table.request_slot("large", "jobs", 30.0, now=0.0)
    retries = sum(table.acquire_retry("jobs") for _ in range(100))
    assert retries == 10


def test_acquire_returns_after_release_of_another_slot():
    host = admission.Admission(configuration(limit=1))
    host.set_upstreams("agenda", ["agenda-1"], time.monotonic())
    first = host.acquire("large", "jobs", 30.0, time.monotonic())
    results = []

    def acquire():
        results.append(host.acquire("small", "jobs", 30.0, time.monotonic()))

    thread = threading.Thread(target=acquire)
    thread.start()
    host.release(first, ANSWERED, time.monotonic())
    thread.join(WAIT_S)
    assert isinstance(results[0], admission.Ticket)
    assert host.stats(time.monotonic()).groups_by_name["agenda"].running == 1


def test_acquire_times_out_and_leaves_queue():
    host = admission.Admission(configuration(limit=1, queue_wait_s=0.05))
    host.set_upstreams("agenda", ["agenda-1"], time.monotonic())
    host.acquire("large", "jobs", 30.0, time.monotonic())
    refusal = host.acquire("small", "jobs", 30.0, time.monotonic())
    assert refusal.kind is domain.ErrorKind.OVERLOADED
    stats = host.stats(time.monotonic())
    assert stats.active_by_account == {"large": 1, "small": 0}
