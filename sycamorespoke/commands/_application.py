"""The program ``sycamorespoke``."""

import sys
import traceback

from cleo import application, exceptions, helpers
from cleo.io.inputs import definition

from sycamorespoke.commands import (
    _context,
    _exit_codes,
    _rules,
    _service,
    _status,
    _story,
)

ExitCode = _exit_codes.ExitCode
COMMANDS = (
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
        f"Settings file; default: the variable {_context.SETTINGS_VARIABLE}.",
        flag=False,
    ),
    helpers.option(
        "platform", None, "Base URL of the platform, before the settings'.", flag=False
    ),
    helpers.option("json", None, "Print JSON."),
)


class OperatorApplication(application.Application):
    """The operators' command line.

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
        With an exit code of docs/OPERATIONS.md.
    """
    sys.exit(run())


def run(arguments=None, make_context=_context.make_context, output=None, error=None):
    """Run the operators' command line and return its exit code.

    Parameters
    ----------
    arguments : list of str or None, default=None
        Words after the program's name; None for those of the process.
    make_context : callable
        Makes the context of a command.
    output, error : cleo.io.outputs.output.Output or None, default=None
        Take the output; None for the standard streams.

    Returns
    -------
    int
        Exit code.
    """
    words = sys.argv[1:] if arguments is None else arguments
    operators = OperatorApplication(make_context)
    argv = application.ArgvInput(["sycamorespoke", *words])
    try:
        return operators.run(argv, output, error)
    except exceptions.CleoError as fault:
        print(f"{fault}\nsee `sycamorespoke list`", file=sys.stderr)
        return int(ExitCode.USAGE)
    except Exception:
        # Any other code would say whether something was applied.
        traceback.print_exc()
        return int(ExitCode.INTERNAL)
