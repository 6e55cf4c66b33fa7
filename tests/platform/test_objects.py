"""Tests of parsing objects of the store into the types of the gateway."""

import pytest

from sycamorespoke import gateway, serving
from sycamorespoke.platform import _objects

ROUTE = {
    "Name": "r-1",
    "Host": "a.example",
    "PathPrefix": "/x/",
    "Kind": "streaming",
    "TimeoutMs": 2500,
    "TargetLatencyMs": 600,
    "Priority": 0,
    "Service": "s",
    "MaxAttempts": 2,
    "Anonymous": False,
    "Sticky": True,
    "Resumable": True,
    "GapAimMs": 300,
}
ENGINE_SERVICE = {
    "Name": "s",
    "MaxConns": 370,
    "ColdStartS": 3.0,
    "ColdPerS": 20.0,
    "Engine": {"Slots": 64, "KvCapacityTokens": 104140, "KvTokenBytes": 327680},
}
STORE_SERVICE = {
    "Name": "k",
    "KvStoreAddr": "10.0.0.1:80",
    "Zone": "z",
    "KvCapacityTokens": 1000,
    "LinkMbps": 2600000.0,
    "first_ms": 0.5,
    "Managed": True,
    "MaxInflight": 12,
}
UPSTREAM = {
    "Service": "s",
    "Address": "10.0.0.2:8080",
    "Zone": "z",
    "Slots": 64,
    "State": "ready",
    "Version": "v1",
    "ColdRemainingMs": 1500,
    "Models": [{"Name": "m", "Version": 3, "Adapters": []}],
    "Seq": 4,
    "born": 1700000000000,
}


def make_object(spec, name="x"):
    value = {"Metadata": {"Name": name, "Revision": 7}, "Spec": spec}
    return _objects.parse_object(value)


def test_a_configuration_is_parsed_with_all_fields():
    spec = {
        "Version": 4,
        "Routes": [ROUTE],
        "Services": [ENGINE_SERVICE, STORE_SERVICE],
        "Tenants": [
            {"Name": "t", "ApiKeys": ["k1", "k2"], "Priority": 3, "Isolated": True}
        ],
        "Limits": {
            "MaxHeaderBytes": 999,
            "MaxBodyBytes": 9999,
            "HeaderTimeoutMs": 2000,
            "IdleTimeoutMs": 5000,
        },
        "SomethingNew": 1,
    }
    configuration = _objects.parse_configuration(make_object(spec), 0.0)
    route = configuration.routes[0]
    assert (route.timeout_s, route.target_latency_s, route.event_gap_s) == (
        2.5,
        0.6,
        0.3,
    )
    assert route.kind is gateway.RouteKind.STREAM
    assert route.may_repeat
    assert route.weights_by_service == {"s": 1.0}
    account = gateway.Account("t", 3, is_isolated=True)
    assert configuration.accounts_by_key == {"k1": account, "k2": account}
    assert configuration.limits == serving.CallerLimits(999, 9999, 5.0, 2.0)
    services = configuration.services_by_name
    assert services["s"].engine == gateway.EngineSpec(64, 104140, 327680)
    assert services["k"].store.address == "10.0.0.1:80"
    assert services["k"].store.first_byte_s == 0.0005


def test_a_split_route_has_a_weight_for_each_service():
    route = {**ROUTE, "Split": [{"Service": "a", "Weight": 90}]}
    del route["Service"]
    spec = {"Version": 1, "Routes": [route], "Services": []}
    configuration = _objects.parse_configuration(make_object(spec), 0.0)
    assert configuration.routes[0].weights_by_service == {"a": 90}
    assert not configuration.needs_key


def test_an_upstream_is_parsed_with_all_fields():
    upstream = _objects.parse_upstream(make_object(UPSTREAM, "i-1"), 50.0)
    assert upstream.boot_id == "i-1@1700000000000"
    assert upstream.versions_by_model == {"m": 3}
    assert not upstream.is_draining
    assert upstream.is_cold(51.4)
    assert not upstream.is_cold(51.6)


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("Version", 1),
        ("Version", None),
        ("State", "asleep"),
        ("State", None),
        ("Service", 4),
        ("Address", "nowhere"),
        ("Address", "10.0.0.2:http"),
        ("Zone", None),
        ("Slots", "64"),
        ("ColdRemainingMs", "soon"),
        ("Models", {"m": 1}),
        ("Models", [{"Name": "m"}]),
        ("Models", ["m"]),
        ("born", "yesterday"),
        ("born", 1.5),
    ],
)
def test_an_upstream_with_an_invalid_field_is_malformed(key, value):
    with pytest.raises(_objects.MalformedObjectError):
        _objects.parse_upstream(make_object({**UPSTREAM, key: value}), 0.0)


@pytest.mark.parametrize("spec", [None, [], "bytes", 7])
def test_a_value_that_is_not_a_json_object_is_malformed(spec):
    for parse in (
        _objects.parse_configuration,
        _objects.parse_upstream,
        _objects.parse_target_version,
        _objects.parse_host,
    ):
        with pytest.raises(_objects.MalformedObjectError):
            parse(make_object(spec), 0.0)


@pytest.mark.parametrize("value", [None, {}, {"Metadata": {"Name": "x"}}, []])
def test_an_object_without_name_or_revision_is_malformed(value):
    with pytest.raises(_objects.MalformedObjectError):
        _objects.parse_object(value)


def test_an_encoded_host_is_parsed_to_an_equal_one():
    host = gateway.Host("h", "z", "10.0.0.1:7580")
    spec = _objects.encode_host(host)
    assert _objects.parse_host(make_object(spec, "h"), 0.0) == host
