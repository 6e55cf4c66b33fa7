"""Kinds of values in rules files, with parsing and formatting of each."""

import datetime
import decimal
import functools
import re
import typing

import attrs

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
QUANTITY_PATTERN = re.compile(r"([0-9]{1,20}(?:\.[0-9]{1,20})?)([A-Za-z/]*)")
HASH_PATTERN = re.compile(r"sha256:([0-9a-f]{64})")
PATH_PATTERN = re.compile(r"(/[A-Za-z0-9._~-]+)+")
RESERVED_PATHS = ("/v1", "/healthz", "/readyz", "/metrics", "/dump")
HTTP_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")

NO_UNIT = {"": "1"}
SECONDS = {"s": "1", "ms": "0.001", "min": "60", "h": "3600"}
BYTES = {
    "B": "1",
    "kB": "1000",
    "MB": "1000000",
    "GB": "1000000000",
    "KiB": "1024",
    "MiB": "1048576",
    "GiB": "1073741824",
}
BYTES_PER_SECOND = {f"{unit}/s": factor for unit, factor in BYTES.items()}
PER_SECOND = {"/s": "1"}


@attrs.frozen
class Invalid:
    """Sentinel for a value that is not valid.

    Parameters
    ----------
    cause : str
        Description of the fault.
    mend : str
        How to correct it.
    """

    cause: str
    mend: str


@attrs.frozen
class Quantity:
    """A number with a unit.

    Parameters
    ----------
    low : float
        Lowest value, in the unit whose factor is 1.
    high : float or None, default=None
        Highest value; None for no bound.
    units : dict of str to str
        Factors by unit; the first unit is used for formatting.
    is_integer : bool, default=False
        Whether the value must be an integer.
    excludes_low : bool, default=False
        Whether ``low`` itself is out of range.
    """

    low: float
    high: float | None = None
    units: dict[str, str] = attrs.field(factory=lambda: dict(NO_UNIT))
    is_integer: bool = False
    excludes_low: bool = False

    def describe(self):
        """Return an instruction that states the range and the units."""
        if self.high is None:
            bounds = (
                f"{'above' if self.excludes_low else 'at least'} "
                f"{_format_number(self.low)}"
            )
        else:
            bounds = f"{_format_number(self.low)} to {_format_number(self.high)}"
        unit = next(iter(self.units))
        number = "a whole number" if self.is_integer else "a number"
        if not unit:
            return f"write {number}, {bounds}"
        return f"write {number} with a unit ({', '.join(self.units)}), {bounds} {unit}"


@attrs.frozen
class Choice:
    """One of several words.

    Parameters
    ----------
    values_by_word : dict of str to object
        Values by the word that denotes them.
    """

    values_by_word: dict[str, typing.Any]


@attrs.frozen
class Name:
    """Name of an object."""


@attrs.frozen
class KeyHash:
    """The SHA-256 hash of an API key."""


@attrs.frozen
class Path:
    """A path prefix."""


@attrs.frozen
class Methods:
    """HTTP methods, separated by commas."""


@attrs.frozen
class Timestamp:
    """A date and time with UTC offset; the value is in seconds since the Unix epoch."""


@functools.singledispatch
def parse_value(kind, text):
    """Parse the text of a value.

    Parameters
    ----------
    kind : Quantity, Choice, Name, KeyHash, Path, Methods or Timestamp
        Expected kind.
    text : str
        Text after ``=``.

    Returns
    -------
    object or Invalid
        The value, or why it is not valid.

    Examples
    --------
    >>> parse_value(Quantity(0, 60, SECONDS), "250ms")
    0.25
    >>> parse_value(KeyHash(), "hunter2").cause
    'the key is not a SHA-256 hash'
    """
    raise TypeError(f"unknown kind of value: {kind!r}")


@functools.singledispatch
def format_value(kind, value):
    """Format a value such that `parse_value` returns an equal value.

    Parameters
    ----------
    kind : Quantity, Choice, Name, KeyHash, Path, Methods or Timestamp
        Kind of the value.
    value : object
        Value to format.

    Returns
    -------
    str
        Text of the value.

    Examples
    --------
    >>> format_value(Quantity(0, 60, SECONDS), 0.25)
    '0.25s'
    """
    return str(value)


@parse_value.register
def _(kind: Quantity, text):
    match = QUANTITY_PATTERN.fullmatch(text)
    if match is None or match[2] not in kind.units:
        return Invalid("not a number in the expected format", kind.describe())
    value = decimal.Decimal(match[1]) * decimal.Decimal(kind.units[match[2]])
    if kind.is_integer and value != value.to_integral_value():
        return Invalid("not a whole number", kind.describe())
    low = decimal.Decimal(repr(kind.low))
    too_low = value <= low if kind.excludes_low else value < low
    too_high = kind.high is not None and value > decimal.Decimal(repr(kind.high))
    if too_low or too_high:
        return Invalid("the number is out of range", kind.describe())
    return int(value) if kind.is_integer else float(value)


@parse_value.register
def _(kind: Choice, text):
    if text not in kind.values_by_word:
        words = " or ".join(kind.values_by_word)
        return Invalid("not one of the words allowed here", f"write {words}")
    return kind.values_by_word[text]


@parse_value.register
def _(kind: Name, text):
    if NAME_PATTERN.fullmatch(text) is None:
        return Invalid(
            "not a name",
            "write 1 to 64 letters, digits, dots, dashes or underscores, "
            "the first a letter or digit",
        )
    return text


@parse_value.register
def _(kind: KeyHash, text):
    match = HASH_PATTERN.fullmatch(text)
    if match is None:
        # The text may be the API key itself, so the message must not contain it.
        return Invalid(
            "the key is not a SHA-256 hash",
            "write key=sha256: and 64 lower-case hexadecimal digits, "
            "as `printf %s KEY | sha256sum` prints them; "
            "replace any API key that was written to a file",
        )
    return match[1]


@parse_value.register
def _(kind: Path, text):
    if PATH_PATTERN.fullmatch(text) is None:
        return Invalid("not a path prefix", "write it as /word or /word/word")
    if any(text == path or text.startswith(path + "/") for path in RESERVED_PATHS):
        return Invalid("the path is reserved", "use another path")
    return text


@parse_value.register
def _(kind: Methods, text):
    methods = tuple(text.split(","))
    if len(set(methods)) < len(methods) or not set(methods) <= set(HTTP_METHODS):
        return Invalid(
            "not a list of HTTP methods",
            f"write some of {','.join(HTTP_METHODS)}, each once, without spaces",
        )
    return methods


@parse_value.register
def _(kind: Timestamp, text):
    mend = "write it as 2026-12-04T05:00:00+04:00"
    try:
        moment = datetime.datetime.fromisoformat(text)
        if moment.tzinfo is None:
            return Invalid("the time has no offset from UTC", mend)
        seconds = moment.timestamp()
    except (ValueError, OverflowError):
        return Invalid("not a date and time", mend)
    if seconds < 0:
        return Invalid("the time is before 1970", mend)
    return seconds


@format_value.register
def _(kind: Quantity, value):
    return f"{_format_number(value)}{next(iter(kind.units))}"


@format_value.register
def _(kind: Choice, value):
    words_by_value = {choice: word for word, choice in kind.values_by_word.items()}
    return words_by_value[value]


@format_value.register
def _(kind: KeyHash, value):
    return f"sha256:{value}"


@format_value.register
def _(kind: Methods, value):
    return ",".join(value)


@format_value.register
def _(kind: Timestamp, value):
    return datetime.datetime.fromtimestamp(value, datetime.UTC).isoformat()


def _format_number(number):
    # repr() may use an exponent, which rules files do not allow.
    text = format(decimal.Decimal(repr(number)), "f")
    return text.rstrip("0").rstrip(".") if "." in text else text
