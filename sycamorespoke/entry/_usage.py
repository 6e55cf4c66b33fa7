"""Token usage of completions."""

import attrs


@attrs.frozen
class Usage:
    """Token usage of a completion.

    Parameters
    ----------
    prompt_tokens : int
        Tokens of the prompt.
    cached_tokens : int
        Prompt tokens that were served from the cache.
    completion_tokens : int
        Generated tokens.
    """

    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int

    def as_json(self):
        """Return the usage as JSON values of the completions protocol."""
        return {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.completion_tokens,
            "total_tokens": self.prompt_tokens + self.completion_tokens,
            "prompt_tokens_details": {"cached_tokens": self.cached_tokens},
        }
