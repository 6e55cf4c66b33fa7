"""A gateway that runs in the process of the test."""

import contextlib
import http.client

from sycamorespoke import objects, quarantine, retries, serving, telemetry
from sycamorespoke.gateway import (
    _blocks,
    _chooser,
    _connections,
    _deployment,
    _forwarding,
    _gateway,
    _listed_versions,
    _model,
    _origin_directory,
    _peer_loads,
    _peer_reach,
    _reachability,
    _request_metrics,
    _shutdown,
    _software_versions,
    _stream_versions,
    _table,
    _version_grace,
    _views,
)
from sycamorespoke.platform import _protocol

HOST = "calls.example"
API_KEY = "key-1"


def make_route(name, kind, service="s", **changes):
    fields = {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_s": 3.0,
        "target_latency_s": 0.5,
        "priority": 1,
        "weights_by_service": {service: 1.0},
        "attempts": 2,
    }
    return _model.Route(**{**fields, **changes})


ROUTES = (
    make_route("safe", _model.RouteKind.SAFE),
    make_route("unsafe", _model.RouteKind.UNSAFE, attempts=1),
    make_route("stream", _model.RouteKind.STREAM, is_resumable=True),
    make_route("once", _model.RouteKind.STREAM, attempts=1),
)


class ListedUpstreams:
    """Source that lists the upstreams of a gateway's view, or others.

    Attributes
    ----------
    joined : list of Upstream
        Upstreams that are listed, but not known to the gateway yet.
    is_away : bool
        Whether it does not reply.
    """

    def __init__(self, views):
        self.views = views
        self.joined = []
        self.is_away = False

    def list(self, kind):
        if self.is_away:
            return objects.Unavailable("no response")
        known = (self.views.get().upstreams_by_id or {}).values()
        return objects.Listing((*known, *self.joined), 1)


class InProcessGateway:
    """Gateway on a free port whose ``upstreams`` all belong to the service ``s``."""

    def __init__(self, upstreams=(), routes=ROUTES, threads=8):
        self.versions_by_name = {}
        self.views = _views.Views()
        self.list_source = ListedUpstreams(self.views)
        self.table = _table.UpstreamTable()
        self.pool = _connections.ConnectionPool()
        self.metrics = telemetry.Metrics()
        self.reachability = _reachability.Reachability(self.views)
        self.crash_monitor = quarantine.CrashMonitor(
            self.views.is_registered,
            lambda service: None,
            self.reachability.is_running,
        )
        self.directory = _origin_directory.OriginDirectory("host-1", self.views)
        self.software_versions = _software_versions.SoftwareVersions()
        host = _model.Host("host-1", "dc-1", "127.0.0.1:0")
        self.forwarding = _forwarding.Forwarding(
            host.name,
            _protocol,
            self.reachability,
            _peer_reach.PeerReach(host, self.views),
            _connections.ConnectionPool(),
            self.metrics,
        )
        self.shutdown = _shutdown.Shutdown()
        self.byte_budget = serving.ByteBudget(serving.compute_held_bytes(150.0))
        limits = _chooser.UpstreamLimits(1.5, 5.0, 6.0)
        self.gateway = _gateway.Gateway(
            protocol=_protocol,
            views=self.views,
            chooser=_chooser.Chooser(
                "host-1", "dc-1", self.table, limits, _peer_loads.PeerLoads()
            ),
            table=self.table,
            pool=self.pool,
            block_planner=_blocks.BlockPlanner(None),
            crash_monitor=self.crash_monitor,
            stream_versions=_stream_versions.StreamVersions(
                self.directory,
                self.software_versions,
                self.views,
                self.metrics,
                _listed_versions.ListedVersions(
                    self.list_source,
                    _deployment.ObjectKind("upstreams", lambda value, now: value),
                    serving.read_clock,
                ),
            ),
            reachability=self.reachability,
            forwarding=self.forwarding,
            version_grace=_version_grace.VersionGrace(self.views, self.table, 6.0),
            overdue=retries.OverdueWatch(),
            budgets=retries.RetryBudgets(0.2, 100.0),
            request_metrics=_request_metrics.RequestMetrics(self.metrics),
            byte_budget=self.byte_budget,
            shutdown=self.shutdown,
            read_clock=serving.read_clock,
        )
        self.server = serving.CallerServer(
            "127.0.0.1:0",
            self.gateway,
            threads,
            100,
            serving.CallerLimits(),
            self.byte_budget,
        )
        self.configure(routes)
        self.register(upstreams)
        self.views.replace_fields(data_centres_out=frozenset(), targets_by_model={})
        self.server.start()

    def configure(self, routes, version=1):
        configuration = _model.Configuration(
            version=version,
            routes=tuple(routes),
            services_by_name={"s": _model.Service("s", connection_limit=100)},
            accounts_by_key={API_KEY: _model.Account("account-1")},
            needs_key=True,
        )
        self.views.set_configuration(configuration)

    def register(self, upstreams):
        upstreams_by_id = {}
        for upstream in upstreams:
            upstreams_by_id[upstream.name] = _model.Upstream(
                upstream.name,
                1,
                "s",
                upstream.address,
                "dc-1",
                slots=8,
                software_version=self.versions_by_name.get(upstream.name, "v1"),
            )
        self.views.replace_fields(upstreams_by_id=upstreams_by_id)

    def connect(self):
        return http.client.HTTPConnection("127.0.0.1", self.server.port, timeout=10)

    def request(self, path, method="POST", body=b"ask", connection=None, **headers):
        """Send a request; return the status, headers and body of the response."""
        own = self.connect() if connection is None else None
        try:
            send_request(own or connection, path, method, body, **headers)
            response = (own or connection).getresponse()
            return response.status, response.headers, response.read()
        finally:
            # Otherwise the tests' process runs out of the descriptors of select().
            if own is not None:
                own.close()

    def close(self):
        self.server.close_listener()
        self.server.wait_closed(1.0)
        self.pool.retain(set(), float("inf"))
        # A process that ends needs neither; a test process keeps the threads and the
        # descriptors of each gateway.
        waitress_server = self.server._server
        waitress_server.task_dispatcher.shutdown(timeout=0.1)
        close_loop(self.server)


def close_loop(server):
    """Close the event loop of a `serving.CallerServer`, which a process never does."""
    # The loop may have been awake, and close its trigger before this has pulled it.
    with contextlib.suppress(OSError):
        server._run_in_loop(server._server.close)


def send_request(connection, path, method="POST", body=b"ask", **headers):
    """Send a request with a request ID, an API key and a deadline."""
    all_headers = {
        "Host": HOST,
        "X-Sycamorespoke-Request-Id": "call-1",
        "X-Sycamorespoke-Deadline-Ms": "3000",
        "Authorization": f"Bearer {API_KEY}",
    }
    all_headers.update({name.replace("_", "-"): text for name, text in headers.items()})
    all_headers = {name: text for name, text in all_headers.items() if text is not None}
    connection.request(method, path, body=body, headers=all_headers)
