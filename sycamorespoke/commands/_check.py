"""Command that checks a rules file beyond its faults."""

import time

from cleo import helpers

from sycamorespoke import checks, rules
from sycamorespoke.commands import _base, _rules_file

FORMATS = ("text", "json")


class Check(_base.OperatorCommand):
    """Checks a rules file before it is applied; does not read from the platform.

    Its exit codes are those of `checks.ExitStatus`.
    """

    name = "check"
    description = "Print faults of a rules file, and what its author can't have meant."
    arguments = [helpers.argument("file", "Path of the rules file.")]
    options = [
        helpers.option(
            "against", None, "Rules file in force; list what differs.", flag=False
        ),
        helpers.option("format", None, "text or json.", flag=False, default="text"),
    ]

    def handle(self):
        """Run the command.

        Returns
        -------
        int
            Exit code.
        """
        if self.option("format") not in FORMATS:
            return self._refuse_file("--format takes text or json")
        report = self._make_report(time.time())
        if isinstance(report, _rules_file.Unreadable):
            return self._refuse_file(report.reason)
        is_json = self.option("json") or self.option("format") == "json"
        self.print_always(report.format_json() if is_json else report.format_text())
        has_findings = bool(report.findings)
        status = checks.ExitStatus.FINDINGS if has_findings else checks.ExitStatus.CLEAN
        return int(status)

    def _make_report(self, wall_now):
        read = _rules_file.read(self.argument("file"))
        if isinstance(read, _rules_file.Unreadable):
            return read
        if isinstance(read, rules.Faults):
            return checks.Report(tuple(map(_describe_fault, read.items)))
        findings = checks.find_rules_findings(read.configuration, wall_now)
        if not self.option("against"):
            return checks.Report(tuple(findings))
        in_force = _rules_file.read(self.option("against"))
        if isinstance(in_force, rules.Faults):
            return _rules_file.Unreadable(f"the rules in force have faults: {in_force}")
        if isinstance(in_force, _rules_file.Unreadable):
            return in_force
        differences = checks.list_differences(
            in_force.configuration, read.configuration
        )
        return checks.Report(tuple(findings), tuple(differences))

    def _refuse_file(self, reason):
        self.print_error(reason)
        return int(checks.ExitStatus.UNREADABLE)


def _describe_fault(fault):
    return checks.Finding(
        checks.FindingKind.MALFORMED,
        f"{fault.file}:{fault.line}:{fault.column}",
        f"{fault.cause}; {fault.mend}",
    )
