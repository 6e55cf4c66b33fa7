"""Issuer of permits for cold upstreams."""

import threading
import time

from sycamorespoke import decisions, messages
from sycamorespoke.membership import _lease_keeper


class PermitIssuer:
    """Grants permits for the upstreams of one data centre while its lease is held.

    Parameters
    ----------
    data_centre : str
        Name of the data centre.
    holder : str
        Name and boot ID of this process.
    platform : clients.PlatformClient
        Client of the platform that stores the lease.
    get_view : callable
        Returns the current `View`.
    clock : callable, default=time.monotonic
        Returns the current monotonic time, in seconds.
    """

    def __init__(self, data_centre, holder, platform, get_view, clock=time.monotonic):
        self.data_centre = data_centre
        self.get_view = get_view
        self.clock = clock
        self.keeper = _lease_keeper.LeaseKeeper(
            f"permits-{data_centre}", holder, platform, clock, history=platform.history
        )
        self._lock = threading.Lock()
        self._ledgers_by_upstream = {}
        self._acquired_s = None

    def step(self, may_acquire):
        """Acquire or renew the lease if that is due; one thread calls this repeatedly.

        Parameters
        ----------
        may_acquire : bool
            Whether to acquire the lease if it is not held; a few hosts of each data
            centre do so.
        """
        if may_acquire or self.keeper.is_held(self.clock()):
            self.keeper.step()

    def shards(self):
        """Return the names of the shards whose lease is held.

        Returns
        -------
        tuple of str
            The name of the issuer's shard, or nothing.
        """
        return (self.keeper.shard,) if self.keeper.is_held(self.clock()) else ()

    def record_load_report(self, upstream, report):
        """Update the ledger of an upstream with a load report.

        Parameters
        ----------
        upstream : str
            Name of the upstream.
        report : domain.LoadReport
            Load report, with the time at which it was requested.
        """
        with self._lock:
            if self._acquired_s is None:
                return
            ledger = self._get_ledger(upstream)
            if report.warm and not ledger.grants_by_id:
                # Requests at a warm upstream run without permits. If the upstream
                # turns cold, a later report contains their number.
                self._ledgers_by_upstream.pop(upstream, None)
                return
            self._ledgers_by_upstream[upstream] = decisions.apply_load_report(
                ledger,
                report.running + report.queued,
                report.reported_s,
            )

    def handle_message(self, message):
        """Handle the request for a permit or the return of one.

        Parameters
        ----------
        message : messages.PermitRequest or messages.PermitReturn
            The message.

        Returns
        -------
        messages.PermitReply
            The reply.
        """
        with self._lock:
            now = self.clock()
            view = self.get_view()
            held = self.keeper.held
            if not decisions.may_grant_permits(held, view, now):
                return self._refer_to_owner(message, view)
            self._open_ledgers(held)
            if isinstance(message, messages.PermitReturn):
                self._ledgers_by_upstream[message.upstream] = decisions.return_permit(
                    self._get_ledger(message.upstream), message.permit_id
                )
                return messages.PermitReply(message.permit_id, 0)
            return self._decide(message, view, now)

    def _open_ledgers(self, held):
        if held.acquired_s != self._acquired_s:
            self._acquired_s = held.acquired_s
            self._ledgers_by_upstream = {}

    def _get_ledger(self, upstream):
        known = self._ledgers_by_upstream.get(upstream)
        return known or decisions.open_ledger(upstream, self._acquired_s)

    def _decide(self, message, view, now):
        host = view.hosts.by_name.get(message.upstream)
        group = view.configuration.groups_by_name.get(host.group) if host else None
        if group is None:
            return messages.PermitReply(message.permit_id, 0, reason="no such upstream")
        # Whether the upstream is cold is up to the requesting host, which may have
        # seen it restart before a load report shows that here.
        decision = decisions.decide_permit(
            self._get_ledger(message.upstream),
            message.permit_id,
            message.count,
            group.cold_limit,
            now,
        )
        self._ledgers_by_upstream[message.upstream] = decision.ledger
        return messages.PermitReply(
            message.permit_id,
            decision.granted,
            lifetime_s=decisions.PERMIT_LIFETIME_S if decision.granted else 0.0,
            retry_after_s=0.0 if decision.granted else decisions.PERMIT_RETRY_AFTER_S,
            reason=decision.reason,
        )

    def _refer_to_owner(self, message, view):
        name = view.holder_by_shard.get(self.keeper.shard, "")
        host = view.hosts.by_name.get(name)
        return messages.PermitReply(
            message.permit_id,
            0,
            retry_after_s=decisions.PERMIT_RETRY_AFTER_S,
            reason="not the owner",
            owner=host.peer_address if host else "",
        )
