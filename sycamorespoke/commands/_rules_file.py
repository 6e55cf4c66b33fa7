"""Reads rules files."""

import attrs

from sycamorespoke import domain, rules


@attrs.frozen
class RulesText:
    """A rules file without faults.

    Parameters
    ----------
    text : str
        Its text.
    configuration : domain.Configuration
        The configuration that it defines.
    """

    text: str
    configuration: domain.Configuration


@attrs.frozen
class Unreadable:
    """Sentinel for a file that cannot be read.

    Parameters
    ----------
    reason : str
        Cause and remedy.
    """

    reason: str


def read(path):
    """Read a rules file.

    Parameters
    ----------
    path : str
        Path of the file.

    Returns
    -------
    RulesText, rules.Faults or Unreadable
        The rules, all faults of them, or why the file cannot be read.
    """
    try:
        with open(path, encoding="utf-8", newline="") as file:
            text = file.read()
    except OSError as error:
        return Unreadable(
            f"{path} cannot be read: {error.strerror}; give the path of a rules file"
        )
    except ValueError:
        return Unreadable(f"{path} is not UTF-8 text; save it as UTF-8")
    configuration = rules.parse(text, path)
    if isinstance(configuration, rules.Faults):
        return configuration
    return RulesText(text, configuration)
