import attrs
import pytest

from sycamorespoke import clients, decisions
from sycamorespoke.gateway import (
    _model,
    _software_versions,
    _stored_origins,
    _stream_origins,
    _views,
)

V1 = decisions.StreamOrigin("s", "v1")


class Objects:
    """Objects in a store that may be away."""

    def __init__(self):
        self.value_by_name = {}
        self.is_away = False
        self.writes = 0
        self.reads = 0

    def read(self, name):
        self.reads += 1
        if self.is_away:
            raise LookupError("status 503")
        return self.value_by_name.get(name)

    def write(self, name, value):
        self.writes += 1
        if not self.is_away:
            self.value_by_name[name] = value
        return not self.is_away


class Host:
    """What a host needs to write and find records."""

    def __init__(self, objects, name="h0", hosts=4, versions=("v1", "v2")):
        views = _views.Views()
        views.replace_fields(
            hosts_by_name={
                f"h{n}": _model.Host(f"h{n}", f"dc-{n % 3}", f"10.0.0.{n}:1")
                for n in range(hosts)
            }
        )
        self.origins = _stream_origins.StreamOrigins()
        self.software_versions = _software_versions.SoftwareVersions()
        upstreams = [
            _model.Upstream(f"i-{version}", 1, "s", "10.0.1.1:1", "dc-0")
            for version in versions
        ]
        self.software_versions.record(
            [
                attrs.evolve(each, software_version=version)
                for each, version in zip(upstreams, versions, strict=True)
            ],
            0.0,
        )
        self.history = clients.StoreHistory()
        self.stored = _stored_origins.StoredOrigins(
            name, views, self.origins, self.software_versions, objects, self.history
        )
        self.data_centres = {f"h{n}": f"dc-{n % 3}" for n in range(hosts)}

    def list_first(self, count, name="h0"):
        """Return IDs of requests whose records this host writes."""
        ids = (f"call-{n}" for n in range(10_000))
        first = [
            each
            for each in ids
            if decisions.choose_origin_keepers(each, self.data_centres)[0] == name
        ]
        return first[:count]

    def begin(self, *request_ids, lifetime_s=10.0, now=1.0):
        for request_id in request_ids:
            self.origins.record(request_id, V1, lifetime_s, now)


def step(host, *times_s):
    for now in times_s:
        host.stored.step(now)


def test_record_is_found_by_hosts_that_start_after_all_were_lost():
    objects = Objects()
    host = Host(objects)
    (request_id,) = host.list_first(1)
    host.begin(request_id)
    step(host, 1.0, 1.2)
    for name in ("h0", "h3"):
        started = Host(objects, name)
        assert started.stored.find(request_id, 50.0).origin == V1


def test_only_the_host_that_ranks_first_writes_a_record():
    objects = Objects()
    host = Host(objects)
    (own,) = host.list_first(1)
    (other,) = host.list_first(1, "h1")
    host.begin(own, other)
    step(host, 1.0, 1.2)
    (records,) = [value["streams"] for value in objects.value_by_name.values()]
    assert [each[0] for each in records] == [own]


def test_nothing_is_written_while_a_service_has_one_version():
    objects = Objects()
    host = Host(objects, versions=("v1",))
    host.begin(*host.list_first(5))
    step(host, 1.0, 1.2, 1.4)
    assert objects.writes == 0


def test_host_that_starts_again_keeps_what_it_wrote_before():
    objects = Objects()
    host = Host(objects)
    earlier, later = host.list_first(2)
    host.begin(earlier)
    step(host, 1.0, 1.2)
    started = Host(objects)
    started.begin(later)
    step(started, 1.0, 1.2)
    reader = Host(objects, "h2")
    assert all(reader.stored.find(each, 3.0) for each in (earlier, later))


def test_host_that_cannot_read_its_own_records_does_not_overwrite_them():
    objects = Objects()
    host = Host(objects)
    earlier, later = host.list_first(2)
    host.begin(earlier)
    step(host, 1.0, 1.2)
    objects.is_away = True
    started = Host(objects)
    started.begin(later)
    step(started, 1.0, 1.2)
    assert objects.writes == 1
    objects.is_away = False
    step(started, 1.4, 1.6)
    assert len(objects.value_by_name["h0"]["streams"]) == 2


def test_write_that_fails_is_repeated():
    objects = Objects()
    host = Host(objects)
    step(host, 0.5)
    host.begin(*host.list_first(1))
    objects.is_away = True
    step(host, 1.0)
    objects.is_away = False
    step(host, 1.2, 1.4, 1.6)
    assert objects.writes == 2
    assert len(objects.value_by_name["h0"]["streams"]) == 1


def test_expired_records_are_removed():
    objects = Objects()
    host = Host(objects)
    host.begin(*host.list_first(1), lifetime_s=2.0)
    step(host, 1.0, 1.2)
    step(host, 4.0, 4.2)
    assert objects.value_by_name["h0"] == {"streams": []}
    assert objects.writes == 2


def test_records_are_written_again_once_in_a_later_era():
    objects = Objects()
    host = Host(objects)
    (request_id,) = host.list_first(1)
    host.begin(request_id)
    step(host, 1.0, 1.2)
    objects.value_by_name.clear()
    host.history.record_era(1, 1.3)
    step(host, 1.4, 1.6, 1.8)
    assert Host(objects).stored.find(request_id, 2.0).origin == V1
    assert objects.writes == 2


def test_nothing_is_guessed_while_the_store_is_away():
    objects = Objects()
    host = Host(objects)
    (request_id,) = host.list_first(1)
    host.begin(request_id)
    step(host, 1.0, 1.2)
    objects.is_away = True
    assert Host(objects).stored.find(request_id, 3.0) is None


@pytest.mark.parametrize(
    "value", [[], {}, {"streams": 1}, {"streams": [["call-1", "s", "v1"]]}, "x"]
)
def test_malformed_records_name_no_version(value):
    objects = Objects()
    host = Host(objects)
    (request_id,) = host.list_first(1)
    objects.value_by_name["h0"] = value
    assert host.stored.find(request_id, 3.0) is None


def test_objects_are_read_once_for_many_streams():
    objects = Objects()
    host = Host(objects, "h3")
    for request_id in host.list_first(20):
        host.stored.find(request_id, 3.0)
    assert objects.reads == 1


@pytest.mark.parametrize("hosts", [1, 9, 30, 300])
def test_all_hosts_together_keep_to_the_rate_of_writes(hosts):
    interval_s = Host(Objects(), hosts=hosts).stored._interval_s()
    writers = min(hosts, decisions.MAX_KEEPING_HOSTS)
    assert writers / interval_s <= _stored_origins.MAX_WRITES_PER_S
