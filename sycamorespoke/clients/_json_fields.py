"""Reads fields of JSON objects that other programs wrote, and checks their values."""

import ipaddress
import re

# Largest number that a field may hold unless it names another bound.
MAX_NUMBER = 1e15
MAX_PORT = 65535
MAX_NAME_CHARACTERS = 256
_PORT = re.compile(r"[0-9]{1,5}")
_NAME = re.compile(r"[\x21-\x7e]+")


class MalformedFieldError(ValueError):
    """A field is missing, of the wrong type or invalid."""


def read_field(value, key, expected_type):
    """Return a field of a JSON object.

    Raises
    ------
    MalformedFieldError
        If the value is no object, or the field is missing or of another type.

    Examples
    --------
    >>> read_field({"a": 1}, "a", int)
    1
    >>> read_field({"a": True}, "a", int)
    Traceback (most recent call last):
    ...
    sycamorespoke.clients._json_fields.MalformedFieldError: a has the wrong type
    """
    check_type(value, dict, "entry")
    if key not in value:
        raise MalformedFieldError(f"{key} is missing")
    return check_type(value[key], expected_type, key)


def read_list(value, key):
    """Return a list of a JSON object; an empty one if it is missing or ``None``.

    Raises
    ------
    MalformedFieldError
        If the value is no object, or the field is no list.
    """
    check_type(value, dict, "entry")
    found = value.get(key)
    return [] if found is None else check_type(found, list, key)


def check_type(value, expected_type, key):
    """Return a value if it has the expected type; a boolean is no number.

    Raises
    ------
    MalformedFieldError
        If it has another type; the message names ``key``.
    """
    if value is None:
        raise MalformedFieldError(f"{key} is missing or cannot be read")
    is_boolean_number = expected_type is int and isinstance(value, bool)
    if not isinstance(value, expected_type) or is_boolean_number:
        raise MalformedFieldError(f"{key} has the wrong type")
    return value


def check_number(value, key, largest=MAX_NUMBER):
    """Return a value if it is a finite number of 0 or more.

    Parameters
    ----------
    value : object
        JSON value.
    key : str
        Name of the field.
    largest : float, default=MAX_NUMBER
        Largest number that is allowed.

    Raises
    ------
    MalformedFieldError
        If it is not; the message names ``key``.

    Examples
    --------
    >>> check_number(2.5, "a")
    2.5
    >>> check_number(70000, "port", largest=65535)
    Traceback (most recent call last):
    ...
    sycamorespoke.clients._json_fields.MalformedFieldError: port is above 65535
    """
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    # Comparisons with a value that is not a number are false.
    if not is_number or not value >= 0:
        raise MalformedFieldError(f"{key} is not a number of 0 or more")
    if value > largest:
        raise MalformedFieldError(f"{key} is above {largest:.15g}")
    return value


def check_name(value, key):
    """Return a value if it is a name that may stand in a header or path.

    Raises
    ------
    MalformedFieldError
        If it is empty, longer than `MAX_NAME_CHARACTERS`, or holds spaces or
        characters outside ASCII; the message names ``key``.
    """
    check_type(value, str, key)
    if len(value) > MAX_NAME_CHARACTERS or _NAME.fullmatch(value) is None:
        raise MalformedFieldError(f"{key} is no name")
    return value


def check_address(value, key):
    """Return a value if it is an IP address and a port.

    Raises
    ------
    MalformedFieldError
        If it is not, or the port is outside 1 to 65535; the message names ``key``.

    Examples
    --------
    >>> check_address("10.0.0.2:8080", "address")
    '10.0.0.2:8080'
    >>> check_address("10.0.0.2:70000", "at")
    Traceback (most recent call last):
    ...
    sycamorespoke.clients._json_fields.MalformedFieldError: at is not IP address:port
    """
    check_type(value, str, key)
    host, _, port = value.rpartition(":")
    is_port = _PORT.fullmatch(port) is not None and 0 < int(port) <= MAX_PORT
    if not is_port or not _is_ip_address(host):
        raise MalformedFieldError(f"{key} is not IP address:port")
    return value


def _is_ip_address(text):
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True
