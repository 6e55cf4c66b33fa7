"""Heads of responses that cannot be read as a whole."""

import pytest

from tests.fakes import scripted_upstream

IDENTITY = (
    b"X-Sycamorespoke-Request-Id: call-1\r\nX-Sycamorespoke-Response-Stamp: stamp\r\n"
)
HEAD = b"HTTP/1.1 200 OK\r\n" + IDENTITY
EVENT = b"id: 1\n\n"
# What follows each, with the length of the body, is lost or has to be guessed.
MALFORMED_LINES = {
    "no colon": b"broken\r\nContent-Length: 90\r\n",
    "second head": b"HTTP/1.1 500 Fault\r\nContent-Length: 90\r\n",
    "space before colon": b"Content-Length : 90\r\n",
    "empty line of CR": b"\r\r\nContent-Length: 90\r\n",
    "header after CR": b"A: b\rContent-Length: 7\r\n",
}
UNREADABLE_FRAMINGS = (
    b"Content-Length: 90x",
    b"Content-Length: -90",
    b"Content-Length: 0x7",
    b"Content-Length: 0_7",
    b"Content-Length: +7",
    b"Content-Length: 7.0",
    b"Content-Length:",
    b"Content-Length: 7\r\nContent-Length: 90",
    b"Content-Length: 7\r\nContent-Length: x",
    b"Transfer-Encoding: gzip, chunked",
    b"Transfer-Encoding: gzip",
    b"Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip",
    b"Transfer-Encoding:",
)
SOUND_LINES = {
    "folded": b"A: b\r\n c\r\nContent-Length: 7\r\n",
    "no space": b"A:b\r\nContent-Length:7\r\n",
    "spaces": b"A:\t b \r\nContent-Length: \t7 \r\n",
    "no name": b": b\r\nContent-Length: 7\r\n",
    "no value": b"A:\r\nContent-Length: 7\r\n",
    "bytes above 127": b"A: \xc3\xa9\xff\r\nContent-Length: 7\r\n",
    "other case": b"CONTENT-LENGTH: 7\r\n",
    "equal lengths": b"Content-Length: 7\r\nContent-Length: 7\r\n",
    "chunks": b"Transfer-Encoding: Chunked\r\n\r\n7\r\n" + EVENT + b"\r\n0\r\n",
    "multipart": b"Content-Type: multipart/mixed\r\nContent-Length: 7\r\n",
    "message": b"Content-Type: message/http\r\nContent-Length: 7\r\n",
}


def request(harness, path, response):
    def respond(request):
        request.wfile.write(response)
        request.close_connection = True

    gateway = harness.start_gateway([harness.start_upstream(respond)])
    return gateway.request(path)


@pytest.mark.parametrize("path", ["/unsafe/x", "/once/x"])
@pytest.mark.parametrize("lines", MALFORMED_LINES.values(), ids=MALFORMED_LINES)
def test_head_with_a_malformed_line_is_no_response(harness, path, lines):
    status, headers, _ = request(harness, path, HEAD + lines + b"\r\n" + EVENT)
    assert status == 502
    assert scripted_upstream.RESPONSE_STAMP not in headers


@pytest.mark.parametrize("path", ["/unsafe/x", "/once/x"])
@pytest.mark.parametrize("lines", SOUND_LINES.values(), ids=SOUND_LINES)
def test_head_with_an_unusual_line_is_read(harness, path, lines):
    status, _, body = request(harness, path, HEAD + lines + b"\r\n" + EVENT)
    assert (status, body) == (200, EVENT)


@pytest.mark.parametrize("path", ["/unsafe/x", "/once/x"])
@pytest.mark.parametrize("framing", UNREADABLE_FRAMINGS)
def test_head_with_an_unreadable_framing_is_no_response(harness, path, framing):
    head = HEAD + framing + b"\r\n\r\n"
    status, headers, _ = request(harness, path, head + EVENT)
    assert status == 502
    assert scripted_upstream.RESPONSE_STAMP not in headers
