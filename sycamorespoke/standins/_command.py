"""The command ``sycamorespoke-standin``."""

import json
import logging
import sys

import attrs
import cleo.application
import cleo.commands.command
import cleo.helpers

from sycamorespoke.standins import (
    _engine,
    _engine_options,
    _platform,
    _server,
    _service,
    _store,
    _weights,
)

KINDS = {
    "platform": (_platform.PlatformStandin, _platform.PlatformOptions),
    "engine": (_engine.EngineStandin, _engine_options.EngineOptions),
    "service": (_service.ServiceStandin, _service.ServiceOptions),
    "weights": (_weights.WeightsStandin, _weights.WeightsOptions),
    "store": (_store.StoreStandin, _store.StoreOptions),
}

# cleo reserves "--version" for the version of the program.
OPTION_NAMES_BY_FIELD = {"version": "weight-version"}


class StandinCommand(cleo.commands.command.Command):
    """Serves one kind of stand-in until the process is ended.

    Parameters
    ----------
    kind : str
        A key of ``KINDS``.
    """

    def __init__(self, kind):
        self.kind = kind
        self.name = kind
        self.standin_class, self.options_class = KINDS[kind]
        self.description = f"Serve a stand-in for the {kind}."
        self.options = [
            cleo.helpers.option(
                "listen",
                None,
                "address to listen on",
                flag=False,
                default="127.0.0.1:0",
            ),
            cleo.helpers.option(
                "threads",
                None,
                "maximum concurrent requests",
                flag=False,
                default="200",
            ),
            *_make_options(self.options_class),
        ]
        self.help = self.standin_class.__doc__
        super().__init__()

    def handle(self):
        """Print the kind and address as a JSON line, then serve."""
        logging.getLogger("waitress").setLevel(logging.CRITICAL)
        standin = self.standin_class(self._read_options())
        server = _server.make_server(
            standin, self.option("listen"), int(self.option("threads"))
        )
        address = _server.format_address(server)
        print(json.dumps({"kind": self.kind, "address": address}), flush=True)
        server.run()
        return 0

    def _read_options(self):
        values = {}
        for field in attrs.fields(self.options_class):
            option = _get_option_name(field)
            if field.type is bool:
                values[field.name] = self.option(option)
            else:
                values[field.name] = field.type(self.option(option))
        return self.options_class(**values)


def main():
    """Run the command; the process exits with its status."""
    application = cleo.application.Application("sycamorespoke-standin")
    for kind in KINDS:
        application.add(StandinCommand(kind))
    sys.exit(application.run())


def _make_options(options_class):
    options = []
    for field in attrs.fields(options_class):
        name = _get_option_name(field)
        if field.type is bool:
            options.append(cleo.helpers.option(name, None, "", flag=True))
            continue
        options.append(
            cleo.helpers.option(name, None, "", flag=False, default=str(field.default))
        )
    options_by_name = {option.name: option for option in options}
    if "checks-fencing" in options_by_name:
        # Has no effect: it lets a deployment state that it relies on the default.
        options.append(cleo.helpers.option("ignores-fencing", None, "", flag=True))
    return options


def _get_option_name(field):
    return OPTION_NAMES_BY_FIELD.get(field.name, field.name.replace("_", "-"))
