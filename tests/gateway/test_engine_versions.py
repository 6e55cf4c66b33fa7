"""How long target versions have not been in place."""

import pytest

from sycamorespoke import decisions
from sycamorespoke.gateway import _engine_versions, _target_versions

FIRST_S = 10.0
SECOND_S = 14.0
NOW_S = 15.0


def make_targets():
    """Return targets of which version 2 and then version 3 were named."""
    first = _target_versions.TargetVersion(
        "m", 2, FIRST_S, decisions.NamingTime(FIRST_S, FIRST_S)
    )
    newer = _target_versions.TargetVersion("m", 3, SECOND_S)
    named = decisions.NamingTime(SECOND_S, SECOND_S)
    return {"m": first.replace_by(newer, named, SECOND_S)}


@pytest.mark.parametrize(
    ("versions", "pending_s"),
    [((3, 3), 0.0), ((3, 2), 1.0), ((1, 2), 5.0), ((), 0.0)],
)
def test_oldest_target_that_some_engine_lacks_counts(versions, pending_s):
    engines = [
        decisions.EngineVersion(f"i{number}", "m", version)
        for number, version in enumerate(versions)
    ]
    computed_s = _engine_versions.compute_pending_s(make_targets(), engines, NOW_S)
    assert computed_s == pending_s


def test_target_without_a_known_naming_counts_from_its_receipt():
    targets_by_model = {"m": _target_versions.TargetVersion("m", 2, FIRST_S)}
    engines = [decisions.EngineVersion("i1", "m", 1)]
    computed_s = _engine_versions.compute_pending_s(targets_by_model, engines, NOW_S)
    assert computed_s == NOW_S - FIRST_S
