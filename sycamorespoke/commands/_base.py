"""Base class of the commands: shared options, output and outcomes."""

import json
import os

from cleo import helpers
from cleo.commands import command
from cleo.io.outputs import output

from sycamorespoke import clients
from sycamorespoke.commands import (
    _context,
    _descriptions,
    _exit_codes,
    _in_force,
    _publish,
)

ExitCode = _exit_codes.ExitCode
NO_WAIT = helpers.option(
    "no-wait", None, "Exit once the change is committed; do not wait for the hosts."
)


class OperatorCommand(command.Command):
    """Base class of the commands.

    Parameters
    ----------
    make_context : callable
        Takes the path of the settings, the platform's URL and the environment
        variables; returns a `Context` or `NoContext`.
    """

    def __init__(self, make_context=_context.make_context):
        self.make_context = make_context
        super().__init__()

    def handle(self):
        """Run the command.

        Returns
        -------
        int
            Exit code.
        """
        context = self.make_context(
            self.option("settings"), self.option("platform"), os.environ
        )
        if isinstance(context, _context.NoContext):
            return self.refuse(context.reason)
        try:
            return self.run_with(context)
        except KeyboardInterrupt:
            # Cleo would exit with 1, which means that nothing was applied.
            self.print_error(
                "interrupted; run `status` to see whether the change was applied"
            )
            return int(ExitCode.INTERRUPTED)

    def run_with(self, context):
        """Run the command in a context.

        Parameters
        ----------
        context : Context
            Platform, operator and clock.

        Returns
        -------
        int
            Exit code.
        """
        raise NotImplementedError

    def print_text(self, text):
        """Print text unless ``--json`` is given.

        Parameters
        ----------
        text : str
            Text; cleo markup is not interpreted.
        """
        if not self.option("json"):
            self.print_always(text)

    def print_always(self, text):
        """Print text, even if ``--json`` is given.

        Parameters
        ----------
        text : str
            Text; cleo markup is not interpreted.
        """
        self.io.write_line(text, type=output.Type.RAW)

    def print_error(self, text):
        """Print text to the standard error stream.

        Parameters
        ----------
        text : str
            Text; cleo markup is not interpreted.
        """
        self.io.write_error_line(text, type=output.Type.RAW)

    def print_json(self, value):
        """Print a JSON value if ``--json`` is given.

        Parameters
        ----------
        value : object
            Value that `json` can encode.
        """
        if self.option("json"):
            text = json.dumps(value, ensure_ascii=False, indent=2)
            self.print_always(text)

    def refuse(self, reason, code=ExitCode.REFUSED):
        """Print why the command was refused.

        Parameters
        ----------
        reason : str
            Cause and remedy.
        code : ExitCode, default=ExitCode.REFUSED
            Exit code.

        Returns
        -------
        int
            ``code`` as an int.
        """
        self.print_json({"outcome": code.name.lower(), "reason": reason})
        self.print_error(reason)
        return int(code)

    def refuse_unavailable(self, reason):
        """Print that the platform is unavailable and nothing was applied.

        Parameters
        ----------
        reason : str
            Cause of the failure.

        Returns
        -------
        int
            `ExitCode.PLATFORM_UNAVAILABLE` as an int.
        """
        text = (
            f"nothing was applied: {reason}; try again once the platform is available"
        )
        return self.refuse(text, ExitCode.PLATFORM_UNAVAILABLE)

    def report_outcome(self, context, name, outcome, describe_change):
        """Print the outcome of a publication and wait until it is in force.

        Parameters
        ----------
        context : Context
            Platform, operator and clock.
        name : str
            ``"rules"`` or ``"service-state"``.
        outcome : Committed, ConflictingChange, NothingApplied or OutcomeUnknown
            Outcome of `Publisher.publish`.
        describe_change : callable
            Takes two stored objects and returns a description of what changed
            between them.

        Returns
        -------
        int
            Exit code.
        """
        if isinstance(outcome, _publish.NothingApplied):
            return self.refuse_unavailable(outcome.reason)
        if isinstance(outcome, _publish.OutcomeUnknown):
            return self.refuse(
                f"the outcome is unknown: {outcome.reason}; run "
                "`sycamorespoke status` before you try again",
                ExitCode.OUTCOME_UNKNOWN,
            )
        if isinstance(outcome, _publish.ConflictingChange):
            text = _descriptions.describe_conflict(outcome, describe_change)
            return self.refuse(text, ExitCode.CONFLICT)
        return self._report_committed(context, name, outcome)

    def _report_committed(self, context, name, outcome):
        revision = outcome.value.revision
        self.print_text(f"{name}: revision {revision} is committed")
        if outcome.latest is not None:
            latest = outcome.latest.revision
            self.print_text(f"{name}: revision {latest} has since replaced it")
        if self.option("no-wait"):
            self.print_json({"outcome": "done", "revision": revision})
            return int(ExitCode.DONE)
        if not context.shared_key:
            return self._report_hosts_not_queried(revision, "no shared key is set")
        reports = _in_force.wait_until_in_force(
            context,
            name.replace("-", "_"),
            revision,
            lambda reports: self._show_progress(name, revision, reports),
        )
        if isinstance(reports, clients.Unavailable):
            return self._report_hosts_not_queried(revision, reports.reason)
        return self._report_hosts(name, revision, reports)

    def _show_progress(self, name, revision, reports):
        attribute = name.replace("-", "_")
        count = sum(report.has_revision(attribute, revision) for report in reports)
        self.print_text(f"{count} of {len(reports)} entry hosts have it in force")

    def _report_hosts_not_queried(self, revision, reason):
        code = ExitCode.NOT_IN_FORCE
        text = f"the change is committed; the hosts were not queried: {reason}"
        self.print_json({"outcome": code.name.lower(), "revision": revision})
        self.print_error(text)
        return int(code)

    def _report_hosts(self, name, revision, reports):
        attribute = name.replace("-", "_")
        behind = [
            report for report in reports if not report.has_revision(attribute, revision)
        ]
        code = ExitCode.NOT_IN_FORCE if behind else ExitCode.DONE
        self.print_json(
            {
                "outcome": code.name.lower(),
                "revision": revision,
                "in_force": [r.host.name for r in reports if r not in behind],
                "not_in_force": {
                    r.host.name: _descriptions.describe_lag(r, attribute)
                    for r in behind
                },
            }
        )
        for report in behind:
            why = _descriptions.describe_lag(report, attribute)
            self.print_error(f"{report.host.name} does not have it in force: {why}")
        if behind:
            self.print_error("the change stays committed; run `status` to check again")
        return int(code)
