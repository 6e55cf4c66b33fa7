"""Records of streams that several hosts exchange by messages."""

import time

import pytest

from sycamorespoke import decisions, messages, serving
from sycamorespoke.gateway import (
    _model,
    _origin_directory,
    _origin_link,
    _stream_origins,
    _views,
)
from tests.fakes import free_ports

KEY = "secret"
ORIGIN = decisions.StreamOrigin("s", "v1")
STREAMS = 30
LIFETIME_S = 30.0


class PeerHost:
    """A host's directory and the server through which others reach it."""

    def __init__(self, name, data_centre):
        port = free_ports.choose_free_port()
        self.entry = _model.Host(name, data_centre, f"127.0.0.1:{port}")
        self.views = _views.Views()
        self.directory = _origin_directory.OriginDirectory(name, self.views)
        self.server = None

    def join(self, hosts):
        self.views.replace_fields(
            hosts_by_name={each.entry.name: each.entry for each in hosts}
        )
        self.server = messages.Server(self.entry.peer_address, KEY, self._handle)
        self.directory.start(messages.Codec(KEY))

    def close(self):
        """End the host; a directory that is left would go on dialling for others."""
        self.directory.stop()
        if self.server is not None:
            self.server.stop()
            self.server = None

    def _handle(self, message):
        return self.directory.handle(message, serving.read_clock())


@pytest.fixture
def hosts():
    made = [PeerHost(f"h{number}", f"dc{number % 3}") for number in range(6)]
    for host in made:
        host.join(made)
    yield made
    for host in made:
        host.close()


def record_streams(host):
    """Record streams at a host and wait until the keepers have them."""
    now = serving.read_clock()
    request_ids = [f"r{number}" for number in range(STREAMS)]
    for request_id in request_ids:
        host.directory.record(request_id, ORIGIN, LIFETIME_S, now)
    return request_ids


def wait_until_kept(hosts, request_ids):
    data_centres_by_host = {host.entry.name: host.entry.data_centre for host in hosts}
    by_name = {host.entry.name: host for host in hosts}
    deadline_s = time.monotonic() + 10.0
    while time.monotonic() < deadline_s:
        now = serving.read_clock()
        if all(
            by_name[name].directory.origins.find(request_id, now)
            for request_id in request_ids
            for name in decisions.choose_origin_keepers(
                request_id, data_centres_by_host
            )
        ):
            return
        time.sleep(0.01)
    raise AssertionError("the keepers do not have the records")


def find_at(host, request_ids):
    return [host.directory.find(each, serving.read_clock()) for each in request_ids]


def test_every_host_finds_the_origin_of_every_stream(hosts):
    request_ids = record_streams(hosts[0])
    wait_until_kept(hosts, request_ids)
    for host in hosts:
        assert find_at(host, request_ids) == [ORIGIN] * STREAMS


def test_origin_is_found_after_the_first_host_and_a_data_centre_are_lost(hosts):
    request_ids = record_streams(hosts[0])
    wait_until_kept(hosts, request_ids)
    for lost in (hosts[0], hosts[1], hosts[4]):
        lost.close()
    assert find_at(hosts[2], request_ids) == [ORIGIN] * STREAMS


def test_host_that_reaches_no_other_knows_only_its_own_streams(hosts):
    (known, *_) = record_streams(hosts[0])
    for host in hosts[1:]:
        host.close()
    lonely = PeerHost("h9", "dc0")
    lonely.views.replace_fields(
        hosts_by_name={host.entry.name: host.entry for host in hosts[1:]}
    )
    lonely.directory.start(messages.Codec(KEY))
    lonely.directory.record("own", ORIGIN, LIFETIME_S, serving.read_clock())
    begun_s = time.monotonic()
    assert find_at(lonely, [known, "own"]) == [None, ORIGIN]
    assert time.monotonic() - begun_s < 2.0
    lonely.close()


def test_unknown_stream_is_not_found(hosts):
    assert find_at(hosts[0], ["never"]) == [None]


def test_host_that_has_not_joined_finds_nothing():
    assert find_at(PeerHost("h1", "dc0"), ["r1"]) == [None]


def test_record_is_sent_once_the_keeper_is_back(hosts):
    absent = hosts[3]
    absent.close()
    request_ids = record_streams(hosts[0])
    absent.join(hosts)
    wait_until_kept(hosts, request_ids)


def test_connections_to_hosts_that_left_are_closed(hosts):
    record_streams(hosts[0])
    directory = hosts[0].directory
    assert len(directory._links_by_address) > 1
    hosts[0].views.replace_fields(hosts_by_name={"h1": hosts[1].entry})
    directory.retain()
    assert list(directory._links_by_address) in ([], [hosts[1].entry.peer_address])


def test_record_expires_and_the_first_one_counts():
    origins = _stream_origins.StreamOrigins()
    other = decisions.StreamOrigin("s", "v2")
    origins.record("r1", ORIGIN, 5.0, 100.0)
    origins.record("r1", other, 5.0, 100.0)
    assert origins.find("r1", 104.9).origin == ORIGIN
    assert origins.find("r1", 105.0) is None
    origins.record("r2", other, 5.0, 106.0)
    assert origins.count() == 1


def test_records_are_bounded(monkeypatch):
    monkeypatch.setattr(_stream_origins, "MAX_RECORDS", 3)
    origins = _stream_origins.StreamOrigins()
    for number in range(5):
        origins.record(f"r{number}", ORIGIN, 5.0, 100.0)
    assert origins.count() == 3
    assert origins.find("r4", 100.0).origin == ORIGIN


def test_hosts_that_keep_records_are_bounded_in_a_large_deployment():
    hosts = {f"h{number}": f"dc{number % 3}" for number in range(380)}
    keepers = {
        keeper
        for number in range(500)
        for keeper in decisions.choose_origin_keepers(f"r{number}", hosts)
    }
    assert len(keepers) == 24


def test_records_for_a_host_that_does_not_reply_expire(hosts):
    absent = hosts[1]
    absent.close()
    link = _origin_link.OriginLink(absent.entry.peer_address, messages.Codec(KEY))
    record = messages.StreamOriginRecord("r1", "s", "v1", 0.2)
    link.keep(record, serving.read_clock())
    deadline_s = time.monotonic() + 5.0
    # Taken out to be sent, or waiting again.
    time.sleep(0.5)
    while link._records and time.monotonic() < deadline_s:
        time.sleep(0.05)
    assert link._records == []
    link.close()
