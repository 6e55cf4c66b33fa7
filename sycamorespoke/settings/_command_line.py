"""The command line that the daemons share."""

import argparse
import sys

import attrs

from sycamorespoke.settings import _faults, _load

EXIT_VALID = 0
EXIT_INVALID = 1


@attrs.frozen
class Exit:
    """Sentinel: the program ends without starting.

    Parameters
    ----------
    status : int
        0 when the settings were only checked, 1 when they are wrong.
    """

    status: int


def read_command_line(program, settings_class, arguments=None):
    """Read ``--settings FILE`` and ``--check``, and load the settings.

    Parameters
    ----------
    program : str
        Name of the program.
    settings_class : type
        Class of its settings.
    arguments : list of str or None, default=None
        Command line without the program's name; ``None`` is the process's own.

    Returns
    -------
    object or Exit
        The checked settings, or that the program ends here; what is wrong has
        been printed.
    """
    parser = argparse.ArgumentParser(prog=program)
    parser.add_argument("--settings", required=True, help="YAML settings file")
    parser.add_argument("--check", action="store_true", help="check them and exit")
    options = parser.parse_args(arguments)
    result = _load.load(options.settings, settings_class)
    if isinstance(result, _faults.Faults):
        print(result, file=sys.stderr)
        return Exit(EXIT_INVALID)
    if options.check:
        print(f"{options.settings}: the settings are valid")
        return Exit(EXIT_VALID)
    return result
