"""Entry hosts that a load balancer takes for ready."""

from sycamorespoke.load import _entries
from tests.fakes import cut_heads, scripted_upstream


def test_host_whose_readiness_response_ends_inside_the_head_is_not_ready(
    monkeypatch,
):
    monkeypatch.setattr(_entries, "CHECK_INTERVAL_S", 60.0)
    script = cut_heads.CutHeads(cut_heads.encode_head(b"200 OK"))
    server = scripted_upstream.ScriptedUpstream(script)
    picked = []
    try:
        for _ in range(script.count):
            entries = _entries.EntryHosts([server.address])
            entries.start()
            entries.stop()
            picked.append(entries.pick())
    finally:
        server.close()
    assert picked == [None] * script.count
    assert script.sent == script.count
