"""Responses to each client that stop at each byte of their head."""

import contextlib

import pytest
import urllib3

from sycamorespoke import clients, domain
from tests.fakes import cut_heads, scripted_upstream

REQUEST_ID = b"X-Request-Id: request-1\r\n"
HEADS = cut_heads.list_heads(
    (b"202 Accepted", b"204 No Content", b"404 Not Found", b"409 Conflict"), REQUEST_ID
)
HEADS["not_run"] = cut_heads.encode_head(b"503 Busy", REQUEST_ID + b"X-Not-Run: 1\r\n")


@contextlib.contextmanager
def serve(script):
    """Serve the responses of a script; yield the host that does."""
    server = scripted_upstream.ScriptedUpstream(script)
    try:
        role = domain.HostRole.UPSTREAM
        yield domain.Host("host-1", "dc-1", role, server.address)
    finally:
        server.close()


@pytest.fixture(params=HEADS)
def script(request):
    return cut_heads.CutHeads(HEADS[request.param])


@pytest.mark.parametrize("interim", [b"", cut_heads.INTERIM_RESPONSE * 2])
@pytest.mark.parametrize("is_reused", [False, True])
@pytest.mark.parametrize("framing", cut_heads.FRAMINGS)
def test_head_that_ends_midway_raises(framing, is_reused, interim):
    head = interim + cut_heads.encode_head(b"200 OK", framing=framing)
    script = cut_heads.CutHeads(head, is_reused)
    with serve(script) as host:
        pool = clients.CheckedPoolManager(retries=False)
        for _ in range(script.count):
            if is_reused:
                assert pool.request("GET", f"http://{host.address}/").data == b"done"
            with pytest.raises(urllib3.exceptions.ProtocolError):
                pool.request("GET", f"http://{host.address}/")
    assert script.sent == script.count


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n"])
@pytest.mark.parametrize("framing", cut_heads.FRAMINGS)
def test_head_that_ends_midway_raises_whatever_ends_its_lines(framing, line_end):
    head = cut_heads.encode_head(b"200 OK", b"A: b\r\n", framing)
    script = cut_heads.CutHeads(head.replace(b"\r\n", line_end))
    with serve(script) as host:
        pool = clients.CheckedPoolManager(retries=False)
        for _ in range(script.count):
            with pytest.raises(urllib3.exceptions.ProtocolError):
                pool.request("GET", f"http://{host.address}/")


@pytest.mark.parametrize("is_idempotent", [False, True])
@pytest.mark.parametrize("echoes_request_id", [False, True])
def test_service_response_that_ends_inside_the_head_may_have_run(
    script, is_idempotent, echoes_request_id
):
    with serve(script) as host:
        client = clients.ServiceClient()
        for _ in range(script.count):
            result = client.send(
                host,
                method="POST",
                path="/bookings",
                headers=[],
                body=b"{}",
                remaining_s=5.0,
                request_id="request-1",
                is_idempotent=is_idempotent,
                echoes_request_id=echoes_request_id,
            )
            assert isinstance(result, domain.Refusal)
            assert result.kind is domain.ErrorKind.UPSTREAM_LOST


def test_engine_response_that_ends_inside_the_head_may_have_run(script):
    request = clients.GenerationRequest(
        request_id="request-1",
        account="a",
        model="m",
        version="v1",
        prompt="x",
        block_keys=(),
        max_tokens=2,
        priority=5,
    )
    with serve(script) as host:
        client = clients.EngineClient()
        for _ in range(script.count):
            result = client.generate(host, request, 5.0)
            assert isinstance(result, domain.Refusal)
            assert result.kind is domain.ErrorKind.UPSTREAM_LOST
        script.sent = 0
        for _ in range(script.count):
            assert isinstance(client.read_load(host, 0.0), domain.Refusal)
        script.sent = 0
        for _ in range(script.count):
            assert isinstance(client.read_cache_events(host, 0), domain.Refusal)
        script.sent = 0
        for _ in range(script.count):
            result = client.generate(host, request, 5.0, "boot-1")
            assert isinstance(result, domain.Refusal)
            # The boot ID, which is read first, has no response.
            assert result.kind is domain.ErrorKind.UPSTREAM_UNREACHABLE


def test_order_whose_response_ends_inside_the_head_has_an_unknown_outcome(script):
    with serve(script) as host:
        client = clients.OrderClient()
        for _ in range(script.count):
            result = client.order_load(host, "m", "v2", 1)
            assert isinstance(result, clients.Uncertain)


def test_platform_response_that_ends_inside_the_head_says_nothing_of_objects(script):
    with serve(script) as host:
        platform = clients.PlatformClient(f"http://{host.address}")
        for read in (
            lambda: platform.get("a"),
            lambda: platform.list("a"),
            lambda: platform.watch_hosts(1, 0.0),
        ):
            script.sent = 0
            for _ in range(script.count):
                assert isinstance(read(), clients.Unavailable)
        for write in (
            lambda: platform.put("a", {}, 1),
            lambda: platform.delete("a", 1),
        ):
            script.sent = 0
            for _ in range(script.count):
                assert isinstance(write(), clients.Uncertain)


def test_block_response_that_ends_inside_the_head_is_no_result(script):
    key = "aa" * 32
    with serve(script) as host:
        blocks = clients.BlockClient()
        store = clients.StoreClient()
        for read in (
            lambda: blocks.export_block(host, key, "v1"),
            lambda: blocks.import_block(host, clients.Envelope(key, "v1", b"x")),
            lambda: store.read(host, key, "v1"),
            lambda: store.describe(host, key),
            lambda: store.free(host, key),
            lambda: store.list_least_used(host, 1),
            lambda: store.read_usage(host),
        ):
            script.sent = 0
            for _ in range(script.count):
                assert isinstance(read(), clients.Unavailable)
