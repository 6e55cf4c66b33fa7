"""Entry hosts with claims that use stand-ins of the platform and of a service."""

import collections
import threading
import time

from sycamorespoke import claims, clients, domain, standins

DEADLINE_S = 5.0
HOUR_S = 3600.0
WAIT_TIMEOUT_S = 5.0


class HostKilledError(Exception):
    """Simulates the death of an entry host at this point of the code."""


class Interruption:
    """Kills or pauses a host at one point of a request.

    Parameters
    ----------
    moment : str, default=""
        Point of the request, for example ``"after the claim"``. The host is not
        interrupted if empty.
    is_pause : bool, default=False
        Whether to pause the host until `resume` instead of killing it.
    """

    def __init__(self, moment="", is_pause=False):
        self.moment = moment
        self.is_pause = is_pause
        self.reached = threading.Event()
        self._resumed = threading.Event()

    def reach(self, moment):
        if moment != self.moment:
            return
        self.reached.set()
        if not self.is_pause:
            raise HostKilledError
        self._resumed.wait(WAIT_TIMEOUT_S)

    def resume(self):
        self._resumed.set()


class EntryHost:
    """The part of an entry host that runs non-idempotent requests."""

    def __init__(self, name, deployment):
        self.name = name
        self.deployment = deployment
        self.interruption = Interruption()
        platform_client = clients.PlatformClient(deployment.platform.url)
        self.claims = claims.Claims(
            platform_client, name, shards=2, wall_clock=deployment.wall_time
        )
        self.service_client = clients.ServiceClient()
        self.is_killed = False

    def run_request(
        self, key, deadline_s=DEADLINE_S, body=b"{}", upstreams=None, headers=()
    ):
        headers = (("Idempotency-Key", key), *headers)
        request = claims.ServiceRequest(
            "borron", "jobs", "POST", "/bookings", headers, body, f"id-{key}", key
        )
        if upstreams is None:
            upstreams = [self.deployment.upstream]
        return claims.run_once(
            self,
            self,
            request,
            upstreams,
            time.monotonic() + deadline_s,
            self.deployment.wall_time(),
        )

    def claim(self, *args, **parameters):
        self.interruption.reach("before the claim")
        result = self.claims.claim(*args, **parameters)
        self.interruption.reach("after the claim")
        return result

    def send(self, *args, **parameters):
        self.interruption.reach("before the send")
        result = self.service_client.send(*args, **parameters)
        self.interruption.reach("after the send")
        return result

    def record(self, token, outcome):
        self.interruption.reach("before the record")
        self.claims.record(token, outcome)

    def release(self, token):
        self.claims.release(token)

    def flush(self):
        if self.is_killed:
            return 0
        return self.claims.flush(time.monotonic() + WAIT_TIMEOUT_S)

    def stop(self):
        self.is_killed = True
        self.claims.stop()


class Deployment:
    """A platform, a plain service that counts its runs, and two entry hosts."""

    def __init__(self):
        self.platform = standins.run_in_thread(standins.PlatformStandin())
        self.service = standins.run_in_thread(standins.ServiceStandin())
        self.upstream = domain.Host(
            "agenda-1", "stgo-a", domain.HostRole.UPSTREAM, self.service.address
        )
        self.clock_offset_s = 0.0
        self.hosts = [EntryHost(f"entry-{number}", self) for number in (1, 2)]

    def wall_time(self):
        return time.time() + self.clock_offset_s

    def count_runs(self, key):
        return self.count_runs_by_key().get(key, 0)

    def count_runs_by_key(self):
        return collections.Counter(self.service.standin.count()["runs_by_key"])

    def clear_faults(self):
        self.platform.standin.set_faults({})
        self.service.standin.set_faults({})
        self.flush()

    def flush(self):
        if self.platform.standin.faults["down"]:
            return
        for host in self.hosts:
            assert host.flush() == 0

    def stop(self):
        for host in self.hosts:
            host.stop()
        self.service.close()
        self.platform.close()


def describe_result(result):
    """Return the status of a response or the kind of a refusal, as a string."""
    if isinstance(result, domain.Refusal):
        return result.kind.value
    return str(result.status)
