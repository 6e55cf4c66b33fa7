"""Outcome of a request."""

import enum

import attrs

from sycamorespoke.load import _schedule


class Ending(enum.Enum):
    """How a request ended.

    A request is lost if the client received neither a complete response nor a
    refusal that states "not run".
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    LOST = "lost"


@attrs.frozen
class Outcome:
    """Outcome of one request.

    Parameters
    ----------
    arrival : Arrival
        The request.
    ending : Ending
        How the request ended.
    kind : str, default=""
        Error kind of a refusal, or cause of a loss.
    entry : str, default=""
        Address of the entry host that the request was last sent to.
    first_token_s : float, default=0.0
        Time from the intended start to the first token or the response head, in
        seconds.
    total_s : float, default=0.0
        Time from the intended start to the end, in seconds.
    gaps_s : tuple of float, default=()
        Times between tokens, in seconds.
    prompt_tokens : int, default=0
        Prompt tokens in the usage of the response.
    cached_tokens : int, default=0
        Cached prompt tokens in the usage of the response.
    not_run_retries : int, default=0
        Retries after refusals that stated "not run".
    """

    arrival: _schedule.Arrival
    ending: Ending
    kind: str = ""
    entry: str = ""
    first_token_s: float = 0.0
    total_s: float = 0.0
    gaps_s: tuple[float, ...] = ()
    prompt_tokens: int = 0
    cached_tokens: int = 0
    not_run_retries: int = 0
