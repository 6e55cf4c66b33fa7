"""Client of the model engines."""

import json

import pytest

from sycamorespoke import gateway
from sycamorespoke.platform import _engines
from tests.fakes import scripted_upstream

REPORT = {"Seq": 3, "Busy": False, "Models": [{"Name": "m", "Version": 2}]}


@pytest.mark.parametrize("is_leaving", [False, True])
def test_report_says_whether_the_engine_is_leaving(is_leaving):
    headers = {"Server-Leaving": "1"} if is_leaving else {}
    body = json.dumps(REPORT).encode()
    server = scripted_upstream.ScriptedUpstream(
        lambda request: scripted_upstream.respond(request, body=body, **headers)
    )
    upstream = gateway.Upstream("i-1", 1, "s", server.address, "dc-1")
    try:
        report = _engines.EngineClient("h1").read_report(upstream)
    finally:
        server.close()
    statements = gateway.Statements(is_leaving=is_leaving)
    assert report == gateway.EngineReport(3, False, {"m": 2}, statements)
