"""Report of a check, as text and as JSON."""

import json

import attrs

from sycamorespoke.checks import _differences, _findings, _gateway


@attrs.frozen
class Report:
    """What a check found.

    Parameters
    ----------
    findings : tuple of Finding
        Findings; empty for a clean configuration.
    differences : tuple of Difference or None, default=None
        Differences from the configuration in force; ``None`` without one.
    """

    findings: tuple[_findings.Finding, ...]
    differences: tuple[_differences.Difference, ...] | None = None

    def format_text(self):
        """Return the report as lines for operators."""
        lines = [str(finding) for finding in self.findings]
        lines.append(f"findings: {len(self.findings)}")
        if self.differences is not None:
            lines.extend(str(difference) for difference in self.differences)
            lines.append(f"differences: {len(self.differences)}")
        return "\n".join(lines)

    def format_json(self):
        """Return the report as a JSON object."""
        findings = [
            {
                "kind": finding.kind.value,
                "subject": finding.subject,
                "text": finding.text,
            }
            for finding in self.findings
        ]
        differences = None
        if self.differences is not None:
            differences = [attrs.asdict(each) for each in self.differences]
        value = {"findings": findings, "differences": differences}
        return json.dumps(value, ensure_ascii=False, indent=2)


def make_report(entries, reader, in_force=None):
    """Check a gateway's configuration.

    Parameters
    ----------
    entries : gateway.ConfigurationEntries
        Entries that could be parsed.
    reader : clients.EntryReader
        Reader of the entries. If it has problems, nothing else is checked: what is
        said of the rest may depend on them.
    in_force : gateway.ConfigurationEntries or None, default=None
        Entries of the configuration in force, if it is known.

    Returns
    -------
    Report
        Findings, and differences from the configuration in force.
    """
    misspelt = _list_problems(_findings.FindingKind.MISSPELT, reader.find_misspelt())
    if reader.problems:
        kind = _findings.FindingKind.MALFORMED
        return Report((*_list_problems(kind, reader.problems), *misspelt))
    findings = (*misspelt, *_gateway.find_gateway_findings(entries, in_force))
    if in_force is None:
        return Report(findings)
    return Report(findings, tuple(_differences.list_differences(in_force, entries)))


def _list_problems(kind, problems):
    return [
        _findings.Finding(kind, problem.path or "configuration", problem.cause)
        for problem in problems
    ]
