import pytest

from sycamorespoke.load import _stream

TOKEN = b'data: {"choices": [{"text": "a", "finish_reason": null}]}\n\n'
FINISH = b'data: {"choices": [{"text": "", "finish_reason": "stop"}]}\n\n'
USAGE = (
    b'data: {"choices": [], "usage": {"prompt_tokens": 9, "completion_tokens": 2,'
    b' "prompt_tokens_details": {"cached_tokens": 4}}}\n\n'
)
ERROR = b'data: {"error": {"code": "upstream_lost", "execution": "unknown"}}\n\n'
DONE = b"data: [DONE]\n\n"


@pytest.mark.parametrize(
    ("events", "fault"),
    [
        ([TOKEN, TOKEN, FINISH, USAGE, DONE], ""),
        ([TOKEN, TOKEN, FINISH, USAGE], "cut_stream"),
        ([TOKEN, FINISH, USAGE, DONE], "wrong_token_count"),
        ([TOKEN, TOKEN, TOKEN, FINISH, USAGE, DONE], "wrong_token_count"),
        ([TOKEN, TOKEN, USAGE, DONE], "no_finish_reason"),
        ([TOKEN, ERROR], "upstream_lost"),
    ],
)
def test_stream_reader_finds_fault(events, fault):
    reader = _stream.StreamReader()
    for byte in b"".join(events):
        reader.parse_chunk(bytes([byte]), 0.0)
    assert reader.find_fault() == fault


def test_stream_reader_reads_usage():
    reader = _stream.StreamReader()
    reader.parse_chunk(USAGE, 0.0)
    assert (reader.prompt_tokens, reader.cached_tokens) == (9, 4)
