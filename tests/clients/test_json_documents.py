"""Documents are decoded part by part if a part of them cannot be used."""

import json

import hypothesis
import pytest
from hypothesis import strategies

from sycamorespoke import clients

ODD_PARTS = [
    b"1e400",
    b"NaN",
    b"-Infinity",
    b"9" * 5000,
    b"-1" + b"0" * 30,
    b"[" * 4000 + b"]" * 4000,
    b'{"a":' * 4000 + b"1" + b"}" * 4000,
    b'"\xff"',
    b'"\\ud800"',
    b"",
]
values = strategies.recursive(
    strategies.none()
    | strategies.integers(-(2**63), 2**63 - 1)
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(),
    lambda children: (
        strategies.lists(children, max_size=3)
        | strategies.dictionaries(strategies.text(), children, max_size=3)
    ),
    max_leaves=10,
)


@hypothesis.given(value=values)
def test_what_is_within_the_bounds_is_decoded_whole(value):
    data = json.dumps(value).encode()
    assert clients.decode_document(data) == value
    assert clients.salvage_document(data, frozenset()) == value


@hypothesis.given(
    entries=strategies.lists(values, max_size=4),
    odd=strategies.sampled_from([part for part in ODD_PARTS if part]),
    position=strategies.integers(0, 4),
)
def test_the_entries_beside_an_odd_one_are_decoded(entries, odd, position):
    parts = [json.dumps(entry).encode() for entry in entries]
    position = min(position, len(parts))
    parts.insert(position, odd)
    data = b'{"items": [' + b", ".join(parts) + b'], "revision": 7}'
    expected = [*entries[:position], None, *entries[position:]]
    found = clients.salvage_document(data, frozenset({"items"}))
    if isinstance(found["items"][position], list | dict):
        # The outer levels of a deep entry are kept, without what is in them.
        found["items"][position] = None
    assert found == {"items": expected, "revision": 7}


@pytest.mark.parametrize("odd", ODD_PARTS)
def test_an_odd_document_is_refused(odd):
    with pytest.raises(clients.MalformedDocumentError):
        clients.decode_document(odd)


@pytest.mark.parametrize(
    "data", [b"", b'{"a": NaN', b'{"a": NaN}}', b"NaN", b"{NaN}", b'{"a": "NaN}']
)
def test_a_document_whose_parts_cannot_be_told_apart_is_refused(data):
    with pytest.raises(clients.MalformedDocumentError):
        clients.salvage_document(data, frozenset({"a"}))


@pytest.mark.parametrize(
    ("address", "is_valid"),
    [
        ("10.0.0.2:1", True),
        ("10.0.0.2:65535", True),
        ("10.0.0.2:65536", False),
        ("10.0.0.2:0", False),
        ("10.0.0.2:", False),
        ("10.0.0.2", False),
        ("10.0.0.2:8\u0660", False),
        ("host:80", False),
        (":80", False),
        (None, False),
    ],
)
def test_an_address_is_an_ip_address_and_a_port_in_range(address, is_valid):
    if is_valid:
        assert clients.check_address(address, "a") == address
        return
    with pytest.raises(clients.MalformedFieldError):
        clients.check_address(address, "a")
