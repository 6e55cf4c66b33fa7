import openai
import pytest

from scenarios import deployment

PROMPT = "The whole thread so far. " * 1200

pytestmark = pytest.mark.processes


@pytest.fixture
def client(small_deployment):
    return openai.OpenAI(
        base_url=small_deployment.entries_by_name["entry-1"].url + "/v1",
        api_key=deployment.API_KEYS_BY_ACCOUNT["clubs"],
        max_retries=0,
    )


def test_completion_with_openai_client(client):
    first = client.completions.create(model="scribe", prompt=PROMPT, max_tokens=7)
    again = client.completions.create(model="scribe", prompt=PROMPT, max_tokens=7)
    assert first.usage.completion_tokens == 7
    assert again.choices[0].text == first.choices[0].text
    assert first.usage.prompt_tokens_details.cached_tokens == 0
    assert again.usage.prompt_tokens_details.cached_tokens == 6000


def test_chat_stream_with_openai_client(client):
    messages = [{"role": "user", "content": PROMPT}]
    whole = client.chat.completions.create(
        model="scribe", messages=messages, max_tokens=9
    )
    chunks = list(
        client.chat.completions.create(
            model="scribe", messages=messages, max_tokens=9, stream=True
        )
    )
    text = "".join(chunk.choices[0].delta.content for chunk in chunks)
    assert text == whole.choices[0].message.content
    assert chunks[-1].choices[0].finish_reason == "length"
    assert chunks[-1].usage.completion_tokens == 9


def test_refusal_with_openai_client(client):
    with pytest.raises(openai.NotFoundError) as error_info:
        client.completions.create(model="missing", prompt="x")
    assert error_info.value.body["execution"] == "not_run"
    assert [model.id for model in client.models.list()] == ["scribe"]
