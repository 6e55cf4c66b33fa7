"""Requests that show which versions of the configuration are in force at a host."""

import http.client
import threading
import time

import attrs

from tests.fakes import in_process_gateway

INTERVAL_S = 0.1
TIMEOUT_S = 1.0
# Service of the routes that are added; it has no upstreams.
SERVICE = "none"
IN_FORCE_REASON = b"none listed"
IN_FORCE_STATUS = 503
UNKNOWN_ROUTE_STATUS = 404


def name_route(version):
    """Return the name of the route that was added with a version."""
    return f"added-{version}"


@attrs.frozen
class Ack:
    """Acknowledgement of a write of the configuration.

    Parameters
    ----------
    version : int
        Version of the configuration.
    at_s : float
        Monotonic time, in seconds.
    """

    version: int
    at_s: float


@attrs.frozen
class Probe:
    """Request on a route that was added with a version.

    Parameters
    ----------
    host : str
        Name of the host.
    start : int
        Number of the start of its process.
    version : int
        The version; each later one has the route as well.
    sent_s, ended_s : float
        Monotonic times of request and response, in seconds.
    is_in_force : bool
        Whether the host knows the route.
    """

    host: str
    start: int
    version: int
    sent_s: float
    ended_s: float
    is_in_force: bool


class Prober(threading.Thread):
    """Thread that asks one host for routes until it is stopped.

    Parameters
    ----------
    host : hosts.Host
        The host.
    acks : list of Ack
        Acknowledgements so far, which others append to.
    """

    def __init__(self, host, acks):
        super().__init__(daemon=True)
        self.host = host
        self.acks = acks
        self.probes = []
        self.stop_requested = threading.Event()

    def run(self):
        """Ask for the newest version, and the newest that was in force here."""
        in_force = 0
        while not self.stop_requested.wait(INTERVAL_S):
            newest = self.acks[-1].version
            for version in {newest, in_force or newest}:
                probe = self._ask(version)
                if probe is not None:
                    self.probes.append(probe)
                    if probe.is_in_force:
                        in_force = max(in_force, version)

    def _ask(self, version):
        """Return the probe, or ``None`` if the response does not show it."""
        start = len(self.host.started_s)
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.host.port, timeout=TIMEOUT_S
        )
        sent_s = time.monotonic()
        try:
            in_process_gateway.send_request(connection, f"/{name_route(version)}/x")
            head = connection.getresponse()
            body = head.read()
        except (OSError, http.client.HTTPException):
            return None
        finally:
            connection.close()
        is_in_force = head.status == IN_FORCE_STATUS and IN_FORCE_REASON in body
        is_known = is_in_force or head.status == UNKNOWN_ROUTE_STATUS
        if not is_known or start != len(self.host.started_s):
            return None
        return Probe(
            self.host.name, start, version, sent_s, time.monotonic(), is_in_force
        )
