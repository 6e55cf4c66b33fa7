"""Decodes JSON documents of other programs within bounds, part by part if need be.

One part that cannot be used, such as an entry of a list, does not cost the others.
"""

import math
import re

import msgspec

# Far deeper than any document that the product reads.
MAX_DEPTH = 32
# Integers outside this range cannot be passed on to other hosts.
MIN_INTEGER = -(2**63)
MAX_INTEGER = 2**63 - 1
# Levels of a document that are taken apart: the document, a list in it, an entry of
# the list, an object in the entry.
SALVAGED_LEVELS = 4

_TOKEN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{},:"]', re.DOTALL)
_OPENING = (b"[", b"{")
_CLOSING = (b"]", b"}")
_SPACE = b" \t\r\n"


class MalformedDocumentError(ValueError):
    """A document is no JSON, or exceeds a bound."""


def decode_document(data):
    """Decode a JSON document whose values are all within the bounds.

    Parameters
    ----------
    data : bytes
        The document.

    Returns
    -------
    object
        The JSON value.

    Raises
    ------
    MalformedDocumentError
        If the document is no JSON, is nested more than `MAX_DEPTH` deep, or holds a
        number that is not finite or an integer of more than 64 bits.

    Examples
    --------
    >>> decode_document(b'{"a": [1, 2.5]}')
    {'a': [1, 2.5]}
    >>> decode_document(b"[" * 5000 + b"]" * 5000)
    Traceback (most recent call last):
    ...
    sycamorespoke.clients._json_documents.MalformedDocumentError: nested too deep
    """
    try:
        value = msgspec.json.decode(data)
    except RecursionError:
        raise MalformedDocumentError("nested too deep") from None
    except msgspec.DecodeError as error:
        raise MalformedDocumentError(str(error)) from error
    _check_bounds(value)
    return value


def salvage_document(data, divisible_keys):
    """Decode a JSON document, with ``None`` for each part that cannot be used.

    Parameters
    ----------
    data : bytes
        The document.
    divisible_keys : frozenset of str
        Members of objects whose value may be decoded in part. The value of any other
        member is whole or ``None``.

    Returns
    -------
    object
        The JSON value.

    Raises
    ------
    MalformedDocumentError
        If the parts of the document cannot be told apart.

    Examples
    --------
    >>> salvage_document(b'{"items": [{"a": 1e400, "b": 2}, 3]}', {"items"})
    {'items': [{'a': None, 'b': 2}, 3]}
    >>> salvage_document(b'{"items": [{"a": {"c": NaN, "d": 1}}]}', {"items"})
    {'items': [{'a': None}]}
    """
    try:
        return decode_document(data)
    except MalformedDocumentError:
        return _salvage(data, divisible_keys, SALVAGED_LEVELS)


def _salvage(data, divisible_keys, levels):
    if data.startswith(b"["):
        return [
            _salvage_part(part, divisible_keys, levels) for part in _split_array(data)
        ]
    if data.startswith(b"{"):
        value = {}
        for key, part in _split_object(data):
            part_levels = levels if key in divisible_keys else 0
            value[key] = _salvage_part(part, divisible_keys, part_levels)
        return value
    raise MalformedDocumentError("neither an array nor an object")


def _salvage_part(data, divisible_keys, levels):
    try:
        return decode_document(data)
    except MalformedDocumentError:
        if levels == 0:
            return None
    try:
        return _salvage(data, divisible_keys, levels - 1)
    except MalformedDocumentError:
        return None


def _split_array(data):
    """Return the encoded elements of an array."""
    parts = [data[start:end].strip(_SPACE) for start, end, _ in _iterate_parts(data)]
    return [part for part in parts if part]


def _split_object(data):
    """Return the keys and encoded values of an object."""
    members = []
    for start, end, colon in _iterate_parts(data):
        if colon is None:
            if data[start:end].strip(_SPACE):
                raise MalformedDocumentError("a member of an object has no value")
            continue
        key = decode_document(data[start:colon])
        if not isinstance(key, str):
            raise MalformedDocumentError("a key is no string")
        members.append((key, data[colon + 1 : end].strip(_SPACE)))
    return members


def _iterate_parts(data):
    """Yield start and end of each part of an array or object, and its first colon.

    The document is not decoded, so that neither depth nor size of a part matters.
    """
    depth = 0
    start, colon = 1, None
    for match in _TOKEN.finditer(data):
        token = match.group()
        if token in _OPENING:
            depth += 1
        elif token == b'"':
            break
        elif token in _CLOSING:
            depth -= 1
            if depth == 0:
                yield start, match.start(), colon
                if data[match.end() :].strip(_SPACE):
                    raise MalformedDocumentError("bytes follow the document")
                return
        elif depth == 1 and token == b",":
            yield start, match.start(), colon
            start, colon = match.end(), None
        elif depth == 1 and token == b":" and colon is None:
            colon = match.start()
    raise MalformedDocumentError("the document is truncated")


def _check_bounds(value):
    level = [value]
    for _ in range(MAX_DEPTH):
        if not level:
            return
        children = []
        for each in level:
            _collect_children(each, children)
        level = children
    if level:
        raise MalformedDocumentError("nested too deep")


def _collect_children(value, children):
    if isinstance(value, str):
        return
    if isinstance(value, dict):
        children.extend(value.values())
    elif isinstance(value, list):
        children.extend(value)
    elif isinstance(value, float):
        if not math.isfinite(value):
            raise MalformedDocumentError("a number is not finite")
    elif isinstance(value, int) and not MIN_INTEGER <= value <= MAX_INTEGER:
        raise MalformedDocumentError("an integer has more than 64 bits")
