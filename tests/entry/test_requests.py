import io
import json

import hypothesis
import pytest
from hypothesis import strategies as st

from sycamorespoke import domain
from sycamorespoke.entry import _requests

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=20),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(
            st.sampled_from(
                ["model", "prompt", "messages", "max_tokens", "stream", "role"]
            ),
            inner,
            max_size=5,
        )
    ),
    max_leaves=12,
)
BODIES = st.binary(max_size=200) | JSON.map(lambda value: json.dumps(value).encode())
HEADER_TEXTS = st.text(st.characters(max_codepoint=255), max_size=200)


def make_environ(body, path="/v1/completions", **headers):
    return {
        "REQUEST_METHOD": "POST",
        "PATH_INFO": path,
        "CONTENT_LENGTH": str(len(body)),
        "wsgi.input": io.BytesIO(body),
        **headers,
    }


@hypothesis.settings(derandomize=True, deadline=None, max_examples=500)
@hypothesis.given(BODIES, st.sampled_from(["/v1/completions", "/v1/chat/completions"]))
def test_parse_completion_accepts_or_refuses_any_body(body, path):
    request = _requests.parse_request(make_environ(body, path), 1000, now=0.0)
    result = _requests.parse_completion(request)
    if isinstance(result, domain.Refusal):
        assert result.kind is domain.ErrorKind.BAD_REQUEST
        result.reason.encode()
    else:
        assert 1 <= result.max_tokens <= _requests.MAX_TOKENS


@hypothesis.settings(derandomize=True, deadline=None, max_examples=500)
@hypothesis.given(HEADER_TEXTS, HEADER_TEXTS)
def test_parse_request_accepts_or_refuses_any_headers(deadline, request_id):
    environ = make_environ(
        b"", HTTP_X_DEADLINE_S=deadline, HTTP_X_REQUEST_ID=request_id
    )
    result = _requests.parse_request(environ, 1000, now=5.0)
    if isinstance(result, domain.Refusal):
        assert result.kind is domain.ErrorKind.BAD_REQUEST
    else:
        assert 5.0 < result.deadline_s <= 5.0 + _requests.MAX_DEADLINE_S


@pytest.mark.parametrize(
    ("body", "expected_text"),
    [
        (b"{", "truncated"),
        (b'{"model": "m"}', "prompt"),
        (b'{"model": "m", "prompt": "x", "max_tokens": 0}', "max_tokens"),
    ],
)
def test_parse_completion_error_names_the_problem(body, expected_text):
    request = _requests.parse_request(make_environ(body), 1000, now=0.0)
    assert expected_text in _requests.parse_completion(request).reason


def test_parse_request_refuses_too_large_body():
    result = _requests.parse_request(make_environ(b"x" * 1001), 1000, now=0.0)
    assert result.kind is domain.ErrorKind.TOO_LARGE


def test_parse_completion_chat_prompt_is_prefix_of_its_continuation():
    messages = [{"role": "user", "content": "one"}, {"role": "user", "content": "two"}]
    prompts = []
    for count in (1, 2):
        body = json.dumps({"model": "m", "messages": messages[:count]}).encode()
        environ = make_environ(body, "/v1/chat/completions")
        request = _requests.parse_request(environ, 1000, now=0.0)
        prompts.append(_requests.parse_completion(request).prompt)
    assert prompts[1].startswith(prompts[0])
