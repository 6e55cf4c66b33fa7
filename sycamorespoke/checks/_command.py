"""Command that checks the file of a gateway's configuration.

It uses the standard library alone, so that it also runs on hosts, where the libraries
of the operators' command line are not installed.
"""

import argparse
import enum
import pathlib
import sys

from sycamorespoke import clients, objects
from sycamorespoke.checks import _report

CLIENT_NAME = "check"


class ExitStatus(enum.IntEnum):
    """Exit status of the command."""

    CLEAN = 0
    FINDINGS = 1
    UNREADABLE = 2


class UnreadableError(Exception):
    """A configuration cannot be read; the message says which and why."""


def run_command(arguments, parse, make_deployment, output=None, error=None):
    """Check a configuration and print the report.

    Parameters
    ----------
    arguments : sequence of str
        Arguments of the command, ``check`` first.
    parse : callable
        Takes a JSON value; returns `gateway.ConfigurationEntries` and the
        `clients.EntryReader` that read them, or raises `clients.MalformedFieldError`.
    make_deployment : callable
        Takes a name and the address of a platform's store; returns the
        `gateway.Deployment` to read the configuration in force from.
    output, error : file object or None, default=None
        Where the report and errors are printed; ``None`` for the standard streams.

    Returns
    -------
    int
        `ExitStatus`.

    Raises
    ------
    SystemExit
        With status 2, for arguments that cannot be used.
    """
    options = _make_parser().parse_args(arguments)
    try:
        entries, reader = _read_file(options.file, parse)
        in_force = _read_in_force(options, parse, make_deployment)
    except UnreadableError as reason:
        print(reason, file=error or sys.stderr)
        return int(ExitStatus.UNREADABLE)
    report = _report.make_report(entries, reader, in_force)
    is_json = options.format == "json"
    text = report.format_json() if is_json else report.format_text()
    print(text, file=output or sys.stdout)
    return int(ExitStatus.FINDINGS if report.findings else ExitStatus.CLEAN)


def _make_parser():
    parser = argparse.ArgumentParser(prog="python3 -m sycamorespoke.platform")
    commands = parser.add_subparsers(required=True)
    check = commands.add_parser("check", help="check the file of a configuration")
    check.add_argument("file", metavar="FILE", help="the configuration, as JSON")
    against = check.add_mutually_exclusive_group()
    against.add_argument(
        "--against", metavar="FILE", help="file of the configuration in force"
    )
    against.add_argument(
        "--store",
        metavar="ADDRESS:PORT",
        help="read the configuration in force from the platform's store",
    )
    check.add_argument("--format", choices=("text", "json"), default="text")
    return parser


def _read_file(path, parse):
    try:
        data = pathlib.Path(path).read_bytes()
    except OSError as error:
        raise UnreadableError(
            f"{path} cannot be read: {error.strerror}; give the path of a configuration"
        ) from error
    try:
        return parse(clients.decode_document(data))
    except (clients.MalformedDocumentError, clients.MalformedFieldError) as error:
        raise UnreadableError(f"{path} is no configuration: {error}") from error


def _read_in_force(options, parse, make_deployment):
    """Return the entries in force; ``None`` if nobody asked for them."""
    if options.against is not None:
        source = options.against
        entries, reader = _read_file(source, parse)
    elif options.store is not None:
        source = f"the store at {options.store}"
        entries, reader = _read_store(options.store, parse, make_deployment)
    else:
        return None
    if reader.problems:
        raise UnreadableError(
            f"{source} holds no valid configuration: {reader.problems[0]}"
        )
    return entries


def _read_store(address, parse, make_deployment):
    try:
        clients.check_address(address, "--store")
        deployment = make_deployment(CLIENT_NAME, address)
        listing = deployment.source.list(deployment.kinds.configuration.name)
        if isinstance(listing, objects.Unavailable):
            raise UnreadableError(f"{address} cannot be read: {listing.reason}")
        if len(listing.values) != 1:
            raise UnreadableError(
                f"{address} holds {len(listing.values)} configurations, not one"
            )
        return parse(listing.values[0])
    except clients.MalformedFieldError as error:
        raise UnreadableError(f"{address}: {error}") from error
