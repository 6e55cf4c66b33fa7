"""Deployment under test: gateway processes, fake upstreams and store, and proxies."""

import threading
import time

from sycamorespoke.platform import _names
from tests.fakes import object_store
from tests.soak import (
    configurations,
    engines,
    hosts,
    probes,
    run_log,
    store_copies,
    store_returns,
    upstreams,
)

HOSTS = 3
UPSTREAMS = 4
ENGINES = 4
# The configurations of a storm have so many routes more, 0.4 MB in all.
STORM_ROUTES = 1500
STORM_CHANGES = 12
# Data centre without hosts and upstreams that the operator takes out now and then.
EMPTY_DATA_CENTRE = "dc-9"


class GatewayDeployment:
    """Hosts, upstreams and the platform's store.

    Notes
    -----
    Signals are only sent to processes that the deployment has started itself.
    """

    def __init__(self):
        self.log = run_log.RunLog()
        self.store = object_store.FakeObjectStore(era=1)
        # Held by whoever writes what the operator and the upstreams have in the store.
        self._writing = threading.RLock()
        # Monotonic times at which the store was disturbed or restored.
        self.store_disturbed_s = []
        # Monotonic times at which the store had acknowledged each weight version.
        self.acked_s_by_version = {}
        self.name_weight_version()
        # Monotonic times at which a request has ended an upstream.
        self.ended_s = []
        self.upstreams = [
            upstreams.Upstream(n, self.log, self.end_under_request)
            for n in range(UPSTREAMS)
        ]
        self.engines = [
            engines.Engine(
                n,
                self.log,
                self.end_under_request,
                self.register,
                self.get_weight_version,
            )
            for n in range(UPSTREAMS, UPSTREAMS + ENGINES)
        ]
        self.upstreams += self.engines
        self.version = 0
        self.is_isolated = False
        self.is_data_centre_out = False
        self.configuration = None
        # Versions with a route of their own, which later ones have as well.
        self._added_versions = []
        # Acknowledgements of the versions of the configuration.
        self.acks = []
        self.change_configuration()
        for upstream in self.upstreams:
            self.register(upstream)
        self.copies = store_copies.CopyKeeper(self.store)
        self.store_returns = store_returns.StoreReturns(self, self.copies)
        addresses = [upstream.proxy.address for upstream in self.upstreams]
        self.hosts = [hosts.Host(f"h{n}", self.store, addresses) for n in range(HOSTS)]
        for host in self.hosts:
            host.start()
        self.probers = [probes.Prober(host, self.acks) for host in self.hosts]
        for thread in [self.copies, *self.probers]:
            thread.start()

    def __enter__(self):
        return self

    def __exit__(self, *exception):
        self.stop_observing()
        for host in self.hosts:
            host.close()
        for upstream in self.upstreams:
            upstream.close()
        self.store.close()

    def wait_ready(self):
        """Wait until all hosts are ready; return whether they are."""
        return all(host.wait_ready() for host in self.hosts)

    def find_holder(self, default):
        """Return the host that sent the last order, or the one of a number."""
        orders = self.log.list_orders()
        name = orders[-1].holder if orders else f"h{default}"
        return next(host for host in self.hosts if host.name == name)

    def change_configuration(self):
        """Write the next version of the configuration, otherwise unchanged."""
        with self._writing:
            self._added_versions.append(self.version + 1)
            self._write_configuration(extra_routes=[])

    def write_configuration_again(self, reused_revision=0):
        """Write the newest version again, and perhaps one more with one more route.

        Parameters
        ----------
        reused_revision : int, default=0
            Revision that one more version gets, unless the store is past it; 0 for no
            other version.
        """
        with self._writing, self.store.changed:
            self._put_configuration()
            if reused_revision:
                self.store.advance(reused_revision - 1)
                self.change_configuration()

    def change_isolation(self):
        """Isolate an account, or take that back."""
        self.is_isolated = not self.is_isolated
        self.change_configuration()

    def storm_configurations(self):
        """Write large configurations one after the other, then a small one."""
        extra_routes = [
            configurations.make_route(f"extra-{number}", "safe", "s")
            for number in range(STORM_ROUTES)
        ]
        for _ in range(STORM_CHANGES):
            self._write_configuration(extra_routes)
        self.change_configuration()

    def _write_configuration(self, extra_routes):
        with self._writing:
            self.version += 1
            self.configuration = configurations.make_configuration(
                self.version, self.is_isolated
            )
            self.configuration["Routes"] += extra_routes
            self.configuration["Routes"] += [
                configurations.make_route(name, "safe", probes.SERVICE)
                for name in map(probes.name_route, self._added_versions)
            ]
            self._put_configuration()

    def _put_configuration(self):
        self.store.put(_names.KIND_CONFIGURATION, "main", self.configuration)
        newest = self._added_versions[-1]
        self.acks.append(probes.Ack(newest, time.monotonic()))

    def change_data_centres_out(self):
        """Take a data centre out in which nothing is, or take that back."""
        with self._writing:
            self.is_data_centre_out = not self.is_data_centre_out
            self.write_data_centres_out_again()

    def write_data_centres_out_again(self):
        """Write whether the data centre is out, as it is."""
        with self._writing:
            if self.is_data_centre_out:
                self.store.put(_names.KIND_DATA_CENTRES_OUT, EMPTY_DATA_CENTRE, {})
            else:
                self.store.delete(_names.KIND_DATA_CENTRES_OUT, EMPTY_DATA_CENTRE)

    def name_weight_version(self):
        """Name the next weight version of the model, as an operator would."""
        with self._writing:
            version = self.get_weight_version() + 1
            self._put_weight_version(version)
            self.acked_s_by_version[version] = time.monotonic()

    def write_weight_version_again(self):
        """Write the weight version that was named last, as an operator would."""
        with self._writing:
            self._put_weight_version(self.get_weight_version())

    def _put_weight_version(self, version):
        spec = {"Model": engines.MODEL, "Version": version}
        self.store.put(_names.KIND_VERSIONS, engines.MODEL, spec)

    def get_weight_version(self):
        """Return the weight version that was named last."""
        return max(self.acked_s_by_version, default=0)

    def register(self, upstream):
        """Register an upstream in the platform's store with its current ID."""
        with self._writing:
            registration = upstream.make_registration()
            self.store.put(_names.KIND_UPSTREAMS, upstream.id, registration)

    def remove_left_upstreams(self):
        """Remove the entries of earlier starts, which nobody writes again."""
        with self._writing:
            current = {upstream.id for upstream in self.upstreams}
            for kind, name in list(self.store.objects):
                if kind == _names.KIND_UPSTREAMS and name not in current:
                    self.store.delete(kind, name)

    def stop_observing(self):
        """End the threads that copy the store and ask the hosts for routes."""
        threads = [self.copies, *self.probers]
        for thread in threads:
            thread.stop_requested.set()
        for thread in threads:
            thread.join()

    def list_probes(self):
        """Return the requests that asked the hosts for routes."""
        return [probe for prober in self.probers for probe in prober.probes]

    def drain(self, upstream):
        """Have an upstream say in the platform's store that it leaves."""
        upstream.state = "draining"
        self.register(upstream)

    def restart(self, upstream):
        """Restart an upstream with another ID at the same address."""
        with self._writing:
            self.store.delete(_names.KIND_UPSTREAMS, upstream.id)
            upstream.restart()
            self.register(upstream)

    def list_link_faults_by_id(self):
        """Return the faults of the link to each start of an upstream, by ID."""
        return {
            f"i-{upstream.number}-{start}": upstream.link_faults
            for upstream in self.upstreams
            for start in range(1, upstream.starts + 1)
        }

    def list_senders_by_request(self):
        """Return the hosts that others forwarded requests to, by request ID.

        The processes must have ended.
        """
        return {
            line["request_id"]: line["peer"]
            for host in self.hosts
            for line in host.list_lines("call forwarded")
        }

    def end_under_request(self, upstream):
        """End an upstream that runs a fatal request, and start it anew."""
        self.ended_s.append(time.monotonic())
        self.restart(upstream)
