import pytest

from sycamorespoke import decisions, domain, membership

NEVER_S = float("-inf")
SEEB_PEERS = tuple(f"seeb-{i}" for i in range(2, 5))


def make_neighbours(**others):
    return decisions.Neighbours("seeb", {"seeb": SEEB_PEERS, **others})


@pytest.mark.parametrize(
    ("names", "expected_s"),
    [
        (SEEB_PEERS, NEVER_S),
        ((*SEEB_PEERS, "ruwi-1"), 5.0),
        (("seeb-2", "ruwi-1", "qurum-1"), 5.0),
        (("ruwi-1",), NEVER_S),
        (("stranger-1", "stranger-2", "ruwi-1"), NEVER_S),
    ],
)
def test_compute_peers_confirmed_s_weighs_data_centres_equally(names, expected_s):
    neighbours = make_neighbours(ruwi=("ruwi-1",), qurum=("qurum-1",))
    requested_s_by_name = dict.fromkeys(names, 5.0)
    assert (
        decisions.compute_peers_confirmed_s(neighbours, requested_s_by_name)
        == expected_s
    )


def test_compute_peers_confirmed_s_returns_latest_time_with_majority():
    neighbours = make_neighbours(ruwi=("ruwi-1",), qurum=("qurum-1",))
    requested_s_by_name = {"ruwi-1": 9.0, "qurum-1": 7.0, "seeb-2": 3.0}
    assert decisions.compute_peers_confirmed_s(neighbours, requested_s_by_name) == 7.0


@pytest.mark.parametrize("count", [1, 2, 3, 10])
def test_is_watcher_selects_first_ranked_live_hosts(count):
    names = [f"seeb-{i}" for i in range(count)]
    hosts_by_name = {
        name: domain.Host(name, "seeb", domain.HostRole.ENTRY, "") for name in names
    }
    # Other listed hosts have sent no heartbeat recently.
    for name in [f"seeb-dead-{i}" for i in range(9)]:
        hosts_by_name[name] = domain.Host(name, "seeb", domain.HostRole.ENTRY, "")
    view = membership.View(
        hosts=domain.HostList(1, hosts_by_name),
        last_heartbeat_s_by_name={**dict.fromkeys(names, 99.0), "seeb-dead-0": 50.0},
    )
    watchers = [
        name for name in names if decisions.is_watcher(name, "seeb", view, 100.0)
    ]
    assert len(watchers) == min(count, decisions.WATCHERS_PER_DATA_CENTRE)
