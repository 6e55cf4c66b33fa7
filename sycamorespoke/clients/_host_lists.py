"""Host lists of the platform."""

import typing

import msgspec

from sycamorespoke import domain


def parse_host_list(value):
    """Parse the host list of the platform.

    Parameters
    ----------
    value : dict
        The JSON value, as in docs/PROTOCOLS.md.

    Returns
    -------
    domain.HostList
        The hosts by name. Hosts that cannot be parsed are skipped, so that a role
        unknown to this release does not hide the other hosts.

    Raises
    ------
    msgspec.ValidationError
        If the value is not a host list.
    """
    host_list = msgspec.convert(value, _HostList)
    hosts = [_parse_host(item) for item in host_list.hosts]
    return domain.HostList(
        host_list.revision, {host.name: host for host in hosts if host is not None}
    )


class _HostList(msgspec.Struct):
    revision: int
    hosts: list[typing.Any]


def _parse_host(item):
    if not isinstance(item, dict):
        return None
    present_fields = {key: value for key, value in item.items() if value is not None}
    try:
        return msgspec.convert(present_fields, domain.Host)
    except msgspec.ValidationError:
        return None
