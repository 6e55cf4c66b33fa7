"""Retries of all hosts together, while hosts' lists of each other are lost."""

import contextlib
import time

import attrs
import pytest

from tests.platform import test_silent_upstreams

pytestmark = pytest.mark.processes
# How long the store does not respond before it is back.
AWAY_S = 0.4
WARM_UP_S = 1.0
# All that is counted lies in one window of the budget (10 s).
LOST_S = 6.0
# Share of the budget that is used at least, by hosts whose requests all fail.
MIN_USED_SHARE = 0.5
RETRY_RATIO = 0.02


def drop_hosts(store_copy):
    """Return a copy of the store from before any host has registered."""
    objects = {
        (kind, name): value
        for (kind, name), value in store_copy.objects.items()
        if kind != "syk-hosts"
    }
    return attrs.evolve(store_copy, objects=objects, events=[])


def restore(store):
    """Let the store come back from a copy that lacks the hosts."""
    store.is_unavailable = True
    time.sleep(AWAY_S)
    store.restore(drop_hosts(store.copy()))
    store.is_unavailable = False


@pytest.fixture
def deployment(tmp_path):
    with contextlib.ExitStack() as stack:
        yield test_silent_upstreams.Deployment(tmp_path, stack, retry_ratio=RETRY_RATIO)


def count_retries(deployment):
    readings = deployment.list_readings_by_request().values()
    return sum(len(each) - 1 for each in readings)


def test_hosts_that_lose_their_list_stay_in_the_budget_of_all(deployment):
    deployment.store.era = 1
    time.sleep(WARM_UP_S)
    restore(deployment.store)
    deployment.set_path(
        f"/{test_silent_upstreams.ROUTE}"
        f"{test_silent_upstreams.upstream_process.FAILING_PATH}"
    )
    time.sleep(LOST_S)
    deployment.stop_callers()
    requests = len(deployment.list_outcomes())
    allowed = test_silent_upstreams.RETRY_SLACK + RETRY_RATIO * requests
    assert MIN_USED_SHARE * allowed <= count_retries(deployment) <= allowed
