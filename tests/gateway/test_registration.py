"""Registration of hosts, and the shared key, also in later eras of the store."""

import collections

import attrs
import pytest

from sycamorespoke import clients
from sycamorespoke.gateway import _host_registry, _model, _registration, _views
from sycamorespoke.platform import _objects

NAMES = [f"h{number}" for number in range(300)]


class Objects:
    """Objects of one kind in a store that may be away."""

    def __init__(self):
        self.values = {}
        self.is_away = False
        self.calls = 0

    def create(self, name, value):
        self.calls += 1
        if self.is_away:
            return clients.WriteResult(clients.WriteOutcome.UNKNOWN, reason="away")
        if name in self.values:
            stored = _objects.StoredObject(name, 1, self.values[name])
            return clients.WriteResult(clients.WriteOutcome.CONFLICT, stored)
        self.values[name] = value
        return clients.WriteResult(clients.WriteOutcome.APPLIED)

    def write(self, name, value):
        self.calls += 1
        self.values[name] = value
        return True

    def read(self, name):
        if self.is_away:
            raise LookupError("away")
        return self.values.get(name)

    def delete(self, name):
        self.values.pop(name, None)
        return True


class Keys(Objects):
    def create(self, name, value):
        result = super().create(name, value)
        return attrs.evolve(result, stored=None)


class Fleet:
    """Hosts before a store; ``list_hosts`` delivers the list to all of them."""

    def __init__(self, names):
        self.hosts, self.keys = Objects(), Keys()
        registry = _host_registry.HostRegistry(self.hosts, self.keys, attrs.asdict)
        self.history = clients.StoreHistory()
        self.history.record_era(1, 0.0)
        self.views = _views.Views()
        self.by_name = {
            name: _registration.Registration(
                _model.Host(name, "z", "x:1"), registry, self.views, self.history
            )
            for name in names
        }
        self.joined_keys = {each.join("first") for each in self.by_name.values()}
        self.list_hosts()
        self.run(1.0, 1.2)

    def list_hosts(self):
        listed = {name: _model.Host(name, "z", "x:1") for name in self.hosts.values}
        self.views.replace_fields(
            hosts_by_name=listed, confirmed_s_by_section={"hosts": 1.0}
        )

    def run(self, since_s, until_s, period_s=0.1):
        """Let all hosts act at their turns; return the calls in each period."""
        calls = []
        now = since_s
        while now < until_s:
            before = self.hosts.calls + self.keys.calls
            for each in self.by_name.values():
                each.step(now)
            calls.append(self.hosts.calls + self.keys.calls - before)
            now += period_s
        return calls


def test_host_whose_entry_is_gone_in_a_new_era_registers_again():
    fleet = Fleet(NAMES[:3])
    fleet.history.record_era(2, 10.0)
    del fleet.hosts.values["h1"]
    fleet.list_hosts()
    calls = fleet.hosts.calls
    fleet.run(10.0, 12.0)
    assert set(fleet.hosts.values) == set(NAMES[:3])
    assert fleet.hosts.calls == calls + 3


def test_host_whose_entry_is_there_in_a_new_era_asks_once_and_writes_nothing():
    fleet = Fleet(NAMES[:3])
    fleet.history.record_era(2, 10.0)
    calls = fleet.hosts.calls
    fleet.hosts.write = None
    fleet.run(10.0, 12.0)
    assert fleet.hosts.calls == calls + 3


def test_host_registers_again_while_the_list_still_retains_it():
    fleet = Fleet(NAMES[:3])
    fleet.history.record_era(2, 10.0)
    fleet.hosts.values.clear()
    fleet.run(10.0, 10.5)
    assert set(fleet.hosts.values) == set(NAMES[:3])


def test_entry_that_is_removed_within_an_era_is_not_written_again():
    fleet = Fleet(NAMES[:3])
    del fleet.hosts.values["h1"]
    fleet.list_hosts()
    fleet.run(10.0, 12.0)
    assert set(fleet.hosts.values) == {"h0", "h2"}


def test_host_that_has_left_does_not_register_again():
    fleet = Fleet(NAMES[:3])
    assert fleet.by_name["h1"].leave()
    fleet.history.record_era(2, 10.0)
    fleet.list_hosts()
    fleet.run(10.0, 12.0)
    assert set(fleet.hosts.values) == {"h0", "h2"}


def test_host_that_leaves_as_it_registers_again_is_not_listed():
    fleet = Fleet(NAMES[:3])
    fleet.history.record_era(2, 10.0)
    del fleet.hosts.values["h1"]
    fleet.list_hosts()
    create = fleet.hosts.create

    def create_late(name, value):
        if name == "h1":
            fleet.by_name[name].leave()
        return create(name, value)

    fleet.hosts.create = create_late
    fleet.run(10.0, 12.0)
    assert set(fleet.hosts.values) == {"h0", "h2"}


@pytest.mark.parametrize("listed_s", [10.0, 11.0, 16.0])
def test_all_hosts_register_again_at_a_bounded_rate(listed_s):
    fleet = Fleet(NAMES)
    fleet.history.record_era(2, 10.0)
    fleet.hosts.values.clear()
    fleet.keys.values.clear()
    calls = fleet.run(10.0, listed_s)
    fleet.list_hosts()
    calls += fleet.run(listed_s, 20.0)
    assert set(fleet.hosts.values) == set(NAMES)
    # Each host writes its entry, and one call at most is about the key.
    allowed = 2 * _registration.MAX_WRITES_PER_S * 0.1
    assert max(calls) <= allowed + 2
    assert sum(calls) == 2 * len(NAMES)


def test_attempts_while_the_store_is_away_keep_within_the_rate():
    fleet = Fleet(NAMES)
    fleet.history.record_era(2, 10.0)
    fleet.hosts.values.clear()
    fleet.hosts.is_away = fleet.keys.is_away = True
    calls = fleet.run(10.0, 22.0)
    assert sum(calls) <= 2 * _registration.MAX_WRITES_PER_S * 12.0
    fleet.hosts.is_away = fleet.keys.is_away = False
    fleet.list_hosts()
    fleet.run(22.0, 30.0)
    assert set(fleet.hosts.values) == set(NAMES)


def test_shared_key_that_the_store_lacks_is_written_again():
    fleet = Fleet(NAMES[:3])
    assert fleet.joined_keys == {"first"}
    fleet.history.record_era(2, 10.0)
    fleet.keys.values.clear()
    fleet.run(10.0, 12.0)
    assert fleet.keys.values == {_host_registry.PEER_KEY_NAME: "first"}
    assert fleet.by_name["h0"].join("second") == "first"


@pytest.fixture
def messages():
    lines = collections.deque()
    number = _registration.loguru.logger.add(lines.append, format="{message}")
    yield lines
    _registration.loguru.logger.remove(number)


def test_another_shared_key_is_kept_and_logged_once_by_each_host(messages):
    fleet = Fleet(NAMES[:3])
    fleet.history.record_era(2, 10.0)
    fleet.keys.values[_host_registry.PEER_KEY_NAME] = "other"
    fleet.run(10.0, 12.0)
    assert fleet.keys.values == {_host_registry.PEER_KEY_NAME: "other"}
    logged = [each for each in messages if "another shared key" in each]
    assert len(logged) == 3
