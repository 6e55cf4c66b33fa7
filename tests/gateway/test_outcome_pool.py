"""What several hosts see of an upstream is learnt by all, and no host ejects alone."""

import pytest

from sycamorespoke import decisions, messages
from sycamorespoke.gateway import _relay, _table
from tests.gateway import pooled_fleet

DURATION_S = 12.0
# Hosts, upstreams and requests per second.
SIZES = [(30, 12, 150), (195, 63, 580), (400, 90, 1200)]


def play(size, dark, is_pooled=True, duration_s=DURATION_S):
    fleet = pooled_fleet.PooledFleet(*size, is_pooled)
    dark_ids = {each.boot_id for each in fleet.upstreams[:dark]}
    return fleet.run(
        duration_s,
        lambda host, upstream, now: 1.0 if upstream.boot_id in dark_ids else None,
    )


@pytest.mark.parametrize("size", SIZES)
def test_a_quarter_of_the_upstreams_dark_costs_a_third_of_what_each_host_pays(size):
    dark = size[1] // 4
    alone = play(size, dark, is_pooled=False)
    pooled = play(size, dark)
    assert pooled.failed * 3 <= alone.failed
    assert alone.failed / alone.requests > 0.15


@pytest.mark.parametrize("size", SIZES)
def test_a_lost_upstream_costs_few_requests_at_any_number_of_hosts(size):
    # One in three of the hosts, at most, pays; each alone pays two failures.
    assert play(size, 1).failed <= size[0] / 3 + 10


def test_small_deployments_need_no_reader():
    size = (9, 8, 75)
    assert play(size, 2).failed == play(size, 2, is_pooled=False).failed


def test_all_hosts_use_an_upstream_again_that_is_sound_again():
    fleet = pooled_fleet.PooledFleet(195, 20, 580)
    lost = fleet.upstreams[0]
    ended_s = 4.0
    longest_s = decisions.MAX_EJECTION_S + 1.0
    fleet.run(
        ended_s + longest_s + 1.0,
        lambda host, upstream, now: 1.0 if upstream is lost and now < ended_s else None,
    )
    assert fleet.count_ejecting(lost, ended_s - 0.1) > 0
    assert fleet.count_ejecting(lost, ended_s + longest_s + 1.0) == 0
    assert fleet.result.last_failed_s < ended_s


def test_one_host_that_fails_everywhere_ejects_nothing_for_others():
    fleet = pooled_fleet.PooledFleet(195, 20, 580)
    fleet.run(DURATION_S, lambda host, upstream, now: 1.0 if host == "h7" else None)
    for upstream in fleet.upstreams:
        assert fleet.count_ejecting(upstream, DURATION_S) <= 1


def test_a_data_centre_cut_from_some_upstreams_leaves_them_to_the_others():
    fleet = pooled_fleet.PooledFleet(195, 20, 580)
    cut = set(fleet.names[:: pooled_fleet.DATA_CENTRES])
    far_ids = {each.boot_id for each in fleet.upstreams[:5]}

    def find_weight(host, upstream, now):
        return 1.0 if host in cut and upstream.boot_id in far_ids else None

    fleet.run(DURATION_S, find_weight)
    for host in set(fleet.names) - cut:
        states = fleet.tables_by_host[host].read(fleet.upstreams)
        assert all(state.pooled_until_s < 0 for state in states.values())
    ejecting = max(
        fleet.count_ejecting(upstream, DURATION_S) for upstream in fleet.upstreams[:5]
    )
    assert ejecting > len(cut) / 2


def test_hosts_that_have_lost_their_links_report_nothing():
    fleet = pooled_fleet.PooledFleet(195, 20, 580)
    cut = set(fleet.names[:60])
    fleet.run(
        4.0, lambda host, upstream, now: 1.0 if host in cut else None, unreporting=cut
    )
    for host in set(fleet.names) - cut:
        states = fleet.tables_by_host[host].read(fleet.upstreams)
        assert all(state.pooled_until_s < 0 for state in states.values())


def make_request(host, boot_id, failures=1):
    return messages.UpdatesRequest(
        host=host,
        data_centre="z",
        outcomes_by_upstream={boot_id: (0, failures, 1.0 * failures)},
    )


def test_a_host_that_the_upstream_answers_trusts_itself():
    upstream = pooled_fleet.make_upstream(1)
    reader = _table.UpstreamTable("reader", "z")
    for host in ("a", "b", "a", "b"):
        ejected = _relay.pool_outcomes(
            reader, make_request(host, upstream.boot_id), False, 5.0
        )
    assert upstream.boot_id in ejected
    table = _table.UpstreamTable("c", "z")
    table.set_pooled_ejections(ejected, 5.0)
    assert table.read([upstream])[upstream.boot_id].ejected_until_s > 5.0
    table.record_success(upstream, 5.1)
    assert table.read([upstream])[upstream.boot_id].ejected_until_s < 5.0
    table.set_pooled_ejections(ejected, 5.2)
    assert table.read([upstream])[upstream.boot_id].ejected_until_s < 5.0


def test_many_failures_in_the_report_of_one_host_count_once():
    reader = _table.UpstreamTable("reader", "z")
    request = make_request("a", "i-1@7", failures=1000)
    assert _relay.pool_outcomes(reader, request, False, 5.0) == {}
    request = make_request("b", "i-1@7", failures=1)
    assert "i-1@7" in _relay.pool_outcomes(reader, request, False, 5.0)


def test_readers_forward_nothing_while_no_upstream_fails():
    reader = _table.UpstreamTable("reader", "z")
    sound = messages.UpdatesRequest(
        host="a", data_centre="z", outcomes_by_upstream={"i-1@7": (20, 0, 0.0)}
    )
    _relay.pool_outcomes(reader, sound, False, 5.0)
    assert reader.outcomes.make_forwarding() is None
    _relay.pool_outcomes(reader, make_request("a", "i-1@7"), False, 5.1)
    assert reader.outcomes.make_forwarding().forwarded_outcomes
    # The successes after it are forwarded until they outweigh it.
    _relay.pool_outcomes(reader, sound, False, 5.2)
    assert reader.outcomes.make_forwarding().forwarded_outcomes
    _relay.pool_outcomes(reader, sound, False, 5.3)
    assert reader.outcomes.make_forwarding() is None


def test_odd_numbers_in_a_report_do_not_break_the_pool():
    reader = _table.UpstreamTable("reader", "z")
    for values in ((10**18, 1, -5.0), (0, 1, 1e300), (-1, -1, 0.0)):
        request = messages.UpdatesRequest(
            host="a", data_centre="z", outcomes_by_upstream={"i-1@7": values}
        )
        assert _relay.pool_outcomes(reader, request, False, 5.0) == {}
