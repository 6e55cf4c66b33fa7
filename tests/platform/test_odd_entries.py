"""One odd entry among those of the upstreams costs that entry and no other."""

import contextlib
import json

import hypothesis
import pytest
from hypothesis import strategies

from sycamorespoke import decisions, messages, objects
from sycamorespoke.platform import _engines, _objects, _store

KIND = "servers"
UPSTREAM = {
    "Service": "s",
    "Address": "10.0.0.2:8080",
    "Zone": "z",
    "Slots": 64,
    "State": "ready",
    "Version": "v1",
    "ColdRemainingMs": 0,
    "Seq": 4,
    "born": 1700000000000,
}


def encode(**fields):
    """Return the bytes of an entry with some fields replaced by others' bytes."""
    members = {key: json.dumps(value).encode() for key, value in UPSTREAM.items()}
    members.update(fields)
    parts = [json.dumps(key).encode() + b":" + value for key, value in members.items()]
    return b"{" + b",".join(parts) + b"}"


ODD_ENTRIES_BY_FORM = {
    "nested very deep": encode(x=b"[" * 5000 + b"]" * 5000),
    "nested deeper than messages": encode(x=b"[" * 600 + b"]" * 600),
    "number beyond floats": encode(Slots=b"1e400"),
    "integer of 5,000 digits": encode(Slots=b"9" * 5000),
    "integer of 400 digits": encode(Slots=b"1" + b"0" * 400),
    "integer that no message holds": encode(x=b"1" + b"0" * 30),
    "start beyond 64 bits": encode(born=b"1" + b"0" * 30),
    "not a number": encode(ColdRemainingMs=b"NaN"),
    "infinite": encode(ColdRemainingMs=b"Infinity"),
    "cold for ages": encode(ColdRemainingMs=b"1" + b"0" * 400),
    "port out of range": encode(Address=b'"10.0.0.2:70000"'),
    "port of 5,000 digits": encode(Address=b'"10.0.0.2:' + b"9" * 5000 + b'"'),
    "port zero": encode(Address=b'"10.0.0.2:0"'),
    "name in place of an address": encode(Address=b'"upstream:8080"'),
    "broken text": encode(Zone=b'"\xff\xfe"'),
    "lone surrogate": encode(Version=b'"\\ud800"'),
    "lists in place of fields": encode(Models=b"7", Version=b"[]"),
    "no object": b'"bytes"',
    "models that are no objects": encode(Models=b"[1, null]"),
}


class FollowedStore:
    """Follows the upstreams of a store, as a reader host does."""

    def __init__(self, fake_store):
        self.published = {}
        self.source = objects.SharedSource(
            _store.ObjectStoreClient(fake_store.address), frozenset(), lambda: 100.0
        )
        self.follower = objects.Follower(
            self.source,
            objects.Subscription(KIND, KIND, self._parse, self._publish),
            lambda: 100.0,
            lambda section, now: None,
            lambda: decisions.WatchTiming(0.0, 0.0),
        )

    def _parse(self, value, now):
        return _objects.parse_upstream(_objects.parse_object(value), now)

    def _publish(self, items_by_name, now):
        self.published = items_by_name


@pytest.mark.parametrize("form", ODD_ENTRIES_BY_FORM)
@pytest.mark.parametrize("is_listed", [True, False], ids=["list", "watch"])
def test_the_other_upstreams_are_followed_past_an_odd_entry(
    fake_store, form, is_listed
):
    followed = FollowedStore(fake_store)
    fake_store.put(KIND, "a", UPSTREAM)
    if not is_listed:
        followed.follower.step()
    fake_store.put_encoded(KIND, "b", ODD_ENTRIES_BY_FORM[form])
    fake_store.put(KIND, "c", UPSTREAM)
    followed.follower.step()
    assert sorted(followed.published) == ["a", "c"]
    assert followed.follower.count_malformed() == 1
    # The next change is watched for; the store is not listed again.
    fake_store.put(KIND, "d", UPSTREAM)
    followed.follower.step()
    assert sorted(followed.published) == ["a", "c", "d"]


@pytest.mark.parametrize("form", ODD_ENTRIES_BY_FORM)
def test_an_odd_entry_replaces_the_good_one_and_ends_with_the_next(fake_store, form):
    followed = FollowedStore(fake_store)
    for data in (json.dumps(UPSTREAM).encode(), ODD_ENTRIES_BY_FORM[form]):
        fake_store.put_encoded(KIND, "a", data)
        followed.follower.step()
    assert followed.published == {}
    fake_store.put(KIND, "a", UPSTREAM)
    followed.follower.step()
    assert list(followed.published) == ["a"]
    assert followed.follower.count_malformed() == 0


@pytest.mark.parametrize("form", ODD_ENTRIES_BY_FORM)
def test_the_page_with_an_odd_entry_is_relayed_to_other_hosts(fake_store, form):
    followed = FollowedStore(fake_store)
    fake_store.put(KIND, "a", UPSTREAM)
    fake_store.put_encoded(KIND, "b", ODD_ENTRIES_BY_FORM[form])
    followed.follower.step()
    codec = messages.Codec("key")
    reply = messages.UpdatesReply({}, followed.source.make_pages({KIND: 0}, 100.0))
    frame = codec.encode(reply, b"12345678", messages.Direction.REPLY)
    decoded = codec.decode(frame, messages.Direction.REPLY)
    assert len(decoded.message.pages_by_kind[KIND].changes) == 2


def test_the_configuration_in_force_stays_when_an_unreadable_one_follows(fake_store):
    configuration = {"Version": 1, "Routes": [], "Services": [], "Tenants": [7]}
    fake_store.put_encoded("k", "a", json.dumps(configuration).encode())
    store = _store.ObjectStoreClient(fake_store.address)
    (value,) = store.list("k").values
    with pytest.raises(ValueError, match="account"):
        _objects.parse_configuration(_objects.parse_object(value), 0.0)
    # What cannot be read does not count as absent: without accounts, no key is needed.
    odd = b'{"Version": 2, "Routes": [], "Services": [], "Tenants": [1e400]}'
    fake_store.put_encoded("k", "a", odd)
    (value,) = store.list("k").values
    with pytest.raises(ValueError, match="cannot be read"):
        _objects.parse_configuration(_objects.parse_object(value), 0.0)


json_values = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(),
    lambda children: (
        strategies.lists(children, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=3), children, max_size=3)
    ),
    max_leaves=8,
)
PARSERS = [
    _objects.parse_configuration,
    _objects.parse_upstream,
    _objects.parse_target_version,
    _objects.parse_name,
    _objects.parse_host,
]
CONFIGURATION = {
    "Version": 1,
    "Routes": [
        {
            "Name": "r",
            "Host": "h",
            "PathPrefix": "/",
            "Kind": "safe",
            "TimeoutMs": 5,
            "Service": "s",
            "Split": [{"Service": "s", "Weight": 1}],
        }
    ],
    "Services": [
        {
            "Name": "k",
            "KvStoreAddr": "10.0.0.1:80",
            "Zone": "z",
            "KvCapacityTokens": 1000,
            "LinkMbps": 26.0,
            "Engine": {"Slots": 4, "KvCapacityTokens": 1, "KvTokenBytes": 1},
        }
    ],
    "Tenants": [{"Name": "t", "ApiKeys": ["key"], "Priority": 1}],
    "Limits": {"MaxBodyBytes": 1},
}
SAMPLES = [UPSTREAM, CONFIGURATION, {"Model": "m", "Version": 1}]


def replace_at(value, path, replacement):
    """Return a JSON value with one part, chosen by a path of numbers, replaced."""
    if not path or not isinstance(value, dict | list) or not value:
        return replacement
    if isinstance(value, list):
        index = path[0] % len(value)
        changed = list(value)
        changed[index] = replace_at(value[index], path[1:], replacement)
        return changed
    key = sorted(value)[path[0] % len(value)]
    return {**value, key: replace_at(value[key], path[1:], replacement)}


@hypothesis.given(
    sample=strategies.sampled_from(SAMPLES),
    path=strategies.lists(strategies.integers(0, 30), max_size=5),
    replacement=json_values,
)
def test_each_parser_accepts_or_names_what_is_wrong(sample, path, replacement):
    value = {
        "Metadata": {"Name": "x", "Revision": 7},
        "Spec": replace_at(sample, path, replacement),
    }
    stored = _objects.parse_object(value)
    for parse in PARSERS:
        # Any other error would fail the test.
        with contextlib.suppress(_objects.MalformedObjectError):
            parse(stored, 5.0)


@hypothesis.given(envelope=json_values)
def test_an_envelope_of_any_form_is_parsed_or_refused(envelope):
    with pytest.raises(ValueError, match=r"."):
        _objects.parse_object(envelope)
    assert objects.get_name(envelope) == ""


class ScriptedPool:
    """Returns one response to each request."""

    def __init__(self, data):
        self.status = 200
        self.headers = {}
        self.data = data

    def request(self, *arguments, **options):
        return self


@pytest.mark.parametrize(
    "data",
    [
        b"[" * 5000 + b"]" * 5000,
        b'{"Seq": 1e400, "Busy": false, "Models": []}',
        b'{"Seq": 1, "Busy": false, "Models": [1]}',
        b'{"Seq": "1", "Busy": false, "Models": []}',
        b"[]",
    ],
)
def test_an_odd_report_of_an_engine_counts_as_none(data):
    client = _engines.EngineClient("h1")
    client._pools = ScriptedPool(data)
    stored = _objects.parse_object(
        {"Metadata": {"Name": "x", "Revision": 7}, "Spec": UPSTREAM}
    )
    upstream = _objects.parse_upstream(stored, 0.0)
    assert isinstance(client.read_report(upstream), objects.Unavailable)
