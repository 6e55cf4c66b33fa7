"""Application of the program ``sycamorespoke``."""

import sys
import traceback

from cleo import application, exceptions, helpers
from cleo.io.inputs import definition

from sycamorespoke.commands import (
    _check,
    _context,
    _exit_codes,
    _rules,
    _service,
    _status,
    _story,
)

ExitCode = _exit_codes.ExitCode
COMMANDS = (
    _check.Check,
    _rules.RulesCheck,
    _rules.RulesDiff,
    _rules.RulesApply,
    _rules.RulesShow,
    _rules.RulesHistory,
    _service.DataCentreOut,
    _service.DataCentreIn,
    _service.DataCentreList,
    _service.UpstreamOut,
    _service.UpstreamIn,
    _service.UpstreamList,
    _status.Status,
    _status.Dump,
    _story.Story,
)
OPTIONS = (
    helpers.option(
        "settings",
        None,
        "Settings file; default: the environment variable "
        f"{_context.SETTINGS_VARIABLE}.",
        flag=False,
    ),
    helpers.option(
        "platform",
        None,
        "Base URL of the platform; overrides the settings.",
        flag=False,
    ),
    helpers.option("json", None, "Print JSON."),
)


class OperatorApplication(application.Application):
    """Cleo application with the operators' commands.

    Parameters
    ----------
    make_context : callable, default=make_context
        Makes the context of a command.
    """

    def __init__(self, make_context=_context.make_context):
        super().__init__("sycamorespoke")
        self.auto_exits(False)
        self.catch_exceptions(False)
        for command in COMMANDS:
            self.add(command(make_context))

    @property
    def _default_definition(self):
        default = super()._default_definition
        return definition.Definition(
            [*default.arguments, *default.options, *OPTIONS],
        )


def main():
    """Run the operators' command line.

    Raises
    ------
    SystemExit
        With one of the exit codes of docs/OPERATIONS.md.
    """
    sys.exit(run())


def run(arguments=None, make_context=_context.make_context, output=None, error=None):
    """Run the operators' command line and return its exit code.

    Parameters
    ----------
    arguments : list of str or None, default=None
        Arguments after the program's name; None for those of the process.
    make_context : callable
        Makes the context of a command.
    output, error : cleo.io.outputs.output.Output or None, default=None
        Where output and errors are written; None for the standard streams.

    Returns
    -------
    int
        Exit code.
    """
    words = sys.argv[1:] if arguments is None else arguments
    program = OperatorApplication(make_context)
    argv = application.ArgvInput(["sycamorespoke", *words])
    try:
        return program.run(argv, output, error)
    except exceptions.CleoError as fault:
        print(f"{fault}\nsee `sycamorespoke list`", file=sys.stderr)
        return int(ExitCode.USAGE)
    except Exception:
        # Every other exit code tells whether the change was applied, which is
        # not known here.
        traceback.print_exc()
        return int(ExitCode.INTERNAL)
