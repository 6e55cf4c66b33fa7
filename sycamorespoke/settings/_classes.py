"""Settings classes of the programs."""

import typing

import attrs

Name = typing.NewType("Name", str)
Address = typing.NewType("Address", str)
AddressList = typing.NewType("AddressList", tuple)
BaseUrl = typing.NewType("BaseUrl", str)
SharedKey = typing.NewType("SharedKey", str)
Author = typing.NewType("Author", str)
LogLevel = typing.NewType("LogLevel", str)
ThreadCount = typing.NewType("ThreadCount", int)
DrainSeconds = typing.NewType("DrainSeconds", float)
Seconds = typing.NewType("Seconds", float)
Number = typing.NewType("Number", float)
Count = typing.NewType("Count", int)


@attrs.frozen(kw_only=True)
class GatewaySettings:
    """Settings of the gateway, which selects routes by host name and path.

    Parameters
    ----------
    name : str
        Name of the host.
    data_centre : str
        Name of its data centre.
    listen : str
        IP address and port for requests of callers.
    ready_listen : str
        IP address and port for readiness checks of the load balancer.
    operators_listen : str
        IP address and port for operators; must not be reachable by callers.
    platform : str
        IP address and port of the platform's store.
    peer_ip : str
        IP address for messages between the system's own processes.
    peer_port : int
        Port for messages between the system's own processes, 1 to 65535.
    forward_port : int, default=0
        Port for requests that other hosts forward, at ``peer_ip``; 0 selects a free
        port.
    memory_mb : float, default=256.0
        Memory limit of the process, megabytes.
    files : int, default=1024
        Maximum number of open file descriptors.
    grace_s : float, default=8.0
        Maximum duration of a graceful shutdown, seconds.
    lease_ms : int, default=3000
        Lifetime of a lease after its renewal, milliseconds.
    version_ms : int, default=6000
        Time after a new target version from which no request may begin on older
        weights, milliseconds.
    retry_ratio : float, default=0.2
        Retries allowed per request, over all hosts.
    retry_slack : float, default=10.0
        Retries allowed per window in addition to ``retry_ratio``, over all hosts.
    retry_window_s : float, default=10.0
        Length of the window in which retries are limited, seconds.
    cold_tolerated : float, default=1.5
        Multiple of its request rate that a cold upstream sustains for one second.
    cold_slack : float, default=5.0
        Requests that a cold upstream sustains in one second in addition to
        ``cold_tolerated``.
    shared_load_hosts : int, default=0
        Number of entry hosts from which on they place requests by the wait that they
        expect together; 0 for never.
    canary_share : float, default=0.0
        Share of the requests of a service that a software version on trial may get
        from all hosts, 0 to 1; 0 if rollouts of software versions are not followed.
    canary_slack : float, default=0.0
        Requests that a version on trial may get in addition to ``canary_share``.
    rollback_ms : int, default=5000
        Time after a version has shown to be bad from which it may get no request,
        milliseconds, above 0.
    log_level : str, default="DEBUG"
        ``"DEBUG"`` also logs successful requests, up to a rate limit.
    """

    name: Name
    data_centre: Name
    listen: Address
    ready_listen: Address
    operators_listen: Address
    platform: Address
    peer_ip: str
    peer_port: Count
    forward_port: Count = 0
    memory_mb: Number = 256.0
    files: Count = 1024
    grace_s: Seconds = 8.0
    lease_ms: Count = 3000
    version_ms: Count = 6000
    retry_ratio: Number = 0.2
    retry_slack: Number = 10.0
    retry_window_s: Seconds = 10.0
    cold_tolerated: Number = 1.5
    cold_slack: Number = 5.0
    shared_load_hosts: Count = 0
    canary_share: Number = 0.0
    canary_slack: Number = 0.0
    rollback_ms: Count = 5000
    log_level: LogLevel = "DEBUG"


@attrs.frozen(kw_only=True)
class EntrySettings:
    """Settings of ``sycamorespoke-entry``.

    Parameters
    ----------
    name : str
        Name of the host in the platform's list.
    data_centre : str
        Name of its data centre.
    listen : str
        IP address and port for requests of callers, ``"127.0.0.1:8000"``; port 0
        selects a free port.
    operators_listen : str
        IP address and port for operators; must not be reachable by callers.
    peer_listen : str
        IP address and port for messages between the system's own processes.
    platform : str
        Base URL of the platform, ``"http://127.0.0.1:7000"``.
    shared_key : str
        Key that authenticates messages between the system's own processes, 64
        hexadecimal digits.
    threads : int, default=64
        Number of threads that serve requests of callers, 1 to 1024.
    memory_mb : float, default=512.0
        Memory limit of the process, megabytes.
    drain_s : float, default=30.0
        Maximum duration of a graceful shutdown, seconds, 0 to 3600.
    seeds : tuple of str, default=()
        Addresses of peers to ask while no list of hosts is known, for example
        because the platform is down at startup. Separated by commas in the file.
    log_level : str, default="INFO"
        ``"DEBUG"``, ``"INFO"``, ``"WARNING"`` or ``"ERROR"``.
    """

    name: Name
    data_centre: Name
    listen: Address
    operators_listen: Address
    peer_listen: Address
    platform: BaseUrl
    shared_key: SharedKey = attrs.field(repr=False)
    threads: ThreadCount = 64
    memory_mb: Number = 512.0
    drain_s: DrainSeconds = 30.0
    seeds: AddressList = ()
    log_level: LogLevel = "INFO"


@attrs.frozen(kw_only=True)
class StewardSettings:
    """Settings of ``sycamorespoke-steward``.

    Parameters
    ----------
    name : str
        Name of the host in the platform's list.
    data_centre : str
        Name of its data centre.
    operators_listen : str
        IP address and port for operators; must not be reachable by callers.
    peer_listen : str
        IP address and port for messages between the system's own processes.
    platform : str
        Base URL of the platform.
    shared_key : str
        Key that authenticates messages between the system's own processes, 64
        hexadecimal digits.
    seeds : tuple of str, default=()
        Addresses of peers to ask while no list of hosts is known, for example
        because the platform is down at startup. Separated by commas in the file.
    log_level : str, default="INFO"
        ``"DEBUG"``, ``"INFO"``, ``"WARNING"`` or ``"ERROR"``.
    """

    name: Name
    data_centre: Name
    operators_listen: Address
    peer_listen: Address
    platform: BaseUrl
    shared_key: SharedKey = attrs.field(repr=False)
    seeds: AddressList = ()
    log_level: LogLevel = "INFO"


@attrs.frozen(kw_only=True)
class OperatorSettings:
    """Settings of ``sycamorespoke``, the command-line tool for operators.

    Parameters
    ----------
    platform : str
        Base URL of the platform.
    shared_key : str
        Key that authenticates messages between the system's own processes, 64
        hexadecimal digits.
    author : str
        Name recorded as the author of each change, 1 to 64 printable characters.
    """

    platform: BaseUrl
    shared_key: SharedKey = attrs.field(repr=False)
    author: Author
