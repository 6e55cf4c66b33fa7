"""Context of a command: the platform, the operator and the clock."""

import getpass
import secrets
import typing

import attrs

from sycamorespoke import clients, messages, settings
from sycamorespoke.commands import _clock

SETTINGS_VARIABLE = "SYCAMORESPOKE_SETTINGS"
WRITER_TOKEN_BYTES = 16


def _make_writer_token():
    return secrets.token_hex(WRITER_TOKEN_BYTES)


def _send_request(address, shared_key, message, timeout_s):
    return messages.send_request(address, shared_key, message, timeout_s)


@attrs.frozen
class Context:
    """Dependencies of a command.

    Parameters
    ----------
    platform : clients.PlatformClient
        Client of the platform's object store and host list.
    shared_key : str
        Key that authenticates messages to hosts; if it is empty, no host is
        queried.
    author : str
        Name of the operator.
    clock : Clock
        Time functions.
    make_writer_token : callable
        Returns a unique token, which identifies the writer of a revision.
    send_request : callable
        Sends a message to a host and returns its reply, as
        ``messages.send_request`` does.
    """

    platform: typing.Any
    shared_key: str = attrs.field(repr=False)
    author: str
    clock: _clock.Clock = attrs.field(factory=_clock.Clock)
    make_writer_token: typing.Callable = _make_writer_token
    send_request: typing.Callable = _send_request


@attrs.frozen
class NoContext:
    """Sentinel: the settings of the command are missing or invalid.

    Parameters
    ----------
    reason : str
        Cause and remedy.
    """

    reason: str


def make_context(settings_path, platform_url, environ):
    """Make the context of a command.

    Parameters
    ----------
    settings_path : str or None
        Path of the settings file; None for the path in the environment variable
        ``SYCAMORESPOKE_SETTINGS``.
    platform_url : str or None
        Base URL of the platform, which overrides the settings.
    environ : dict of str to str
        Environment variables.

    Returns
    -------
    Context or NoContext
        `NoContext` if the settings are missing or invalid.
    """
    path = settings_path or environ.get(SETTINGS_VARIABLE)
    if path:
        loaded = settings.load(path, settings.OperatorSettings)
        if isinstance(loaded, settings.Faults):
            return NoContext(str(loaded))
        url = platform_url or loaded.platform
        client = clients.PlatformClient(url)
        return Context(client, loaded.shared_key, loaded.author)
    if not platform_url:
        return NoContext(
            "no settings given; use --settings FILE or "
            f"{SETTINGS_VARIABLE}, or --platform URL"
        )
    return Context(clients.PlatformClient(platform_url), "", _get_login_name())


def _get_login_name():
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"
