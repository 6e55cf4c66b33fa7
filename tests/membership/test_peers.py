import time

import pytest

from sycamorespoke import decisions, domain, membership

KEY = "shared-secret"
RULES = "deployment abrr  # asked by Salma: pickup queue\n"
DATA_CENTRES_BY_NAME = {
    "seeb-1": "seeb",
    "seeb-2": "seeb",
    "ruwi-1": "ruwi",
    "qurum-1": "qurum",
}


class Fleet:
    """Members with one platform each, so that each can be cut off separately."""

    def __init__(self, make_platform):
        self.make_platform = make_platform
        self.platforms_by_name = {}
        self.members_by_name = {}

    def start(self, name, **options):
        platform = self.platforms_by_name.setdefault(name, self.make_platform())
        self.members_by_name[name] = membership.Member.start(
            name,
            DATA_CENTRES_BY_NAME[name],
            platform,
            listen="127.0.0.1:0",
            shared_key=KEY,
            **options,
        )
        return self.members_by_name[name]

    def list_hosts(self):
        hosts_by_name = {
            name: domain.Host(
                name, member.data_centre, domain.HostRole.ENTRY, "", member.peer_address
            )
            for name, member in self.members_by_name.items()
        }
        for platform in self.platforms_by_name.values():
            platform.hosts = domain.HostList(2, hosts_by_name)

    def all_ready(self):
        now = time.monotonic()
        return all(member.is_ready(now) for member in self.members_by_name.values())

    def stop(self):
        for member in self.members_by_name.values():
            member.stop()


@pytest.fixture
def fleet(make_platform):
    fleet = Fleet(make_platform)
    try:
        for name in DATA_CENTRES_BY_NAME:
            fleet.start(name)
        fleet.list_hosts()
        yield fleet
    finally:
        fleet.stop()


def set_down(fleet):
    for platform in fleet.platforms_by_name.values():
        platform.down = True


def test_peers_all_adopt_change_read_by_one_host(fleet, wait_until):
    members = fleet.members_by_name.values()
    assert wait_until(lambda: all(m.view.hosts.revision == 2 for m in members))
    set_down(fleet)
    platform = fleet.platforms_by_name["ruwi-1"]
    platform.put("rules", 5, revision=2, text=RULES)
    platform.down = False
    assert wait_until(
        lambda: all(m.view.configuration.revision == 2 for m in members), 3.0
    )
    assert wait_until(fleet.all_ready, 3.0)


def test_peers_stay_ready_during_platform_outage(fleet, wait_until):
    for platform in fleet.platforms_by_name.values():
        platform.put("rules", 5, revision=2, text=RULES)
    assert wait_until(fleet.all_ready)
    set_down(fleet)
    time.sleep(decisions.MAX_CONFIRMATION_AGE_S + 1.0)
    assert fleet.all_ready()


def test_peers_host_started_during_outage_adopts_highest_revision(fleet, wait_until):
    for platform in fleet.platforms_by_name.values():
        platform.put("rules", 5, revision=2, text=RULES)
    assert wait_until(fleet.all_ready)
    set_down(fleet)
    fleet.members_by_name.pop("seeb-2").stop()
    assert not decisions.is_ready(membership.View(), time.monotonic())
    seed = fleet.members_by_name["ruwi-1"].peer_address
    fleet.start("seeb-2", seeds=(seed,))
    assert wait_until(fleet.all_ready)
    assert fleet.members_by_name["seeb-2"].view.configuration.revision == 2
