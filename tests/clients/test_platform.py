import json

import hypothesis
import pytest
from hypothesis import strategies as st

from sycamorespoke import clients, domain
from sycamorespoke.clients import _host_lists

HOST = {
    "name": "seeb-entry-1",
    "data_centre": "seeb",
    "role": "entry",
    "address": "127.0.0.1:1",
    "peer_address": "127.0.0.1:2",
    "group": None,
    "state": "live",
}
SCALARS = st.none() | st.booleans() | st.integers() | st.text(max_size=3)
VALUES = st.recursive(
    SCALARS,
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=4,
)
HOSTS = st.dictionaries(st.sampled_from(sorted(HOST)), VALUES).map(lambda v: HOST | v)
LISTS = st.fixed_dictionaries({"revision": VALUES, "hosts": VALUES | st.lists(HOSTS)})


class Client(clients.PlatformClient):
    """Platform client that reads a fixed value."""

    def __init__(self, value):
        super().__init__("http://127.0.0.1:1")
        self.value = value

    def _read(self, url, timeout_s):
        return clients.StoredObject(json.loads(json.dumps(self.value)), 1)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
@hypothesis.given(VALUES | LISTS)
def test_watch_hosts_arbitrary_json(value):
    result = Client(value).watch_hosts(0, 0)
    assert isinstance(result, domain.HostList | clients.Unavailable)
    if isinstance(result, domain.HostList):
        assert type(result.revision) is int
        for name, host in result.by_name.items():
            assert (type(name), type(host.address)) == (str, str)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
@hypothesis.given(VALUES | st.fixed_dictionaries({"versions_by_name": VALUES}))
def test_list_arbitrary_json(value):
    result = Client(value).list("claims/")
    assert isinstance(result, dict | clients.Unavailable)


@pytest.mark.parametrize("damage", [{"role": "balancer"}, {"name": 5}, {"state": 1}])
def test_parse_host_list_skips_malformed_host(damage):
    value = {"revision": 3, "hosts": [HOST | damage, HOST]}
    hosts = _host_lists.parse_host_list(value)
    assert (hosts.revision, list(hosts.by_name)) == (3, ["seeb-entry-1"])
    assert hosts.by_name["seeb-entry-1"].group == ""
