import threading
import time

import hypothesis
import pynng
import pytest

from sycamorespoke import messages

KEY = "shared-secret"


@pytest.fixture
def server():
    with messages.Server("127.0.0.1:0", KEY, handle) as server:
        yield server


def handle(message):
    if isinstance(message, messages.DumpRequest):
        return messages.DumpReply({"part": [1, 2]})
    if isinstance(message, messages.PermitRequest):
        time.sleep(message.count / 1000)
        return messages.PermitReply(message.permit_id, 1)
    raise RuntimeError("handler failure")


def test_ask_returns_reply_of_the_handler(server):
    reply = messages.send_request(server.address, KEY, messages.DumpRequest(), 2.0)
    assert reply == messages.DumpReply({"part": [1, 2]})


def test_request_with_wrong_key_is_dropped_and_counted(server):
    reply = messages.send_request(
        server.address, "stranger", messages.DumpRequest(), 0.3
    )
    assert isinstance(reply, messages.NoReply)
    assert server.dropped_by_reason == {"authenticator": 1}


def test_ask_without_listener_returns_no_reply():
    reply = messages.send_request("127.0.0.1:1", KEY, messages.DumpRequest(), 0.2)
    assert isinstance(reply, messages.NoReply)


def test_handler_failure_does_not_end_threads(server):
    for _ in range(6):
        messages.send_request(server.address, KEY, messages.InForceRequest(), 0.1)
    reply = messages.send_request(server.address, KEY, messages.DumpRequest(), 2.0)
    assert isinstance(reply, messages.DumpReply)
    assert server.dropped_by_reason == {"handler": 6}


def test_late_reply_is_not_returned_for_later_request(server):
    with messages.Peer(server.address, messages.Codec(KEY)) as peer:
        slow = messages.PermitRequest("slow", "h", "u", "b", count=300)
        assert isinstance(peer.send_request(slow, 0.1), messages.NoReply)
        fast = messages.PermitRequest("fast", "h", "u", "b")
        assert peer.send_request(fast, 2.0).permit_id == "fast"


def test_reply_with_other_nonce_is_dropped():
    codec = messages.Codec(KEY)
    with pynng.Rep0() as socket:
        address = str(socket.listen("tcp://127.0.0.1:0").local_address)
        thread = threading.Thread(target=_reply_with_old_nonce, args=(socket, codec))
        thread.start()
        reply = messages.send_request(address, KEY, messages.DumpRequest(), 2.0)
        thread.join()
    assert reply == messages.Dropped("nonce")


def _reply_with_old_nonce(socket, codec):
    socket.recv()
    reply = messages.DumpReply({})
    socket.send(codec.encode(reply, b"00000000", messages.Direction.REPLY))


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(data=hypothesis.strategies.binary(max_size=80))
def test_decode_any_bytes_dropped(data):
    frame = messages.Codec(KEY).decode(data, messages.Direction.REQUEST)
    assert isinstance(frame, messages.Dropped)


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(body=hypothesis.strategies.binary(max_size=80))
def test_decode_any_body_of_a_known_sender_never_raises(body):
    # A process of another release can send a well-signed body of any form.
    codec = messages.Codec(KEY)
    rest = b"12345678" + body
    digest = codec._digest(rest, messages.Direction.REQUEST)
    frame = codec.decode(b"\x01" + digest + rest, messages.Direction.REQUEST)
    assert isinstance(frame, messages.Dropped | messages.Frame)
