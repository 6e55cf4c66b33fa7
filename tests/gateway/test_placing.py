"""Placement by what the hosts know together, and the figures behind it."""

import random

import attrs
import pytest

from sycamorespoke.gateway import _model, _peer_loads, _placing, _table
from tests.gateway import test_chooser

NOW = 100.0
HOSTS = 20
ENGINE = _model.EngineSpec(slots=64, cache_tokens=10000, token_bytes=1)
SERVICE = attrs.evolve(test_chooser.SERVICE, engine=ENGINE)


class Placing:
    """A placer of one host and the loads that it knows."""

    def __init__(self, engines=6, hosts=HOSTS, shared_load_hosts=HOSTS):
        self.table = _table.UpstreamTable()
        self.loads = _peer_loads.PeerLoads()
        self.placer = _placing.Placer(
            "dc-1", self.loads, shared_load_hosts, generator=random.Random(1)
        )
        self.upstreams = [
            test_chooser.make_upstream(f"i-{number}") for number in range(engines)
        ]
        self.view = test_chooser.make_view(
            *self.upstreams,
            hosts_by_name=dict.fromkeys(range(hosts)),
            configuration=_model.Configuration(
                1, (test_chooser.ROUTE,), {"s": SERVICE}
            ),
        )

    def tell(self, work_by_boot, tokens_by_boot=None):
        for load, amounts in (
            (self.loads, work_by_boot),
            (self.loads.tokens, tokens_by_boot or {}),
        ):
            load.record_summary(_peer_loads.WorkReport(amounts, NOW, HOSTS), {})

    def place(self, request=None):
        return self.placer.place(
            self.view,
            self.upstreams,
            self.table.read(self.upstreams),
            request or test_chooser.make_request(),
            test_chooser.ROUTE,
            NOW,
        )


def test_prompt_stays_where_its_blocks_are_while_nothing_waits_there():
    placing = Placing()
    assert {placing.place().upstream.id for _ in range(10)} == {
        placing.place().upstream.id
    }
    assert placing.place().expected_wait_s == 0.0


def test_unread_prompts_of_other_hosts_send_the_next_one_elsewhere():
    placing = Placing()
    first = placing.place().upstream
    placing.tell({first.boot_id: 50000.0})
    assert placing.place().upstream != first


def test_own_sends_count_at_once():
    placing = Placing()
    placing.tell({})
    first = placing.place().upstream
    placing.table.begin_request(first, 50000.0)
    assert placing.place().upstream != first


def test_engine_whose_memory_is_full_is_left():
    placing = Placing()
    first = placing.place().upstream
    placing.tell({}, {first.boot_id: 7 * ENGINE.cache_tokens / 10})
    assert placing.place().upstream == first
    placing.tell({}, {first.boot_id: 4.0 * ENGINE.cache_tokens})
    assert placing.place().upstream != first


def test_figures_older_than_their_lifetime_do_not_count():
    placing = Placing()
    first = placing.place().upstream
    old_s = NOW - _peer_loads.REPORT_LIFETIME_S - 0.1
    placing.loads.record_summary(
        _peer_loads.WorkReport({first.boot_id: 50000.0}, old_s, HOSTS), {}
    )
    assert placing.place().upstream == first


@pytest.mark.parametrize(("hosts", "limit"), [(HOSTS - 1, HOSTS), (HOSTS, 0)])
def test_wait_is_not_estimated_where_loads_are_not_shared(hosts, limit):
    placing = Placing(hosts=hosts, shared_load_hosts=limit)
    assert placing.place().expected_wait_s is None
    assert placing.placer.summarize(placing.view, placing.table, NOW) == {}


def test_requests_without_a_prompt_spread_by_the_load_of_all_hosts():
    placing = Placing(engines=3)
    busy, *_ = placing.upstreams
    placing.tell({busy.boot_id: 90.0})
    request = test_chooser.make_request(None)
    chosen = [placing.place(request).upstream.id for _ in range(60)]
    assert busy.id not in chosen
    assert min(chosen.count(each.id) for each in placing.upstreams[1:]) > 10


def test_summary_names_the_mean_and_the_longest_wait():
    placing = Placing(engines=2)
    one, _ = placing.upstreams
    placing.tell({one.boot_id: 1000.0})
    (load,) = placing.placer.summarize(placing.view, placing.table, NOW).values()
    assert load.max_wait_s == pytest.approx(2 * load.mean_wait_s)
    assert load.max_wait_s == pytest.approx(1000.0 * load.s_per_unit)
