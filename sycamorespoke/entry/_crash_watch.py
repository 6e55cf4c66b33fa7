"""Keeps requests that end upstreams away from them, on all entry hosts together."""

import threading

import attrs

from sycamorespoke import clients, decisions, domain, quarantine, serving
from sycamorespoke.entry import _crash_objects

# Of a longer prompt, only the first blocks are related to the end of engines, so that
# reports stay small.
MAX_BLOCKS = 32


@attrs.frozen
class UpstreamStart:
    """A start of an upstream.

    Parameters
    ----------
    id : str
        Name of the upstream.
    service : str
        Group of the upstream.
    address : str
        IP address and port.
    boot_id : str, default=""
        Boot ID of an engine; empty for a plain service, which has none.
    """

    id: str
    service: str
    address: str
    boot_id: str = ""


class CrashGuard:
    """Observes upstreams that end, and refuses the contents that end them.

    Parameters
    ----------
    name : str
        Name of this host.
    platform_client : clients.PlatformClient
        Client of the platform that holds the records of all hosts.
    engine_client : clients.EngineClient
        Client of engines.
    get_view : callable
        Returns the current `membership.View`.
    metrics : telemetry.Metrics
        Metrics of the daemon.
    """

    def __init__(self, name, platform_client, engine_client, get_view, metrics):
        self.engine_client = engine_client
        self.get_view = get_view
        self.metrics = metrics
        self.objects = _crash_objects.CrashObjects(platform_client, get_view)
        self.monitor = quarantine.CrashMonitor(
            self._is_registered, self._count_end, self._is_running
        )
        self.quarantine = quarantine.Quarantine(
            name, self.objects, self.monitor, self.objects
        )
        self._stop_requested = threading.Event()

    def start(self):
        """Start the threads that share what the hosts observe."""
        self.objects.start(self._stop_requested)
        self.quarantine.start(self._stop_requested, self.objects.refresh)

    def stop(self):
        """Stop the threads after their current step."""
        self._stop_requested.set()

    def watch_service_request(self, request, account, service_client):
        """Return a `WatchedServiceClient` for one request to a plain service."""
        texts = (account.name, request.method, request.path, request.query)
        fingerprint = quarantine.compute_fingerprint(texts, request.body)
        watch = CrashWatch(self, fingerprint)
        return WatchedServiceClient(watch, service_client)

    def watch_completion(self, request, account):
        """Return a `CrashWatch` for one completion."""
        texts = (account.name, request.method, request.path)
        return CrashWatch(self, quarantine.compute_fingerprint(texts, request.body))

    def dump(self):
        """Return the contents in quarantine as JSON values."""
        return [
            {"kind": content.kind.value, "id": content.id}
            for content in self.objects.crashes.quarantined_by_content
        ]

    def _is_registered(self, upstream):
        return upstream.id in self.get_view().hosts.by_name

    def _is_running(self, upstream):
        if not upstream.boot_id:
            return quarantine.is_listening(upstream)
        report = self.engine_client.read_load(upstream, serving.read_clock())
        if isinstance(report, domain.Refusal):
            return quarantine.is_listening(upstream)
        return report.boot_id == upstream.boot_id

    def _count_end(self, service):
        self.metrics.count("upstream_ends", service=service)


class CrashWatch:
    """Checks and reports the contents of one request.

    Parameters
    ----------
    guard : CrashGuard
        Guard of this host.
    fingerprint : str
        Equal for a request that the same caller sends again.
    """

    def __init__(self, guard, fingerprint):
        self.guard = guard
        self.fingerprint = fingerprint

    def has_quarantine(self):
        """Return whether any contents are in quarantine."""
        return bool(self.guard.objects.crashes.quarantined_by_content)

    def find_refusal(self, block_keys=()):
        """Return a `domain.Refusal` if contents are in quarantine, else ``None``."""
        crashes = self.guard.objects.crashes
        found = crashes.find_quarantined(self._list_contents(block_keys))
        return found.make_refusal(serving.read_clock()) if found is not None else None

    def record_whole(self, block_keys=()):
        """Record a complete response, which shows that the contents are sound."""
        contents = self._list_contents(block_keys)
        self.guard.monitor.record_whole(contents, serving.read_clock())

    def record_lost(self, host, boot_id="", block_keys=()):
        """Record that the connection to an upstream broke during the request.

        Parameters
        ----------
        host : domain.Host
            The upstream.
        boot_id : str, default=""
            Its boot ID; empty for a plain service.
        block_keys : tuple of str, default=()
            Keys of the blocks that the upstream has begun to process.
        """
        upstream = UpstreamStart(host.name, host.group, host.address, boot_id)
        self.guard.monitor.record_lost(
            upstream,
            self.fingerprint,
            self._list_contents(block_keys),
            serving.read_clock(),
        )

    def _list_contents(self, block_keys):
        blocks = (
            decisions.Content(decisions.ContentKind.BLOCK, key)
            for key in block_keys[:MAX_BLOCKS]
        )
        request = decisions.Content(decisions.ContentKind.REQUEST, self.fingerprint)
        return (*blocks, request)


class WatchedServiceClient:
    """Sends one request to plain services unless it is in quarantine.

    Parameters
    ----------
    watch : CrashWatch
        Watch of the request.
    service_client : clients.ServiceClient
        Client of plain services.
    """

    def __init__(self, watch, service_client):
        self.watch = watch
        self.service_client = service_client

    def find_refusal(self):
        """Return a `domain.Refusal` if the request is in quarantine, else ``None``."""
        return self.watch.find_refusal()

    def send(self, host, *arguments, **options):
        """Send the request once, see `clients.ServiceClient.send`."""
        refusal = self.find_refusal()
        if refusal is not None:
            return refusal
        result = self.service_client.send(host, *arguments, **options)
        if isinstance(result, clients.ServiceResponse):
            if result.is_success and result.has_framing:
                self.watch.record_whole()
        elif result.kind is domain.ErrorKind.UPSTREAM_LOST:
            self.watch.record_lost(host)
        return result
