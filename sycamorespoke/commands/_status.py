"""Commands that show the state of the running system."""

import json

from cleo import helpers

from sycamorespoke import clients, domain, messages, settings
from sycamorespoke.commands import (
    _base,
    _descriptions,
    _exit_codes,
    _in_force,
    _publish,
)

ExitCode = _exit_codes.ExitCode
DUMP_TIMEOUT_S = 3.0


class Status(_base.OperatorCommand):
    """Shows the current revisions and those in force at each entry host."""

    name = "status"
    description = (
        "Show the current revisions, what is out of service, and what each entry "
        "host has in force."
    )

    def run_with(self, context):
        """Run the command; see `OperatorCommand.run_with`."""
        publisher = _publish.Publisher(context.platform, context.clock)
        stored_by_name = {}
        for name in (_publish.RULES, _publish.SERVICE_STATE):
            current = publisher.read(name)
            if isinstance(current, _publish.NothingApplied):
                return self.refuse_unavailable(current.reason)
            stored_by_name[name] = current[0]
        reports = []
        if context.shared_key:
            reports = _in_force.query_hosts(context)
        if isinstance(reports, clients.Unavailable):
            return self.refuse_unavailable(reports.reason)
        self._show(stored_by_name, reports)
        if not context.shared_key:
            self.print_error("the hosts were not queried: no shared key is set")
            return int(ExitCode.NOT_IN_FORCE)
        behind = [r for r in reports if not _is_current(r, stored_by_name)]
        return int(ExitCode.NOT_IN_FORCE if behind else ExitCode.DONE)

    def _show(self, stored_by_name, reports):
        rules = stored_by_name[_publish.RULES]
        state = stored_by_name[_publish.SERVICE_STATE]
        hosts = [_host_as_json(report, stored_by_name) for report in reports]
        self.print_json(
            {
                "rules": _descriptions.as_json(rules),
                "service_state": _descriptions.as_json(state),
                "hosts": hosts,
            }
        )
        self.print_text(f"rules: {_descriptions.describe_revision(rules)}")
        self.print_text(f"service state: {_descriptions.describe_revision(state)}")
        self.print_text(f"data centres out: {_join(state.data_centres_out)}")
        self.print_text(f"upstreams out: {_join(state.upstreams_out)}")
        for report in reports:
            self.print_text(_describe_host(report, stored_by_name))


class Dump(_base.OperatorCommand):
    """Prints the state of an entry host's process."""

    name = "dump"
    description = "Print the state of an entry host's process as JSON."
    arguments = [helpers.argument("host", "Name or peer address, IP:port.")]

    def run_with(self, context):
        """Run the command; see `OperatorCommand.run_with`."""
        if not context.shared_key:
            return self.refuse("no shared key is set; use --settings FILE")
        host = self.argument("host")
        address = host if settings.is_address(host) else _find_address(context, host)
        if isinstance(address, clients.Unavailable):
            reason = f"{address.reason}; use the host's peer address instead"
            return self.refuse(reason, ExitCode.PLATFORM_UNAVAILABLE)
        if not address:
            return self.refuse(f"there is no entry host {host}; see `status`")
        request = messages.DumpRequest()
        reply = context.send_request(
            address, context.shared_key, request, DUMP_TIMEOUT_S
        )
        if not isinstance(reply, messages.DumpReply):
            reason = getattr(reply, "reason", "unexpected reply")
            return self.refuse(f"{host} does not reply: {reason}; see `status`")
        text = json.dumps(reply.state, ensure_ascii=False, indent=2, sort_keys=True)
        self.print_always(text)
        return int(ExitCode.DONE)


def _find_address(context, name):
    hosts = _in_force.list_hosts(context)
    if isinstance(hosts, clients.Unavailable):
        return hosts
    host = hosts.by_name.get(name)
    if host is None or host.role is not domain.HostRole.ENTRY:
        return ""
    return host.peer_address


def _is_current(report, stored_by_name):
    return all(
        report.has_revision(name.replace("-", "_"), stored.revision)
        for name, stored in stored_by_name.items()
    )


def _host_as_json(report, stored_by_name):
    value = {
        "host": report.host.name,
        "data_centre": report.host.data_centre,
        "current": _is_current(report, stored_by_name),
        "reason": report.reason,
    }
    if report.reply is not None:
        value["ready"] = report.reply.ready
        value["rules"] = report.reply.rules
        value["service_state"] = report.reply.service_state
        value["hosts"] = report.reply.hosts
    return value


def _describe_host(report, stored_by_name):
    label = f"{report.host.name} ({report.host.data_centre})"
    if report.reply is None:
        return f"{label}: no reply: {report.reason}"
    ready = "ready" if report.reply.ready else "not ready"
    current = "current" if _is_current(report, stored_by_name) else "behind"
    return (
        f"{label}: {ready}, {current}, rules {report.reply.rules}, "
        f"service state {report.reply.service_state}"
    )


def _join(names):
    return ", ".join(sorted(names)) or "none"
