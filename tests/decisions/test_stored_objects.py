import json

import hypothesis
import pytest
from hypothesis import strategies as st

from sycamorespoke import decisions

SCALARS = st.none() | st.booleans() | st.integers(-2, 5) | st.text(max_size=3)
VALUES = st.recursive(
    SCALARS,
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=4,
)
KEYS = ["revision", "writer", "author", "applied_at", "text", "change", "recent"]
KEYS += ["data_centres_out", "upstreams_out"]
OBJECTS = st.dictionaries(st.sampled_from(KEYS), VALUES)


@pytest.mark.parametrize(
    ("parse", "cls"),
    [
        (decisions.parse_rules, decisions.StoredRules),
        (decisions.parse_service_state, decisions.StoredServiceState),
    ],
)
@hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
@hypothesis.given(value=VALUES | OBJECTS | OBJECTS.map(lambda v: v | {"revision": 3}))
def test_parse_arbitrary_json(parse, cls, value):
    stored = parse(value)
    assert isinstance(stored, cls | decisions.Malformed)
    if isinstance(stored, cls):
        written = json.loads(json.dumps(decisions.format_value(stored)))
        assert parse(written) == stored


def test_apply_change_keeps_other_names():
    stored = decisions.StoredServiceState(
        4, "w", frozenset({"seeb"}), frozenset({"ruwi-scribe-1"})
    )
    change = decisions.SetOutOfService(
        decisions.ResourceKind.DATA_CENTRE, "seeb", is_out=False
    )
    value = decisions.apply_change(change, stored, "Salma", "w2", "2026-12-03")
    assert (value.revision, value.data_centres_out) == (5, frozenset())
    assert value.upstreams_out == stored.upstreams_out


def test_apply_change_keeps_only_recent_records():
    stored = decisions.StoredServiceState()
    for number in range(30):
        change = decisions.SetOutOfService(
            decisions.ResourceKind.UPSTREAM, f"u{number}", is_out=True
        )
        stored = decisions.apply_change(change, stored, "Salma", "w", "2026-12-03")
    assert [record.revision for record in stored.recent] == list(range(11, 31))
