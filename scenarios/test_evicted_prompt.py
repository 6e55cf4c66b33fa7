import pytest

from scenarios import deployment
from sycamorespoke import standins

PROMPT = "A long complaint thread. " * 1300
OTHER_PROMPTS = [f"Thread {number}. " * 2700 for number in range(3)]
SMALL_CACHE = standins.EngineOptions(warm_up_s=0.0, token_s=0.005, cache_blocks=5)

pytestmark = pytest.mark.processes


@pytest.fixture
def small_cache_deployment(make_deployment):
    result = make_deployment(
        {"scribe-1": ("seeb", SMALL_CACHE)},
        {},
        {"entry-1": "seeb", "entry-2": "ruwi"},
        {"ledger-cache": ("seeb", standins.StoreOptions())},
    )
    result.start()
    return result


def test_blocks_of_evicted_prompt_are_imported(small_cache_deployment):
    first = small_cache_deployment.send_completion("entry-1", PROMPT)
    deployment.wait_until(
        lambda: small_cache_deployment.count_stored_blocks("ledger-cache") >= 4,
        5,
        "the blocks of the first prompt are stored",
    )
    for prompt in OTHER_PROMPTS:
        small_cache_deployment.send_completion("entry-1", prompt)
    again = small_cache_deployment.send_completion("entry-2", PROMPT)
    usage = again.json()["usage"]
    assert usage["prompt_tokens_details"]["cached_tokens"] == 8000
    assert again.json()["choices"] == first.json()["choices"]
