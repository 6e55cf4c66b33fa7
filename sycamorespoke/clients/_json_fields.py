"""Reads fields of JSON objects that other programs wrote, and checks their types."""


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


def check_type(value, expected_type, key):
    """Return a value if it has the expected type; a boolean is no number.

    Raises
    ------
    MalformedFieldError
        If it has another type; the message names ``key``.
    """
    is_boolean_number = expected_type is int and isinstance(value, bool)
    if not isinstance(value, expected_type) or is_boolean_number:
        raise MalformedFieldError(f"{key} has the wrong type")
    return value


def check_number(value, key):
    """Return a value if it is a number of 0 or more.

    Raises
    ------
    MalformedFieldError
        If it is not; the message names ``key``.
    """
    if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
        raise MalformedFieldError(f"{key} is not a number of 0 or more")
    return value
