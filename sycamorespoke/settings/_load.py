"""Loading of settings files."""

import difflib

import attrs
import cattrs

from sycamorespoke.settings import _faults, _values, _yaml


def load(path, settings_class):
    """Load the settings of a program from a file.

    Parameters
    ----------
    path : str or pathlib.Path
        Path of the YAML file.
    settings_class : type
        `EntrySettings`, `GatewaySettings`, `StewardSettings` or
        `OperatorSettings`.

    Returns
    -------
    object of settings_class or Faults
        The settings, or all faults of the file if there are any.
    """
    mend = "use a readable UTF-8 text file"
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except OSError as error:
        return _reject_file(path, f"cannot be read: {error.strerror}", mend)
    except ValueError:
        return _reject_file(path, "is not UTF-8 text", mend)
    return parse(text, settings_class, str(path))


def parse(text, settings_class, file="<settings>"):
    """Parse the text of a settings file.

    Parameters
    ----------
    text : str
        Content of the file.
    settings_class : type
        `EntrySettings`, `GatewaySettings`, `StewardSettings` or
        `OperatorSettings`.
    file : str, default="<settings>"
        Name of the file, for the faults.

    Returns
    -------
    object of settings_class or Faults
        The settings, or all faults of the text if there are any.

    Examples
    --------
    >>> from sycamorespoke import settings
    >>> print(parse("platform: here", settings.OperatorSettings))
    <settings>:1: author: is missing; add `author:`
    <settings>:1: platform: not a URL of an IP address and port; write it like \
http://127.0.0.1:7000
    <settings>:1: shared_key: is missing; add `shared_key:`
    """
    document = _yaml.read_document(text)
    faults = [
        _faults.Fault(file, problem.line, problem.key, problem.cause, problem.mend)
        for problem in document.problems
    ]
    is_malformed = any(not problem.key for problem in document.problems)
    if not is_malformed:
        settings = _structure(document, settings_class, file, faults)
        if not faults:
            return settings
    ordered = sorted(faults, key=lambda fault: (fault.line, fault.key))
    return _faults.Faults(tuple(ordered))


def _structure(document, settings_class, file, faults):
    converter = _values.make_converter()
    try:
        return converter.structure(document.values_by_key, settings_class)
    except cattrs.ClassValidationError as error:
        faults.extend(_make_faults(error, document, settings_class, file))
        return None


def _make_faults(error, document, settings_class, file):
    with_notes, without_notes = error.group_exceptions()
    for cause, note in with_notes:
        yield _make_fault(cause, note.name, document, file)
    for cause in without_notes:
        if not isinstance(cause, cattrs.ForbiddenExtraKeysError):
            yield _faults.Fault(
                file, 1, "", "cannot be parsed", "compare with an example"
            )
            continue
        for key in sorted(cause.extra_fields):
            yield _make_unknown_key_fault(key, document, settings_class, file)


def _make_fault(cause, key, document, file):
    line = document.lines_by_key.get(key, 1)
    if isinstance(cause, _values.InvalidValueError):
        return _faults.Fault(file, line, key, cause.cause, cause.mend)
    if isinstance(cause, KeyError):
        return _faults.Fault(file, line, key, "is missing", f"add `{key}:`")
    return _faults.Fault(file, line, key, "cannot be parsed", "compare with an example")


def _make_unknown_key_fault(key, document, settings_class, file):
    known = [field.name for field in attrs.fields(settings_class)]
    nearest = difflib.get_close_matches(key, known, 1)
    mend = f"write {nearest[0]}" if nearest else f"use {', '.join(known)}"
    shown = key[:40] if key.isprintable() else repr(key[:40])
    line = document.lines_by_key[key]
    return _faults.Fault(file, line, shown, "unknown key", mend)


def _reject_file(path, cause, mend):
    return _faults.Faults((_faults.Fault(str(path), 1, "", cause, mend),))
