"""The command that tells what became of one request."""

import json

from cleo import helpers
from cleo.commands import command

from sycamorespoke import telemetry
from sycamorespoke.commands import _exit_codes

ExitCode = _exit_codes.ExitCode


class Story(command.Command):
    """Prints the log lines that explain what became of a request.

    Parameters
    ----------
    make_context : callable
        Not used: the command reads files only.
    """

    name = "story"
    description = "Prints what became of a request, from log files of any hosts."
    arguments = [
        helpers.argument("request", "Id of the request."),
        helpers.argument("files", "Log files, one or more.", multiple=True),
    ]

    def __init__(self, make_context):
        super().__init__()

    def handle(self):
        """Run the command.

        Returns
        -------
        int
            Exit code; `ExitCode.USAGE` if a file cannot be read or no line
            concerns the request.
        """
        lines = []
        for path in self.argument("files"):
            try:
                with open(path, encoding="utf-8", errors="replace") as file:
                    lines.extend(filter(None, map(telemetry.parse_line, file)))
            except OSError as error:
                self.line_error(f"{path}: {error.strerror}; name a log file")
                return int(ExitCode.USAGE)
        story = telemetry.select_request_lines(lines, self.argument("request"))
        if not story:
            self.line_error(
                "no line concerns this request; plain successes are sampled, give"
                " the files of all hosts"
            )
            return int(ExitCode.USAGE)
        for line in story:
            self.line(_format(line))
        return int(ExitCode.DONE)


def _format(line):
    mark = "*" if line.request_id else " "
    fields = " ".join(f"{key}={json.dumps(text)}" for key, text in line.fields.items())
    return f"{mark} {line.at} {line.host}  {line.event}  {fields}"
