"""Requests that are sent to engines whose weights are older than the target."""

import attrs

from sycamorespoke import decisions, serving
from sycamorespoke.gateway import _target_versions
from tests.fakes import scripted_upstream

MODEL = "m"
PROMPT_HEADERS = {
    "X_Sycamorespoke_Model": MODEL,
    "X_Sycamorespoke_Token_Count": "100,5",
    "X_Sycamorespoke_Prompt_Prefix": "aa:90,bb:10",
}


def answer_stream(request):
    body = scripted_upstream.encode_events(1, 2)
    scripted_upstream.send_stream(request, "length", body)


def hold_version(gateway, version):
    """Have all upstreams of a gateway hold a weight version."""
    upstreams_by_id = gateway.views.get().upstreams_by_id
    changed_by_id = {
        name: attrs.evolve(upstream, versions_by_model={MODEL: version})
        for name, upstream in upstreams_by_id.items()
    }
    gateway.views.replace_fields(upstreams_by_id=changed_by_id)


def name_target(gateway, version, age_s):
    named_s = serving.read_clock() - age_s
    named = decisions.NamingTime(named_s, named_s)
    target = _target_versions.TargetVersion(MODEL, version, named_s, named)
    gateway.views.replace_fields(targets_by_model={MODEL: target})


def test_older_weights_are_logged_when_chosen_and_when_used(harness, log_lines):
    gateway = harness.start_gateway([harness.start_upstream(answer_stream)])
    hold_version(gateway, 1)
    name_target(gateway, 2, age_s=1.0)
    status, _, _ = gateway.request("/stream/x", **PROMPT_HEADERS)
    assert status == 200
    chosen = log_lines.wait_for("older weights chosen")
    assert (chosen["weight_version"], chosen["target_version"]) == (1, 2)
    assert 1000 <= chosen["target_age_ms"] < 3000
    assert log_lines.wait_for("older weights used")["waited_ms"] >= 0
