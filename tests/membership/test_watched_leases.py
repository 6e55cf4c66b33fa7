"""A lease among many hosts that receive its versions from a watch, some time late."""

import random

import attrs
import pytest

from sycamorespoke import clients, membership
from tests.fakes import lease_objects

LEASE = "leases/weights"
DURATION_S = 3.0
STEP_S = 0.25


@attrs.define
class CountedLeaseStore(lease_objects.FakeLeaseStore):
    """Counts reads and remembers when each version was written."""

    now: float = 0.0
    reads: int = 0
    writes: int = 0
    history: list = attrs.field(factory=list)

    def get(self, name):
        self.reads += 1
        return super().get(name)

    def put(self, name, value, version):
        self.writes += 1
        result = super().put(name, value, version)
        if isinstance(result, clients.StoredObject):
            self.history.append((self.now, value, result.version))
        return result


class WatchingHosts:
    """Hosts that all wait for one lease; each learns of changes with its own lag."""

    def __init__(self, hosts, max_lag_s):
        generator = random.Random(hosts)
        self.store = CountedLeaseStore()
        self.keepers = [
            membership.LeaseKeeper(
                "weights",
                f"h{number}",
                self.store,
                lambda: self.store.now,
                DURATION_S,
                is_watched=True,
            )
            for number in range(hosts)
        ]
        self.lags_s = [generator.uniform(0.0, max_lag_s) for _ in self.keepers]
        self.seen = [0] * hosts
        self.silent = set()

    def run(self, duration_s):
        ends_s = self.store.now + duration_s
        while self.store.now < ends_s:
            self.store.now += STEP_S
            for number, keeper in enumerate(self.keepers):
                if number not in self.silent:
                    self._observe(number, keeper)
                    keeper.step()
            assert len(self.list_holders()) <= 1

    def _observe(self, number, keeper):
        for written_s, value, version in self.store.history[self.seen[number] :]:
            if written_s + self.lags_s[number] > self.store.now:
                return
            keeper.observe(value, version, self.store.now)
            self.seen[number] += 1

    def list_holders(self):
        return [
            number
            for number, keeper in enumerate(self.keepers)
            if keeper.is_held(self.store.now)
        ]


@pytest.mark.parametrize("hosts", [9, 195])
def test_hosts_that_wait_for_a_watched_lease_do_not_read_it(hosts):
    watching = WatchingHosts(hosts, max_lag_s=1.8)
    watching.run(DURATION_S)
    assert len(watching.list_holders()) == 1
    reads = watching.store.reads
    writes = watching.store.writes
    watching.run(20.0)
    assert len(watching.list_holders()) == 1
    assert watching.store.reads == reads
    # Only the holder writes: it renews the lease each third of its duration.
    assert watching.store.writes - writes <= 20.0 / (DURATION_S / 3) + 1


@pytest.mark.parametrize("hosts", [9, 195])
def test_one_host_takes_the_lease_of_a_silent_holder_and_gives_up_nothing_else(hosts):
    watching = WatchingHosts(hosts, max_lag_s=1.8)
    watching.run(DURATION_S)
    (first,) = watching.list_holders()
    number = watching.keepers[first].held.fencing_number
    watching.silent.add(first)
    watching.run(2 * DURATION_S + 2.0)
    (second,) = watching.list_holders()
    assert second != first
    assert watching.keepers[second].held.fencing_number == number + 1
    # The former holder wakes up; it neither holds nor takes the lease.
    watching.silent.clear()
    watching.run(5.0)
    assert watching.list_holders() == [second]


def test_host_whose_watch_brings_nothing_learns_of_the_lease_by_a_conflict():
    watching = WatchingHosts(9, max_lag_s=0.1)
    watching.run(DURATION_S)
    (holder,) = watching.list_holders()
    deaf = next(number for number in range(9) if number != holder)
    watching.lags_s[deaf] = float("inf")
    watching.run(20.0)
    assert watching.list_holders() == [holder]
