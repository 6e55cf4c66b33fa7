import pytest

from sycamorespoke import domain

PROMPT = "x" * 20000


@pytest.mark.parametrize(
    ("account", "model", "adapter", "version"),
    [
        ("clubs", "scribe", "", "v1"),
        ("abrr", "bibdesk", "", "v1"),
        ("abrr", "scribe", "waiver", "v1"),
        ("abrr", "scribe", "", "v2"),
        ("abrrs", "cribe", "", "v1"),
    ],
)
def test_chain_block_keys_of_other_account_model_adapter_or_version_differ(
    account, model, adapter, version
):
    keys = domain.chain_block_keys("abrr", "scribe", "v1", PROMPT).keys
    others = domain.chain_block_keys(account, model, version, PROMPT, adapter).keys
    assert not set(keys) & set(others)


def test_chain_block_keys_of_common_prefix_are_equal():
    longer = domain.chain_block_keys("abrr", "scribe", "v1", PROMPT + "y" * 8000)
    shorter = domain.chain_block_keys("abrr", "scribe", "v1", PROMPT)
    assert longer.keys[:2] == shorter.keys
