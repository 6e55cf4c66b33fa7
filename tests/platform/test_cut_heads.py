"""The store, engines and block stores that stop at each byte of a response's head."""

import contextlib

import pytest

from sycamorespoke import clients, gateway, objects
from sycamorespoke.platform import _block_stores, _engines, _store
from tests.fakes import cut_heads, scripted_upstream

HEADS = cut_heads.list_heads(
    (b"204 No Content", b"404 Not Found", b"409 Conflict", b"410 Gone")
)
ORDER = gateway.VersionOrder("m", version=2, fencing_number=1, after_orders=0)


@contextlib.contextmanager
def serve(script):
    server = scripted_upstream.ScriptedUpstream(script)
    try:
        yield server.address
    finally:
        server.close()


@pytest.fixture(params=HEADS)
def script(request):
    return cut_heads.CutHeads(HEADS[request.param])


def test_store_response_that_ends_inside_the_head_says_nothing_of_objects(script):
    with serve(script) as address:
        store = _store.ObjectStoreClient(address)
        for read in (
            lambda: store.list("k"),
            lambda: store.read("k", "a"),
            lambda: store.watch("k", 1, 0.0),
        ):
            script.sent = 0
            for _ in range(script.count):
                result = read()
                assert isinstance(result, objects.Unavailable)
                assert result.status is None


def test_write_whose_response_ends_inside_the_head_has_an_unknown_outcome(script):
    with serve(script) as address:
        store = _store.ObjectStoreClient(address)
        for write in (
            lambda: store.create("k", "a", {}),
            lambda: store.replace("k", "a", {}, 1),
            lambda: store.delete("k", "a"),
        ):
            script.sent = 0
            for _ in range(script.count):
                assert write().outcome is clients.WriteOutcome.UNKNOWN


def test_second_page_that_ends_inside_the_head_does_not_end_a_list():
    first = (
        b'{"StoreRevision": 1, "items": [{"Metadata": {"Name": "a"}}], "HasMore": true}'
    )
    cut = cut_heads.CutHeads(cut_heads.encode_head(b"200 OK"))

    def serve_pages(request):
        if "after=" in request.path:
            cut(request)
        else:
            scripted_upstream.respond(request, body=first)

    with serve(serve_pages) as address:
        store = _store.ObjectStoreClient(address)
        for _ in range(cut.count):
            assert isinstance(store.list("k"), objects.Unavailable)
    assert cut.sent == cut.count


def test_engine_response_that_ends_inside_the_head_is_no_report_and_no_outcome(script):
    with serve(script) as address:
        engine = _engines.EngineClient("h1")
        upstream = gateway.Upstream("i-1", 1, "s", address, "dc-1")
        for _ in range(script.count):
            report = engine.read_report(upstream)
            assert isinstance(report, objects.Unavailable)
            assert report.status is None
        script.sent = 0
        for _ in range(script.count):
            result = engine.order_version(upstream, ORDER)
            assert result == gateway.OrderResult(gateway.OrderOutcome.UNKNOWN)


def test_block_store_response_that_ends_inside_the_head_confirms_nothing(script):
    with serve(script) as address:
        client = _block_stores.BlockStoreClient()
        for _ in range(script.count):
            events = client.read_events(address, 0, 0.0)
            assert isinstance(events, objects.Unavailable)
            assert events.status is None
        script.sent = 0
        for _ in range(script.count):
            result = client.free(address, [("s", "b")], 1, 0)
            assert isinstance(result, objects.Unavailable)
            assert result.status is None
