"""The engine's queue and the text that it generates."""

import hashlib
import itertools

import attrs

MIN_ANSWER_TOKENS = 64
ANSWER_TOKENS_RANGE = 448
CHARACTERS_PER_TOKEN = 4


@attrs.define(eq=False)
class Run:
    """One request to the engine, queued or running.

    Parameters
    ----------
    value : dict
        The request as in docs/PROTOCOLS.md.
    boot_id : str
        Boot under which it was accepted.
    order : tuple of (int, int)
        Place in the queue: priority, then arrival.
    version : str, default=""
        Weight version with which it began.
    cancelled : bool, default=False
        It is to end.
    """

    value: dict
    boot_id: str
    order: tuple[int, int]
    version: str = ""
    cancelled: bool = False

    @property
    def request_id(self):
        """Id of the request."""
        return self.value["request_id"]


class RunQueue:
    """Requests that wait, by priority and arrival.

    Notes
    -----
    Not synchronised: the caller holds its own lock.
    """

    def __init__(self):
        self._arrivals = itertools.count()
        self._waiting = []

    def __len__(self):
        return len(self._waiting)

    def push(self, value, boot_id):
        """Queue a request and return its run."""
        order = (int(value.get("priority", 5)), next(self._arrivals))
        run = Run(value, boot_id, order)
        self._waiting.append(run)
        return run

    def is_first(self, run):
        """Return whether a run is the next to start."""
        return min(self._waiting, key=lambda each: each.order) is run

    def find(self, request_id):
        """Return the run with a request's id that waits, or None."""
        for run in self._waiting:
            if run.request_id == request_id:
                return run
        return None

    def remove(self, run):
        """Take a run out, if it still waits."""
        if run in self._waiting:
            self._waiting.remove(run)


def make_token(prompt, index):
    """Make the token at an index of the answer to a prompt.

    Parameters
    ----------
    prompt : str
        The whole prompt.
    index : int
        Index of the token, 0 or more.

    Returns
    -------
    str
        Four characters, the same for the same arguments.
    """
    return make_token_of_digest(digest_prompt(prompt), index)


def make_token_of_digest(digest, index):
    """Make a token as `make_token` does, from the digest of a long prompt."""
    return _hash(f"{index}:{digest}")[:3] + " "


def digest_prompt(prompt):
    """Return the digest of a prompt from which its answer is made."""
    return _hash(prompt)


def count_answer_tokens(prompt, max_tokens):
    """Count the tokens of the answer to a prompt and tell why it ends.

    Returns
    -------
    tuple of (int, str)
        Tokens and ``"stop"`` or ``"length"``.
    """
    full_length = MIN_ANSWER_TOKENS + int(_hash(prompt)[:8], 16) % ANSWER_TOKENS_RANGE
    if max_tokens < full_length:
        return max_tokens, "length"
    return full_length, "stop"


def count_prompt_tokens(prompt):
    """Count the tokens of a prompt."""
    return -(-len(prompt) // CHARACTERS_PER_TOKEN)


def _hash(text):
    return hashlib.sha256(text.encode()).hexdigest()
