"""Keywords of rules files, their words, and the attributes that these set."""

import typing

import attrs

from sycamorespoke import domain
from sycamorespoke.rules import _kinds

YES_OR_NO = _kinds.Choice({"yes": True, "no": False})
FENCING = _kinds.Choice({"checked": True, "ignored": False})
KIND = _kinds.Choice({kind.value: kind for kind in domain.UpstreamKind})
COST = _kinds.Quantity(0, 1000)
NAME = _kinds.Name()
MODEL_WORDS = ("model", "version", "prefill", "resume", "fencing")


@attrs.frozen
class Word:
    """A ``word=value`` pair of a line and the attribute that it sets.

    Parameters
    ----------
    name : str
        Text before ``=``.
    attribute : str
        Attribute of the object; ``"contract.x"`` for an attribute of its contract.
    kind : object
        Kind of the value, an instance of a class of `sycamorespoke.rules._kinds`.
    required : bool, default=False
        Whether a line without it is a fault.
    refers_to : str, default=""
        Keyword of the line that must define an object named by the value; empty if
        the value is not a reference.
    """

    name: str
    attribute: str
    kind: typing.Any
    required: bool = False
    refers_to: str = ""


@attrs.frozen
class Keyword:
    """Syntax of the lines that start with a keyword.

    Parameters
    ----------
    name : str
        The keyword.
    name_count : int
        Number of names that follow the keyword, 0 to 2.
    words : tuple of Word
        Words that may follow the names.
    collection : str, default=""
        Attribute of the configuration that collects such lines; empty if the
        keyword is allowed only once.
    """

    name: str
    name_count: int
    words: tuple[Word, ...]
    collection: str = ""

    def words_by_name(self):
        """Return the words by name."""
        return {word.name: word for word in self.words}


def _quantity(low, high=None, units=_kinds.NO_UNIT, **options):
    return _kinds.Quantity(low, high, units, **options)


_KEYWORDS = (
    Keyword(
        "deployment",
        1,
        (
            Word("time_to_first_token", "time_to_first_token", COST),
            Word("recomputed", "recomputed", COST),
            Word("link", "link", COST),
        ),
    ),
    Keyword(
        "limit",
        0,
        (
            Word("queue_wait", "queue_wait_s", _quantity(0.01, 600, _kinds.SECONDS)),
            Word("queue_length", "queue_length", _quantity(1, 100000, is_integer=True)),
            Word(
                "body",
                "body_bytes",
                _quantity(1024, 1073741824, _kinds.BYTES, is_integer=True),
            ),
            Word("retry_ratio", "retry_ratio", _quantity(0, 1)),
        ),
    ),
    Keyword(
        "data-centre",
        1,
        (
            Word("weight", "weight", _quantity(0.01, 100)),
            Word("loads_at_once", "loads_at_once", _quantity(1, 100, is_integer=True)),
        ),
        "data_centres_by_name",
    ),
    Keyword(
        "link",
        2,
        (
            Word(
                "bandwidth",
                "bytes_per_s",
                _quantity(0, None, _kinds.BYTES_PER_SECOND, excludes_low=True),
            ),
            Word("delay", "delay_s", _quantity(0, 1, _kinds.SECONDS)),
        ),
        "links_by_ends",
    ),
    Keyword(
        "group",
        1,
        (
            Word("kind", "kind", KIND, required=True),
            Word("model", "model", NAME),
            Word("version", "version", NAME),
            Word("limit", "limit", _quantity(1, 10000, is_integer=True)),
            Word("cold_limit", "cold_limit", _quantity(1, 10000, is_integer=True)),
            Word("warm_up", "warm_up_s", _quantity(0, 3600, _kinds.SECONDS)),
            Word(
                "prefill", "prefill_tokens_per_s", _quantity(0, None, excludes_low=True)
            ),
            Word("fencing", "contract.checks_fencing", FENCING),
            Word("echo", "contract.echoes_request_id", YES_OR_NO),
            Word("resume", "contract.resumes", YES_OR_NO),
            Word("cancel", "contract.cancels", YES_OR_NO),
        ),
        "groups_by_name",
    ),
    Keyword(
        "route",
        1,
        (
            Word("model", "model", NAME),
            Word("path", "path", _kinds.Path()),
            Word("methods", "methods", _kinds.Methods()),
            Word("group", "group", NAME, required=True, refers_to="group"),
            Word("idempotent", "idempotent", YES_OR_NO, required=True),
            Word("deadline", "deadline_s", _quantity(0.01, 3600, _kinds.SECONDS)),
            Word("retries", "retries", _quantity(0, 10, is_integer=True)),
        ),
        "routes_by_name",
    ),
    Keyword(
        "account",
        1,
        (
            Word("key", "key_hash", _kinds.KeyHash(), required=True),
            Word("share", "share", _quantity(0.01, 1000)),
            Word("rate", "rate", _quantity(0.01, 100000, _kinds.PER_SECOND)),
            Word("concurrency", "concurrency", _quantity(1, 100000, is_integer=True)),
            Word("priority", "priority", _quantity(0, 9, is_integer=True)),
        ),
        "accounts_by_name",
    ),
    Keyword(
        "event",
        1,
        (
            Word("route", "route", NAME, required=True, refers_to="route"),
            Word("start", "start_s", _kinds.Timestamp(), required=True),
            Word(
                "rate",
                "rate",
                _quantity(0, None, _kinds.PER_SECOND, excludes_low=True),
                required=True,
            ),
        ),
        "events_by_name",
    ),
)
KEYWORDS_BY_NAME = {keyword.name: keyword for keyword in _KEYWORDS}


def is_word_allowed(word, kind):
    """Return whether a word is allowed for a group of a kind.

    Parameters
    ----------
    word : str
        Text before ``=``.
    kind : domain.UpstreamKind
        Kind of the group.

    Returns
    -------
    bool
        False if the group is a plain service and the word is for model engines.
    """
    return kind is domain.UpstreamKind.MODEL or word not in MODEL_WORDS
