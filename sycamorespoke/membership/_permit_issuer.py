"""The owner's end of permits for cold upstreams."""

import threading
import time

from sycamorespoke import decisions, messages
from sycamorespoke.membership import _lease_keeper


class PermitIssuer:
    """Grant permits for the upstreams of one data centre while its lease is held.

    Parameters
    ----------
    data_centre : str
        Name of the data centre.
    holder : str
        Name and boot id of this process.
    platform : clients.PlatformClient
        Keeps the lease.
    get_view : callable
        Returns the present `View`.
    clock : callable, default=time.monotonic
        Returns the present time, seconds.
    """

    def __init__(self, data_centre, holder, platform, get_view, clock=time.monotonic):
        self.data_centre = data_centre
        self.get_view = get_view
        self.clock = clock
        self.keeper = _lease_keeper.LeaseKeeper(
            f"permits-{data_centre}", holder, platform, clock
        )
        self._lock = threading.Lock()
        self._ledgers_by_upstream = {}
        self._acquired_s = None

    def step(self, may_acquire):
        """Renew the lease; called again and again by one thread.

        Parameters
        ----------
        may_acquire : bool
            Seek the lease if it is not held; a few hosts of each data centre do.
        """
        if may_acquire or self.keeper.is_held(self.clock()):
            self.keeper.step()

    def shards(self):
        """Return the name of the shard if its lease is held.

        Returns
        -------
        tuple of str
            One name or none.
        """
        return (self.keeper.shard,) if self.keeper.is_held(self.clock()) else ()

    def record_load_report(self, upstream, report):
        """Take a load report into account.

        Parameters
        ----------
        upstream : str
            Name of the upstream.
        report : world.LoadReport
            With the time of its asking.
        """
        with self._lock:
            if self._acquired_s is None:
                return
            ledger = self._ledger(upstream)
            if report.warm and not ledger.grants_by_id:
                # What runs at a warm upstream runs without permits. If it turns
                # cold, a later report tells how much that is.
                self._ledgers_by_upstream.pop(upstream, None)
                return
            self._ledgers_by_upstream[upstream] = decisions.apply_load_report(
                ledger,
                report.running + report.queued,
                report.reported_s,
            )

    def handle_message(self, message):
        """Answer a request for a permit or take one back.

        Parameters
        ----------
        message : messages.PermitRequest or messages.PermitReturn
            The request.

        Returns
        -------
        messages.PermitReply
            The answer.
        """
        with self._lock:
            now = self.clock()
            view = self.get_view()
            held = self.keeper.held
            if not decisions.may_grant_permits(held, view, now):
                return self._refer(message, view)
            self._open_ledgers(held)
            if isinstance(message, messages.PermitReturn):
                self._ledgers_by_upstream[message.upstream] = decisions.return_permit(
                    self._ledger(message.upstream), message.permit_id
                )
                return messages.PermitReply(message.permit_id, 0)
            return self._decide(message, view, now)

    def _open_ledgers(self, held):
        if held.acquired_s != self._acquired_s:
            self._acquired_s = held.acquired_s
            self._ledgers_by_upstream = {}

    def _ledger(self, upstream):
        known = self._ledgers_by_upstream.get(upstream)
        return known or decisions.open_ledger(upstream, self._acquired_s)

    def _decide(self, message, view, now):
        host = view.hosts.by_name.get(message.upstream)
        group = view.configuration.groups_by_name.get(host.group) if host else None
        if group is None:
            return messages.PermitReply(message.permit_id, 0, reason="no such upstream")
        # Who asks holds the upstream for cold, and may have seen it restart
        # before a report tells of it here.
        decision = decisions.decide_permit(
            self._ledger(message.upstream),
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

    def _refer(self, message, view):
        name = view.holder_by_shard.get(self.keeper.shard, "")
        host = view.hosts.by_name.get(name)
        return messages.PermitReply(
            message.permit_id,
            0,
            retry_after_s=decisions.PERMIT_RETRY_AFTER_S,
            reason="not the owner",
            owner=host.peer_address if host else "",
        )
