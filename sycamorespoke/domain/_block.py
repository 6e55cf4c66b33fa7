"""Blocks of a prompt and the keys of their KV cache."""

import hashlib

import attrs

BLOCK_TOKENS = 2000
CHARACTERS_PER_TOKEN = 4
BLOCK_CHARACTERS = BLOCK_TOKENS * CHARACTERS_PER_TOKEN


@attrs.frozen
class Block:
    """A stored KV cache block, as described by a store host.

    Parameters
    ----------
    key : str
        Block key, 64 hexadecimal digits.
    length : int
        Size in bytes, above 0.
    checksum : str
        XXH3 hash of its bytes, 16 hexadecimal digits.
    generation : int
        Increases each time the storage space of the block is overwritten.
    """

    key: str
    length: int
    checksum: str
    generation: int


@attrs.frozen
class BlockChain:
    """Keys of the full blocks of a prompt, in order.

    Parameters
    ----------
    keys : tuple of str
        Block keys; key ``i`` covers the first ``i + 1`` blocks of the prompt.
    prompt_tokens : int
        Tokens of the whole prompt, including a last block that is not full.
    """

    keys: tuple[str, ...]
    prompt_tokens: int


def count_tokens(text):
    """Count the tokens of a text.

    Parameters
    ----------
    text : str
        Text to count.

    Returns
    -------
    int
        Number of characters divided by four, rounded up.

    Examples
    --------
    >>> count_tokens("abcde")
    2
    """
    return -(-len(text) // CHARACTERS_PER_TOKEN)


def split_prompt(prompt):
    """Split a prompt into the texts of its full blocks.

    Parameters
    ----------
    prompt : str
        The whole prompt.

    Returns
    -------
    list of str
        Texts of the full blocks. The remainder is not cached; engines compute it
        for each request.

    Examples
    --------
    >>> [len(text) for text in split_prompt("x" * 20000)]
    [8000, 8000]
    """
    full = len(prompt) // BLOCK_CHARACTERS
    return [
        prompt[i * BLOCK_CHARACTERS : (i + 1) * BLOCK_CHARACTERS] for i in range(full)
    ]


def chain_block_keys(account, model, version, prompt, adapter=""):
    """Compute the block keys of a prompt.

    A key is a hash over client account, model, adapter, weight version, previous
    key and text. Requests of different accounts or weight versions therefore never
    share a block.

    Parameters
    ----------
    account : str
        Name of the client account.
    model : str
        Model name.
    version : str
        Weight version.
    prompt : str
        The whole prompt.
    adapter : str, default=""
        Adapter name; empty for none.

    Returns
    -------
    BlockChain
        One key per full block.

    Examples
    --------
    >>> mine = chain_block_keys("abrr", "scribe", "v1", "x" * 8000)
    >>> other = chain_block_keys("clubs", "scribe", "v1", "x" * 8000)
    >>> len(mine.keys), mine.prompt_tokens, mine.keys == other.keys
    (1, 2000, False)
    """
    fields = [account, model, adapter, version]
    previous = hashlib.sha256(_encode_with_lengths(fields)).digest()
    keys = []
    for text in split_prompt(prompt):
        previous = hashlib.sha256(previous + text.encode()).digest()
        keys.append(previous.hex())
    return BlockChain(tuple(keys), count_tokens(prompt))


def _encode_with_lengths(fields):
    # Without length prefixes, ("ab", "c") and ("a", "bc") would have the same hash.
    encoded = [field.encode() for field in fields]
    return b"".join(len(field).to_bytes(4, "big") + field for field in encoded)
