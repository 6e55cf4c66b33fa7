"""Work that prompts are for engines, and the keys by which they share blocks."""

# Prompt tokens that cost an engine as much as one generated token.
PROMPT_TOKENS_PER_OUTPUT_TOKEN = 10.0
# Share of the maximum number of tokens that answers have on average.
EXPECTED_OUTPUT_RATIO = 0.3


def affinity_key(prompt):
    """Return the key by which requests with a common prefix go to one upstream.

    Parameters
    ----------
    prompt : Prompt
        Prompt of the request.

    Returns
    -------
    str
        ID of the last shared block, which precedes the request's own block; ID of
        the only block if there is one.
    """
    shared = prompt.blocks[:-1] or prompt.blocks
    return shared[-1].id


def estimate_work(prompt):
    """Estimate the work of a request, in units of one generated token."""
    output = max(prompt.output_tokens, 1)
    return estimate_read_work(prompt.input_tokens) + output


def estimate_read_work(tokens):
    """Estimate the work of reading some tokens, in units of one generated token."""
    return tokens / PROMPT_TOKENS_PER_OUTPUT_TOKEN


def estimate_held_tokens(prompt):
    """Estimate the tokens that a request holds in the memory of an engine."""
    return prompt.input_tokens + prompt.output_tokens * EXPECTED_OUTPUT_RATIO


def count_shared_tokens(prompt):
    """Return the tokens of the blocks that other requests may share."""
    return sum(block.tokens for block in prompt.blocks[:-1])
