"""Queue of an engine and the text that it generates."""

import hashlib
import itertools

import attrs

MIN_ANSWER_TOKENS = 64
ANSWER_TOKENS_RANGE = 448
CHARACTERS_PER_TOKEN = 4


@attrs.define(eq=False)
class Run:
    """Request that an engine has queued or is running.

    Parameters
    ----------
    value : dict
        Body of the request, as in docs/PROTOCOLS.md.
    boot_id : str
        Boot ID of the engine when it queued the request or, once running, started it.
    order : tuple of (int, int)
        Sort key in the queue: priority, then arrival number.
    version : str, default=""
        Weight version in use when the request started.
    cancelled : bool, default=False
        Whether the request has been cancelled.
    """

    value: dict
    boot_id: str
    order: tuple[int, int]
    version: str = ""
    cancelled: bool = False

    @property
    def request_id(self):
        """ID of the request."""
        return self.value["request_id"]


class RunQueue:
    """Queue of requests, ordered by priority and arrival.

    Notes
    -----
    Not thread-safe; the caller holds a lock.
    """

    def __init__(self):
        self._arrivals = itertools.count()
        self._waiting = []

    def __len__(self):
        return len(self._waiting)

    def push(self, value, boot_id):
        """Queue a request and return its `Run`."""
        order = (int(value.get("priority", 5)), next(self._arrivals))
        run = Run(value, boot_id, order)
        self._waiting.append(run)
        return run

    def is_first(self, run):
        """Return whether a run is the first in the queue."""
        return min(self._waiting, key=lambda each: each.order) is run

    def find(self, request_id):
        """Return the queued run with a request ID, or None."""
        for run in self._waiting:
            if run.request_id == request_id:
                return run
        return None

    def remove(self, run):
        """Remove a run if it is queued."""
        if run in self._waiting:
            self._waiting.remove(run)


def make_token(prompt, index):
    """Make one token of the answer to a prompt.

    Parameters
    ----------
    prompt : str
        Complete prompt.
    index : int
        Index of the token in the answer, 0 or more.

    Returns
    -------
    str
        Four characters that only depend on the arguments.
    """
    return make_token_from_digest(digest_prompt(prompt), index)


def make_token_from_digest(digest, index):
    """Like `make_token`, but with the digest of the prompt computed beforehand."""
    return _hash(f"{index}:{digest}")[:3] + " "


def digest_prompt(prompt):
    """Return the digest of a prompt that determines the tokens of its answer."""
    return _hash(prompt)


def count_answer_tokens(prompt, max_tokens):
    """Return the length of the answer to a prompt and its finish reason.

    Returns
    -------
    tuple of (int, str)
        Number of tokens, and ``"stop"`` or ``"length"`` (limited by ``max_tokens``).
    """
    full_length = MIN_ANSWER_TOKENS + int(_hash(prompt)[:8], 16) % ANSWER_TOKENS_RANGE
    if max_tokens < full_length:
        return max_tokens, "length"
    return full_length, "stop"


def count_prompt_tokens(prompt):
    """Return the number of tokens of a prompt, rounded up."""
    return -(-len(prompt) // CHARACTERS_PER_TOKEN)


def _hash(text):
    return hashlib.sha256(text.encode()).hexdigest()
