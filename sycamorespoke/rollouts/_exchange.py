"""Sends this host's reports to the host that judges the rollouts."""

import threading

import loguru

from sycamorespoke import decisions, messages, serving
from sycamorespoke.rollouts import _orders, _timing

REPLY_TIMEOUT_S = 0.25
# While the holder is not known, so many hosts are asked in turn: those that would
# acquire the task first.
ASKED_HOSTS = 6


class RolloutExchange:
    """Reports of this host, and the judge of all reports while it holds the task.

    Parameters
    ----------
    host : str
        Name of this host.
    rollouts : Rollouts
        What this host knows of the rollouts.
    judge : Judge
        Judges them while this host holds the task.
    views : object
        Has ``get()``, which returns a view with ``hosts_by_name``.
    lease : object
        Has ``is_held()`` and ``get_holder()``, the name of the last known holder.
    """

    def __init__(self, host, rollouts, judge, views, lease):
        self.host = host
        self.rollouts = rollouts
        self.judge = judge
        self.views = views
        self.lease = lease
        self._codec = None
        self._holder = ""
        self._vain_count = 0
        self._peers_by_address = {}

    def start(self, codec, stop_requested):
        """Report in a background thread until ``stop_requested`` is set.

        Parameters
        ----------
        codec : messages.Codec
            Signs messages with the hosts' shared key.
        stop_requested : threading.Event
            Ends the thread.
        """
        self._codec = codec
        threading.Thread(
            target=self._run, args=(stop_requested,), name="rollouts", daemon=True
        ).start()

    def handle(self, report, now):
        """Return the `messages.RolloutReply` to a report at ``now``."""
        rollout_id = _orders.RolloutId(report.service, report.version, report.created)
        end = self.rollouts.get_end(rollout_id)
        if end is not None:
            # Every host that knows the end may tell it.
            return self._make_reply(report, is_holder=True, end=end.value)
        if not self.lease.is_held():
            return self._make_reply(report, is_holder=False)
        order = self._find_order(rollout_id)
        if order is None:
            # This host has not read the order yet, or has read a newer one.
            return self._make_reply(report, is_holder=False)
        return self.judge.receive(report, order.duration_s, now)

    def _make_reply(self, report, is_holder, end=""):
        return messages.RolloutReply(
            report.service,
            report.version,
            report.created,
            holder=self.lease.get_holder(),
            is_holder=is_holder,
            end=end,
        )

    def step(self, now):
        """Report each rollout that is under way, and judge them if this host does."""
        reports = self.rollouts.make_reports(now)
        if not reports:
            self._close_peers()
            self.judge.retain(())
            return
        if self.lease.is_held():
            self._judge(reports, now)
            return
        for report in reports:
            self._send(report, now)

    def _judge(self, reports, now):
        orders = self.rollouts.list_pending()
        self.judge.retain([order.id for order in orders])
        hosts = self.views.get().hosts_by_name.keys()
        for report in reports:
            self.handle(report, now)
        for order in orders:
            self.judge.step(order, hosts, now)
        for report in reports:
            self.rollouts.apply_reply(self.handle(report, now), now)

    def _find_order(self, rollout_id):
        for order in self.rollouts.list_pending():
            if order.id == rollout_id:
                return order
        return None

    def _run(self, stop_requested):
        while not stop_requested.wait(self._compute_interval_s()):
            try:
                self.step(serving.read_clock())
            except Exception:
                loguru.logger.exception("reporting rollouts failed")
        self._close_peers()

    def _compute_interval_s(self):
        hosts = len(self.views.get().hosts_by_name)
        return _timing.compute_report_interval_s(hosts)

    def _send(self, report, now):
        hosts_by_name = self.views.get().hosts_by_name
        name = self._choose_host(hosts_by_name)
        if name is None:
            return
        peer = self._get_peer(hosts_by_name[name].peer_address)
        reply = peer.send_request(report, REPLY_TIMEOUT_S)
        if not isinstance(reply, messages.RolloutReply):
            if self._holder:
                loguru.logger.bind(peer=name, reason=reply.reason).info(
                    "rollout report without a reply"
                )
            self._set_holder("")
            return
        if not reply.is_holder:
            self._set_holder(reply.holder if reply.holder != name else "")
            return
        self._holder, self._vain_count = name, 0
        self.rollouts.apply_reply(reply, now)

    def _set_holder(self, name):
        self._holder = name
        self._vain_count += 1

    def _choose_host(self, hosts_by_name):
        """Choose the host to report to: the holder, or one that may know it."""
        known = (self._holder, self.lease.get_holder())
        others = hosts_by_name.keys() - {self.host}
        ranked = decisions.rank_by_key("rollouts", others)[:ASKED_HOSTS]
        candidates = [name for name in known if name in others] + ranked
        if not candidates:
            return None
        if self._holder in others:
            return self._holder
        return candidates[self._vain_count % len(candidates)]

    def _get_peer(self, address):
        peer = self._peers_by_address.get(address)
        if peer is None:
            peer = messages.Peer(address, self._codec)
            self._peers_by_address[address] = peer
        return peer

    def _close_peers(self):
        while self._peers_by_address:
            _, peer = self._peers_by_address.popitem()
            peer.close()
