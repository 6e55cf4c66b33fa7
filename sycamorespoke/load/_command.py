"""The program ``sycamorespoke-load``."""

import json
import pathlib
import uuid

import attrs
from cleo import application, helpers
from cleo.commands import command

import sycamorespoke
from sycamorespoke.load import (
    _entries,
    _plot,
    _report,
    _run,
    _send,
    _workload,
    _yaml,
)

EXIT_CLEAN = 0
EXIT_LOST = 1
EXIT_USAGE = 2


class RunCommand(command.Command):
    """Runs a workload file against entry hosts and prints a report."""

    name = "run"
    description = "Run a workload file against entry hosts"
    arguments = [
        helpers.argument("workload", "Workload file"),
        helpers.argument(
            "entries", "Entry hosts, IP:PORT", optional=True, multiple=True
        ),
    ]
    options = [
        helpers.option("check", None, "Check the workload file and exit"),
        helpers.option(
            "counts", None, "URL of a plain service's counts", flag=False, multiple=True
        ),
        helpers.option(
            "stores",
            None,
            "URL of a block store host's counts",
            flag=False,
            multiple=True,
        ),
        helpers.option("report", None, "File for the JSON report", flag=False),
        helpers.option("plot", None, "File for the plot", flag=False),
    ]
    help = (
        "Exit status: 0 if no request was lost and no booking was wrong, "
        "1 if one was, 2 if the workload file or an argument is invalid."
    )

    def handle(self):
        """Run the command.

        Returns
        -------
        int
            Exit status.
        """
        workload = self._read_workload()
        if workload is None:
            return EXIT_USAGE
        if self.option("check"):
            self.line("no faults")
            return EXIT_CLEAN
        if not self.argument("entries"):
            self.line_error("no entry host given; add IP:PORT of at least one")
            return EXIT_USAGE
        return self._run(workload)

    def _read_workload(self):
        file = self.argument("workload")
        try:
            text = pathlib.Path(file).read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            self.line_error(f"{file}: {error}")
            return None
        workload, faults = read_workload(text, file)
        for fault in faults:
            self.line_error(str(fault))
        return workload

    def _run(self, workload):
        entries = _entries.EntryHosts(self.argument("entries"))
        sender = _send.Sender(workload, entries, run_id=uuid.uuid4().hex[:8])
        transferred_before_bytes = _run.read_transferred_bytes(self.option("stores"))
        entries.start()
        try:
            outcomes = _run.run_schedule(workload, sender, self.line)
        finally:
            entries.stop()
        bookings = None
        if self.option("counts"):
            runs_by_key = _run.read_counts(self.option("counts"))
            if isinstance(runs_by_key, _run.UnreadableCounts):
                self.line_error(f"cannot read counts: {runs_by_key.reason}")
                return EXIT_LOST
            bookings = _report.count_bookings(outcomes, sender, runs_by_key)
        link_bytes = self._count_link_bytes(transferred_before_bytes)
        report = _report.summarise(workload, outcomes, bookings, link_bytes)
        self.line(_report.format_table(report))
        self._write_files(report)
        return EXIT_CLEAN if report.is_clean() else EXIT_LOST

    def _count_link_bytes(self, transferred_before_bytes):
        if not self.option("stores"):
            return None
        transferred_bytes = _run.read_transferred_bytes(self.option("stores"))
        for each in (transferred_before_bytes, transferred_bytes):
            if isinstance(each, _run.UnreadableCounts):
                self.line_error(f"cannot read link use: {each.reason}")
                return None
        return transferred_bytes - transferred_before_bytes

    def _write_files(self, report):
        if self.option("report"):
            text = json.dumps(attrs.asdict(report), indent=1)
            pathlib.Path(self.option("report")).write_text(text, encoding="utf-8")
        if self.option("plot"):
            try:
                _plot.plot_report(report, self.option("plot"))
            except ImportError:
                self.line_error("cannot plot: install requirements-plot.txt first")


def read_workload(text, file):
    r"""Parse the text of a workload file.

    Parameters
    ----------
    text : str
        Content of the file, YAML.
    file : str
        Name of the file, used in the faults.

    Returns
    -------
    tuple of (Workload or None, list of Fault)
        The workload and no faults, or ``None`` and every fault.

    Examples
    --------
    >>> _, faults = read_workload("name: demo\nseed: -1", "demo.yaml")
    >>> for fault in faults:
    ...     print(fault)
    demo.yaml:1: accounts: missing; add the key accounts
    demo.yaml:1: duration_s: missing; add the key duration_s
    demo.yaml:2: seed: -1 is out of range; use a number from 0 to 9.22337e+18
    """
    return _yaml.parse_yaml(text, file, _workload.Workload)


def main():
    """Run the program ``sycamorespoke-load``."""
    program = application.Application("sycamorespoke-load", sycamorespoke.__version__)
    program.add(RunCommand())
    program.run()
