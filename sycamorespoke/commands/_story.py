"""The command that prints the log lines of one request."""

import json

from cleo import helpers
from cleo.commands import command

from sycamorespoke import telemetry
from sycamorespoke.commands import _exit_codes

ExitCode = _exit_codes.ExitCode


class Story(command.Command):
    """Prints the log lines that explain the outcome of a request.

    Parameters
    ----------
    make_context : callable
        Ignored, since the command reads only files.
    """

    name = "story"
    description = "Print the log lines that explain the outcome of a request."
    arguments = [
        helpers.argument("request", "ID of the request."),
        helpers.argument("files", "Log files of any hosts.", multiple=True),
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
                self.line_error(f"{path}: {error.strerror}; give a log file")
                return int(ExitCode.USAGE)
        selected = telemetry.select_request_lines(lines, self.argument("request"))
        if not selected:
            self.line_error(
                "no log line concerns this request; successes are sampled, so give"
                " the files of all hosts"
            )
            return int(ExitCode.USAGE)
        for line in selected:
            self.line(_format(line))
        return int(ExitCode.DONE)


def _format(line):
    mark = "*" if line.request_id else " "
    fields = " ".join(f"{key}={json.dumps(text)}" for key, text in line.fields.items())
    return f"{mark} {line.at} {line.host}  {line.event}  {fields}"
