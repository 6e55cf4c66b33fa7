"""Load orders to the engines of one data centre, protected by a lease."""

import time

from loguru import logger

from sycamorespoke import clients, decisions, domain, membership


class ShardSteward:
    """Orders the engines of a data centre to load the target versions.

    Parameters
    ----------
    data_centre : str
        Name of the data centre.
    holder : str
        Name and boot ID of this process.
    platform : clients.PlatformClient
        Stores the lease.
    engine_client : clients.EngineClient
        Reads the load reports.
    order_client : clients.OrderClient
        Sends the orders.
    get_view : callable
        Returns the current `membership.View`.
    clock : callable, default=time.monotonic
        Returns the current monotonic time, in seconds.
    """

    def __init__(
        self,
        data_centre,
        holder,
        platform,
        engine_client,
        order_client,
        get_view,
        clock=time.monotonic,
    ):
        self.data_centre = data_centre
        self.engine_client = engine_client
        self.order_client = order_client
        self.get_view = get_view
        self.clock = clock
        self.keeper = membership.LeaseKeeper(
            f"steward-{data_centre}", holder, platform, clock, history=platform.history
        )
        self.sent_orders = []

    def step(self):
        """Renew or acquire the lease; if it is held, send the orders that are due."""
        self.keeper.step()
        if not self.keeper.is_held(self.clock()):
            self.sent_orders = []
            return
        view = self.get_view()
        hosts = self._select_engines(view)
        reports_by_name = {
            host.name: self.engine_client.read_load(host, self.clock())
            for host in hosts
        }
        for order in self._plan_orders(view, hosts, reports_by_name):
            if not self._send_order(order, view):
                return

    def dump(self):
        """Return the state as JSON-compatible values."""
        held = self.keeper.held
        return {
            "held": self.keeper.is_held(self.clock()),
            "fencing_number": held.fencing_number if held else 0,
            "orders_sent": {
                each.order.upstream: each.order.version for each in self.sent_orders
            },
        }

    def _select_engines(self, view):
        groups_by_name = view.configuration.groups_by_name
        return [
            host
            for host in view.hosts.select(domain.HostRole.UPSTREAM)
            if host.data_centre == self.data_centre
            and host.group in groups_by_name
            and groups_by_name[host.group].kind is domain.UpstreamKind.MODEL
        ]

    def _plan_orders(self, view, hosts, reports_by_name):
        now = self.clock()
        self.sent_orders = [
            each
            for each in self.sent_orders
            if decisions.is_order_pending(
                each, reports_by_name.get(each.order.upstream), now
            )
        ]
        data_centre = view.configuration.data_centres_by_name.get(self.data_centre)
        if data_centre is None:
            return []
        return decisions.plan_load_orders(
            hosts,
            view.configuration.groups_by_name,
            reports_by_name,
            self.sent_orders,
            data_centre.loads_at_once,
            now,
        )

    def _send_order(self, order, view):
        host = view.hosts.by_name[order.upstream]
        contract = view.configuration.groups_by_name[host.group].contract
        # The time is read immediately before sending: if the process was suspended
        # after planning, its lease or its view may have expired.
        now = self.clock()
        held = self.keeper.held
        if not decisions.may_send_order(held, contract, now):
            return True
        if not decisions.is_ready(view, now):
            return False
        result = self.order_client.order_load(
            host, order.model, order.version, held.fencing_number
        )
        logger.info("load order to {}: version {}", order.upstream, order.version)
        if isinstance(result, clients.Conflict):
            logger.warning("order refused, lease lost: {}", result.reason)
            self.keeper.discard()
            return False
        if not isinstance(result, clients.Unavailable):
            self.sent_orders.append(decisions.SentOrder(order, now))
        return True
