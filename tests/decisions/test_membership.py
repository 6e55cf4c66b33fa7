import pytest

from sycamorespoke import decisions, membership, world

NEVER_S = float("-inf")
FOUR = tuple(f"seeb-{i}" for i in range(2, 5))


def make_neighbours(**others):
    return decisions.Neighbours("seeb", {"seeb": FOUR, **others})


@pytest.mark.parametrize(
    ("names", "expected_s"),
    [
        (FOUR, NEVER_S),
        ((*FOUR, "ruwi-1"), 5.0),
        (("seeb-2", "ruwi-1", "qurum-1"), 5.0),
        (("ruwi-1",), NEVER_S),
        (("stranger-1", "stranger-2", "ruwi-1"), NEVER_S),
    ],
)
def test_confirmed_by_peers_each_data_centre_weighs_the_same(names, expected_s):
    neighbours = make_neighbours(ruwi=("ruwi-1",), qurum=("qurum-1",))
    asked_s_by_name = dict.fromkeys(names, 5.0)
    assert (
        decisions.compute_peers_confirmed_s(neighbours, asked_s_by_name) == expected_s
    )


def test_confirmed_by_peers_latest_time_that_covers_more_than_half():
    neighbours = make_neighbours(ruwi=("ruwi-1",), qurum=("qurum-1",))
    asked_s_by_name = {"ruwi-1": 9.0, "qurum-1": 7.0, "seeb-2": 3.0}
    assert decisions.compute_peers_confirmed_s(neighbours, asked_s_by_name) == 7.0


@pytest.mark.parametrize("count", [1, 2, 3, 10])
def test_is_watcher_a_few_of_those_alive(count):
    names = [f"seeb-{i}" for i in range(count)]
    hosts_by_name = {
        name: world.Host(name, "seeb", world.HostRole.ENTRY, "") for name in names
    }
    # More are listed and were not heard for long.
    for name in [f"seeb-dead-{i}" for i in range(9)]:
        hosts_by_name[name] = world.Host(name, "seeb", world.HostRole.ENTRY, "")
    view = membership.View(
        hosts=world.HostList(1, hosts_by_name),
        alive_by_name={**dict.fromkeys(names, 99.0), "seeb-dead-0": 50.0},
    )
    watchers = [
        name for name in names if decisions.is_watcher(name, "seeb", view, 100.0)
    ]
    assert len(watchers) == min(count, decisions.WATCHERS_PER_DATA_CENTRE)
