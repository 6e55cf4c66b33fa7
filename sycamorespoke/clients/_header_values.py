"""Parses values of HTTP headers."""

import math
import re

EVENT_STREAM_TYPE = "text/event-stream"
LARGEST_DECIMAL = 999_999_999.0
MAX_RETRY_AFTER_S = 3600
_INTEGER = re.compile(r"[0-9]{1,15}")
# With so many digits the number is still finite.
_DECIMAL = re.compile(r"[0-9]{1,300}(\.[0-9]{1,300})?")


def parse_integer(text):
    """Return a whole number of 0 or more; ``None`` if the text is absent or not one.

    Examples
    --------
    >>> [parse_integer(text) for text in (" 12 ", "-1", "1.5", "", None)]
    [12, None, None, None, None]
    """
    if text is None or _INTEGER.fullmatch(text.strip()) is None:
        return None
    return int(text)


def parse_decimal(text, largest=LARGEST_DECIMAL):
    """Return a decimal number of 0 or more.

    Parameters
    ----------
    text : str or None
        Value of a header, ``None`` if it is absent.
    largest : float, default=LARGEST_DECIMAL
        Larger numbers count as malformed.

    Returns
    -------
    float or None
        ``None`` if the text is absent or malformed.

    Examples
    --------
    >>> [parse_decimal(text) for text in ("0.25", "3", "-1", "1e3", "nan", None)]
    [0.25, 3.0, None, None, None, None]
    """
    if text is None or _DECIMAL.fullmatch(text.strip()) is None:
        return None
    number = float(text)
    return number if number <= largest else None


def parse_retry_after(response):
    """Return the time that a response names in ``Retry-After``.

    Returns
    -------
    int or None
        Seconds, rounded up, 1 to `MAX_RETRY_AFTER_S`; ``None`` if absent or malformed.
    """
    seconds = parse_decimal(response.headers.get("Retry-After"), largest=math.inf)
    if seconds is None:
        return None
    return math.ceil(min(max(seconds, 1.0), MAX_RETRY_AFTER_S))


def parse_connection_options(text):
    """Return the options of a ``Connection`` header in lower case.

    Examples
    --------
    >>> sorted(parse_connection_options("close, X-Private,"))
    ['close', 'x-private']
    """
    return {name.strip().lower() for name in text.split(",") if name.strip()}


def parse_keep_alive(text):
    """Return the timeout in a ``Keep-Alive`` header, seconds; ``None`` if not stated.

    Examples
    --------
    >>> parse_keep_alive("timeout=5, max=9"), parse_keep_alive("max=9")
    (5.0, None)
    """
    for parameter in text.split(","):
        name, _, value = parameter.strip().partition("=")
        if name.lower() == "timeout":
            return parse_decimal(value.strip())
    return None


def is_event_stream(content_type):
    """Return whether a ``Content-Type`` is that of a stream of events.

    Examples
    --------
    >>> is_event_stream("Text/Event-Stream; charset=utf-8"), is_event_stream("")
    (True, False)
    """
    return content_type.partition(";")[0].strip().lower() == EVENT_STREAM_TYPE
