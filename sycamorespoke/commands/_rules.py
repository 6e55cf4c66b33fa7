"""Commands that check, apply and show rules."""

import difflib

from cleo import helpers

from sycamorespoke import clients, decisions, rules
from sycamorespoke.commands import (
    _base,
    _descriptions,
    _exit_codes,
    _publish,
    _rules_file,
)

ExitCode = _exit_codes.ExitCode
MAX_HISTORY_ENTRIES = 20
FILE = helpers.argument("file", "Path of the rules file.")


class RulesCheck(_base.OperatorCommand):
    """Checks a rules file without reading from the platform."""

    name = "rules check"
    description = "Check a rules file and print every fault."
    arguments = [FILE]

    def handle(self):
        """Run the command.

        Returns
        -------
        int
            Exit code.
        """
        text = _read_valid_rules(self)
        if text is None:
            return int(ExitCode.REFUSED)
        self.print_json({"outcome": "done", "faults": []})
        self.print_text(f"{self.argument('file')}: no fault")
        return int(ExitCode.DONE)


class RulesDiff(_base.OperatorCommand):
    """Shows what applying a rules file would change."""

    name = "rules diff"
    description = "Show what applying a rules file would change."
    arguments = [FILE]

    def run_with(self, context):
        """Run the command; see `OperatorCommand.run_with`."""
        text = _read_valid_rules(self)
        if text is None:
            return int(ExitCode.REFUSED)
        current = _publish.Publisher(context.platform, context.clock).read("rules")
        if isinstance(current, _publish.NothingApplied):
            return self.refuse_unavailable(current.reason)
        stored, _ = current
        lines = _diff(stored.text, text, stored.revision, self.argument("file"))
        self.print_json({"revision": stored.revision, "diff": lines})
        self.print_text(
            "\n".join(lines) or f"no change from revision {stored.revision}"
        )
        return int(ExitCode.DONE)


class RulesApply(_base.OperatorCommand):
    """Applies a rules file."""

    name = "rules apply"
    description = "Apply a rules file and wait until all entry hosts have it in force."
    arguments = [FILE]
    options = [
        helpers.option(
            "base",
            None,
            "Revision that you edited; refuse unless it is still the current one.",
            flag=False,
        ),
        _base.NO_WAIT,
    ]

    def run_with(self, context):
        """Run the command; see `OperatorCommand.run_with`."""
        base = self.option("base")
        if base is not None and not (base.isascii() and base.isdecimal()):
            return self.refuse("--base takes a revision number", ExitCode.USAGE)
        text = _read_valid_rules(self)
        if text is None:
            return int(ExitCode.REFUSED)
        publisher = _publish.Publisher(context.platform, context.clock)
        outcome = publisher.publish(
            _publish.RULES,
            decisions.PublishRules(text),
            context.author,
            context.make_writer_token(),
            None if base is None else int(base),
        )
        return self.report_outcome(context, _publish.RULES, outcome, _describe_change)


class RulesShow(_base.OperatorCommand):
    """Shows the current rules or an earlier revision."""

    name = "rules show"
    description = "Show the current rules or a revision of the history."
    arguments = [helpers.argument("revision", "Revision number.", optional=True)]
    options = [helpers.option("defaults", None, "Include values left at the default.")]

    def run_with(self, context):
        """Run the command; see `OperatorCommand.run_with`."""
        revision = self.argument("revision")
        publisher = _publish.Publisher(context.platform, context.clock)
        current = publisher.read(_publish.RULES)
        if isinstance(current, _publish.NothingApplied):
            return self.refuse_unavailable(current.reason)
        stored, _ = current
        if revision is not None and revision != str(stored.revision):
            stored = _read_history(context, revision)
        elif not stored.writer:
            stored = clients.Missing()
        if isinstance(stored, clients.Unavailable):
            return self.refuse_unavailable(stored.reason)
        if isinstance(stored, clients.Missing | decisions.Malformed):
            return self.refuse("there is no such revision; see `rules history`")
        text = stored.text
        if self.option("defaults"):
            text = _format_with_defaults(stored)
        self.print_json({**_descriptions.as_json(stored), "text": text})
        self.print_text(text.removesuffix("\n"))
        return int(ExitCode.DONE)


class RulesHistory(_base.OperatorCommand):
    """Lists the revisions of the rules."""

    name = "rules history"
    description = f"List the last {MAX_HISTORY_ENTRIES} revisions of the rules."

    def run_with(self, context):
        """Run the command; see `OperatorCommand.run_with`."""
        versions_by_name = context.platform.list(_publish.HISTORY_PREFIX)
        if isinstance(versions_by_name, clients.Unavailable):
            return self.refuse_unavailable(versions_by_name.reason)
        current = _publish.Publisher(context.platform, context.clock).read("rules")
        if isinstance(current, _publish.NothingApplied):
            return self.refuse_unavailable(current.reason)
        stored, _ = current
        entries = []
        for revision in _publish.list_revisions(versions_by_name)[
            -MAX_HISTORY_ENTRIES:
        ]:
            entry = _read_history(context, str(revision))
            if isinstance(entry, decisions.StoredRules):
                entries.append(entry)
        if stored.writer and stored.revision not in {e.revision for e in entries}:
            entries.append(stored)
        self.print_json([_descriptions.as_json(entry) for entry in entries])
        for entry in entries:
            self.print_text(_descriptions.describe_revision(entry))
        return int(ExitCode.DONE)


def _read_valid_rules(command):
    """Return the text of the rules file, or None after printing its faults."""
    result = _rules_file.read(command.argument("file"))
    if isinstance(result, _rules_file.Unreadable):
        command.refuse(result.reason)
        return None
    if isinstance(result, rules.Faults):
        _refuse_faults(command, result)
        return None
    return result.text


def _refuse_faults(command, faults):
    items = [
        {
            "file": fault.file,
            "line": fault.line,
            "column": fault.column,
            "cause": fault.cause,
            "mend": fault.mend,
        }
        for fault in faults.items
    ]
    command.print_json({"outcome": "refused", "faults": items})
    command.print_error(str(faults))
    command.print_error(f"faults: {len(items)}; nothing was applied")


def _format_with_defaults(stored):
    configuration = rules.parse(stored.text)
    if isinstance(configuration, rules.Faults):
        # Rules written for another release may not parse in this one.
        return stored.text
    reason = f"revision {stored.revision} with default values written out"
    return rules.format_rules(configuration, stored.author, reason)


def _read_history(context, revision):
    if not (revision.isascii() and revision.isdecimal()):
        return clients.Missing()
    return _publish.read_history(context.platform, int(revision))


def _diff(old, new, revision, path):
    return list(
        difflib.unified_diff(
            old.splitlines(),
            new.splitlines(),
            f"revision {revision}",
            path,
            lineterm="",
            n=0,
        )
    )


def _describe_change(before, found):
    if not before.text:
        return "run `rules show` to see the current rules"
    lines = _diff(
        before.text, found.text, before.revision, f"revision {found.revision}"
    )
    return "\n".join(lines) or "the text is the same"
