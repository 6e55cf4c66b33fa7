"""Conversion and validation of YAML scalars for the settings classes."""

import ipaddress
import re
import urllib.parse

import cattrs

from sycamorespoke.settings import _classes

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
SHARED_KEY_PATTERN = re.compile(r"[0-9a-fA-F]{64}")
MAX_AUTHOR_CHARACTERS = 64
MAX_THREADS = 1024
MAX_DRAIN_S = 3600.0
MAX_DURATION_S = 86400.0
MAX_NUMBER = 1e9
LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")


class InvalidValueError(ValueError):
    """Raised if the value of a setting is not valid.

    Parameters
    ----------
    cause : str
        Description of the fault; never contains the value.
    mend : str
        How to correct it.
    """

    def __init__(self, cause, mend):
        super().__init__(cause)
        self.cause = cause
        self.mend = mend


def make_converter():
    """Make the converter from a mapping to a settings class.

    Returns
    -------
    cattrs.Converter
        Converter that rejects unknown keys and collects all faults of an object.
    """
    converter = cattrs.Converter(forbid_extra_keys=True, detailed_validation=True)
    hooks_by_type = {
        _classes.Name: _structure_name,
        _classes.Address: _structure_address,
        _classes.AddressList: _structure_addresses,
        _classes.BaseUrl: _structure_base_url,
        _classes.SharedKey: _structure_shared_key,
        _classes.Author: _structure_author,
        _classes.LogLevel: _structure_log_level,
        _classes.ThreadCount: _structure_threads,
        _classes.DrainSeconds: _structure_drain,
        _classes.Seconds: _structure_seconds,
        _classes.Number: _structure_number,
        _classes.Count: _structure_count,
    }
    for setting_type, hook in hooks_by_type.items():
        converter.register_structure_hook(setting_type, hook)
    return converter


def is_address(text):
    """Return whether a text consists of an IP address and a port.

    Parameters
    ----------
    text : str
        For example ``"127.0.0.1:8000"`` or ``"[::1]:8000"``.

    Returns
    -------
    bool
        True also for port 0.

    Examples
    --------
    >>> is_address("127.0.0.1:8000"), is_address("localhost:8000")
    (True, False)
    """
    host, _, port = text.rpartition(":")
    if re.fullmatch(r"[0-9]{1,5}", port) is None or int(port) > 65535:
        return False
    in_brackets = host.startswith("[") and host.endswith("]")
    try:
        address = ipaddress.ip_address(host[1:-1] if in_brackets else host)
    except ValueError:
        return False
    return (address.version == 6) == in_brackets


def _require_string(value, mend):
    if not isinstance(value, str):
        raise InvalidValueError("not a string", f"{mend}, in quotes")
    return value


def _structure_name(value, _):
    mend = "write 1 to 64 letters, digits, dots, dashes or underscores"
    if NAME_PATTERN.fullmatch(_require_string(value, mend)) is None:
        raise InvalidValueError("not a name", mend)
    return value


def _structure_address(value, _):
    mend = "write an IP address and a port, like 127.0.0.1:8000"
    if not is_address(_require_string(value, mend)):
        raise InvalidValueError("not an IP address and port", mend)
    return value


def _structure_addresses(value, _):
    mend = (
        "write IP addresses and ports separated by commas, "
        "like 127.0.0.1:1, 127.0.0.1:2"
    )
    addresses = tuple(part.strip() for part in _require_string(value, mend).split(","))
    if not all(is_address(address) for address in addresses):
        raise InvalidValueError("not IP addresses and ports", mend)
    return addresses


def _structure_base_url(value, _):
    mend = "write it like http://127.0.0.1:7000"
    scheme, separator, rest = _require_string(value, mend).partition("://")
    if scheme not in ("http", "https") or not separator or not is_address(rest):
        raise InvalidValueError("not a URL of an IP address and port", mend)
    return urllib.parse.urlunsplit((scheme, rest, "", "", ""))


def _structure_shared_key(value, _):
    mend = "write 64 hexadecimal digits, as `openssl rand -hex 32` prints them"
    if SHARED_KEY_PATTERN.fullmatch(_require_string(value, mend)) is None:
        raise InvalidValueError("not 64 hexadecimal digits", mend)
    return value.lower()


def _structure_author(value, _):
    mend = f"write a name of 1 to {MAX_AUTHOR_CHARACTERS} printable characters"
    text = _require_string(value, mend)
    if not text.strip() or len(text) > MAX_AUTHOR_CHARACTERS or not text.isprintable():
        raise InvalidValueError("not an author name", mend)
    return text


def _structure_log_level(value, _):
    mend = f"write one of {', '.join(LOG_LEVELS)}"
    if _require_string(value, mend) not in LOG_LEVELS:
        raise InvalidValueError("not a log level", mend)
    return value


def _structure_threads(value, _):
    mend = f"write a whole number, 1 to {MAX_THREADS}"
    if type(value) is not int:
        raise InvalidValueError("not a whole number", mend)
    if not 1 <= value <= MAX_THREADS:
        raise InvalidValueError("out of range", mend)
    return value


def _structure_drain(value, _):
    return _require_in_range(value, MAX_DRAIN_S, "a number of seconds")


def _structure_seconds(value, _):
    return _require_in_range(value, MAX_DURATION_S, "a number of seconds")


def _structure_number(value, _):
    return _require_in_range(value, MAX_NUMBER, "a number")


def _structure_count(value, _):
    if type(value) is not int:
        raise InvalidValueError("not a whole number", "write a whole number")
    _require_in_range(value, MAX_NUMBER, "a whole number")
    return value


def _require_in_range(value, maximum, description):
    mend = f"write {description}, 0 to {maximum:g}"
    if type(value) not in (int, float):
        raise InvalidValueError("not a number", mend)
    if not 0 <= value <= maximum:
        raise InvalidValueError("out of range", mend)
    return float(value)
