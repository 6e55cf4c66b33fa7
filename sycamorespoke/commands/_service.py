"""Commands that take data centres and upstreams out of service and back."""

from cleo import helpers

from sycamorespoke import clients, decisions, domain, rules
from sycamorespoke.commands import _base, _exit_codes, _in_force, _publish

ExitCode = _exit_codes.ExitCode
NAME = helpers.argument("name", "Name.")
FORCE = helpers.option(
    "force", None, "Allow an unknown name, and taking the last one out of service."
)


class _SetServiceCommand(_base.OperatorCommand):
    kind = None
    is_out = False
    arguments = [NAME]
    options = [FORCE, _base.NO_WAIT]

    def run_with(self, context):
        """Run the command; see `OperatorCommand.run_with`."""
        name = self.argument("name")
        publisher = _publish.Publisher(context.platform, context.clock)
        if not self.option("force"):
            reason = self._find_refusal_reason(context, publisher, name)
            if isinstance(reason, clients.Unavailable):
                return self.refuse_unavailable(reason.reason)
            if reason:
                return self.refuse(f"nothing was applied: {reason}")
        outcome = publisher.publish(
            _publish.SERVICE_STATE,
            decisions.SetOutOfService(self.kind, name, self.is_out),
            context.author,
            context.make_writer_token(),
        )
        return self.report_outcome(
            context, _publish.SERVICE_STATE, outcome, _describe_change
        )

    def _find_refusal_reason(self, context, publisher, name):
        current = publisher.read(_publish.SERVICE_STATE)
        if isinstance(current, _publish.NothingApplied):
            return clients.Unavailable(current.reason)
        out = list_out_of_service(current[0], self.kind)
        if not self.is_out and name in out:
            return ""
        known = list_known(context, publisher, self.kind)
        if isinstance(known, clients.Unavailable):
            return known
        if name not in known:
            listed = ", ".join(sorted(known)) or "none"
            return (
                f"there is no {self.kind.value} {name}, known: {listed}; "
                "use one of these names or add --force"
            )
        if self.is_out and not known - out - {name}:
            return (
                f"{name} is the last {self.kind.value} in service; take another "
                "one back into service first, or add --force"
            )
        return ""


class _ListServiceCommand(_base.OperatorCommand):
    kind = None

    def run_with(self, context):
        """Run the command; see `OperatorCommand.run_with`."""
        publisher = _publish.Publisher(context.platform, context.clock)
        current = publisher.read(_publish.SERVICE_STATE)
        if isinstance(current, _publish.NothingApplied):
            return self.refuse_unavailable(current.reason)
        known = list_known(context, publisher, self.kind)
        if isinstance(known, clients.Unavailable):
            return self.refuse_unavailable(known.reason)
        stored, _ = current
        out = list_out_of_service(stored, self.kind)
        items = [
            {"name": name, "out": name in out, "known": name in known}
            for name in sorted(known | out)
        ]
        self.print_json({"revision": stored.revision, "items": items})
        for item in items:
            state = "out" if item["out"] else "in"
            suffix = "" if item["known"] else " (unknown)"
            self.print_text(f"{item['name']} {state}{suffix}")
        return int(ExitCode.DONE)


class DataCentreOut(_SetServiceCommand):
    """Takes a data centre out of service."""

    name = "data-centre out"
    description = "Take a data centre out of service; running requests finish."
    kind = decisions.ResourceKind.DATA_CENTRE
    is_out = True


class DataCentreIn(_SetServiceCommand):
    """Takes a data centre back into service."""

    name = "data-centre in"
    description = "Take a data centre back into service."
    kind = decisions.ResourceKind.DATA_CENTRE


class DataCentreList(_ListServiceCommand):
    """Lists the data centres."""

    name = "data-centre list"
    description = "List the data centres and whether they are out of service."
    kind = decisions.ResourceKind.DATA_CENTRE


class UpstreamOut(_SetServiceCommand):
    """Takes an upstream out of service."""

    name = "upstream out"
    description = "Take an upstream out of service; running requests finish."
    kind = decisions.ResourceKind.UPSTREAM
    is_out = True


class UpstreamIn(_SetServiceCommand):
    """Takes an upstream back into service."""

    name = "upstream in"
    description = "Take an upstream back into service."
    kind = decisions.ResourceKind.UPSTREAM


class UpstreamList(_ListServiceCommand):
    """Lists the upstreams."""

    name = "upstream list"
    description = "List the upstreams and whether they are out of service."
    kind = decisions.ResourceKind.UPSTREAM


def list_out_of_service(stored, kind):
    """Return the names of the data centres or upstreams that are out of service.

    Parameters
    ----------
    stored : StoredServiceState
        The service state.
    kind : decisions.ResourceKind
        Data centres or upstreams.

    Returns
    -------
    frozenset of str
        Names.
    """
    if kind is decisions.ResourceKind.DATA_CENTRE:
        return stored.data_centres_out
    return stored.upstreams_out


def list_known(context, publisher, kind):
    """Return the names of the known data centres or upstreams.

    Parameters
    ----------
    context : Context
        Holds the platform.
    publisher : Publisher
        Reads the rules.
    kind : decisions.ResourceKind
        Data centres, which come from the rules and the list of hosts, or
        upstreams, which come from the list of hosts.

    Returns
    -------
    set of str or clients.Unavailable
        Names.
    """
    hosts = _in_force.list_hosts(context)
    if isinstance(hosts, clients.Unavailable):
        return hosts
    if kind is decisions.ResourceKind.UPSTREAM:
        return {host.name for host in hosts.select(domain.HostRole.UPSTREAM)}
    names = {host.data_centre for host in hosts.by_name.values()}
    current = publisher.read(_publish.RULES)
    if isinstance(current, _publish.NothingApplied):
        return clients.Unavailable(current.reason)
    configuration = rules.parse(current[0].text)
    if isinstance(configuration, domain.Configuration):
        names |= set(configuration.data_centres_by_name)
    return names


def _describe_change(before, found):
    changes = [
        f"revision {record.revision} of {record.author}: {record.change}"
        for record in found.recent
        if record.revision > before.revision
    ]
    return "\n".join(changes) or "the changes are not recorded"
