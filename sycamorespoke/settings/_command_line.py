"""Command line shared by the daemons."""

import argparse
import sys

import attrs

from sycamorespoke.settings import _faults, _load

EXIT_VALID = 0
EXIT_INVALID = 1


@attrs.frozen
class Exit:
    """Sentinel for a program that must exit instead of starting.

    Parameters
    ----------
    status : int
        Exit status: 0 if the settings are valid and were only checked, 1 if they
        are not valid.
    """

    status: int


def read_command_line(program, settings_class, arguments=None):
    """Parse ``--settings FILE`` and ``--check``, and load the settings.

    Faults of the settings, and the result of ``--check``, are printed.

    Parameters
    ----------
    program : str
        Name of the program.
    settings_class : type
        Settings class of the program.
    arguments : list of str or None, default=None
        Arguments without the program name; ``None`` for those of the process.

    Returns
    -------
    object or Exit
        The settings, or the status with which the program must exit.
    """
    parser = argparse.ArgumentParser(prog=program)
    parser.add_argument("--settings", required=True, help="YAML settings file")
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    options = parser.parse_args(arguments)
    result = _load.load(options.settings, settings_class)
    if isinstance(result, _faults.Faults):
        print(result, file=sys.stderr)
        return Exit(EXIT_INVALID)
    if options.check:
        print(f"{options.settings}: the settings are valid")
        return Exit(EXIT_VALID)
    return result
