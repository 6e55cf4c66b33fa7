"""Asks other hosts how old target versions are that this host did not see named."""

import math
import threading

import loguru

from sycamorespoke import decisions, messages, serving
from sycamorespoke.gateway import _chooser

ASK_INTERVAL_S = 0.1
# Pause after all other hosts have been asked in vain.
ROUND_PAUSE_S = 1.0
REPLY_TIMEOUT_S = 0.25
MS_PER_S = 1000


class TargetAges:
    """Exchanges the ages of target versions with other hosts.

    Hosts are asked, one after the other, only while a target that some engine does
    not have yet is of uncertain age.

    Parameters
    ----------
    host : str
        Name of this host.
    views : Views
        Current view, which has the target versions and the hosts.
    table : UpstreamTable
        States of the engines, among them their weight versions.
    """

    def __init__(self, host, views, table):
        self.host = host
        self.views = views
        self.table = table
        self._codec = None
        self._next_s = float("-inf")
        self._asked_hosts = set()
        self._peers_by_address = {}

    def start(self, codec, stop_requested):
        """Ask in a background thread until ``stop_requested`` is set.

        Parameters
        ----------
        codec : messages.Codec
            Signs messages with the hosts' shared key.
        stop_requested : threading.Event
            Ends the thread.
        """
        self._codec = codec
        threading.Thread(
            target=self._run, args=(stop_requested,), name="target ages", daemon=True
        ).start()

    def make_reply(self, now):
        """Return what this host knows, as `messages.TargetAgesReply`."""
        targets = (self.views.get().targets_by_model or {}).values()
        return messages.TargetAgesReply(
            [
                messages.TargetAge(
                    target.model,
                    target.version,
                    target.named.compute_max_age_s(now),
                    now - target.named.seen_s,
                )
                for target in targets
                if math.isfinite(target.named.after_s)
            ]
        )

    def step(self, now):
        """Ask one host at ``now``, seconds of the boot clock, if that is needed."""
        view = self.views.get()
        if not self._has_uncertain_target(view):
            self._close_peers()
            self._asked_hosts.clear()
            return
        if now < self._next_s:
            return
        name = self._choose_host(view)
        if name is None:
            self._asked_hosts.clear()
            self._next_s = now + ROUND_PAUSE_S
            return
        self._asked_hosts.add(name)
        self._ask(view.hosts_by_name[name].peer_address)

    def _run(self, stop_requested):
        while not stop_requested.wait(ASK_INTERVAL_S):
            try:
                self.step(serving.read_clock())
            except Exception:
                loguru.logger.exception("asking for the ages of targets failed")
        self._close_peers()

    def _has_uncertain_target(self, view):
        targets_by_model = {
            model: target
            for model, target in (view.targets_by_model or {}).items()
            if target.named.is_uncertain
        }
        if not targets_by_model:
            return False
        upstreams = list((view.upstreams_by_id or {}).values())
        states_by_boot = self.table.read(upstreams)
        return any(
            _chooser.latest_weight_version(upstream, states_by_boot, model)
            < targets_by_model[model].version
            for upstream in upstreams
            for model in upstream.versions_by_model
            if model in targets_by_model
        )

    def _choose_host(self, view):
        others = view.hosts - {self.host} - self._asked_hosts
        if not others:
            return None
        return decisions.rank_by_key(self.host, others)[0]

    def _ask(self, address):
        peer = self._peers_by_address.get(address)
        if peer is None:
            peer = messages.Peer(address, self._codec)
            self._peers_by_address[address] = peer
        requested_s = serving.read_clock()
        reply = peer.send_request(messages.TargetAgesRequest(), REPLY_TIMEOUT_S)
        if not isinstance(reply, messages.TargetAgesReply):
            loguru.logger.bind(peer=address, reason=reply.reason).info(
                "peer does not tell ages of targets"
            )
            return
        self._apply(reply, requested_s, serving.read_clock(), address)

    def _apply(self, reply, requested_s, now, address):
        for age in reply.targets:
            # The reply was made at some time since the request.
            named = decisions.NamingTime(
                requested_s - age.max_age_s, now - age.seen_age_s
            )
            if self.views.refine_target(age.model, age.version, named):
                max_age_ms = int(named.compute_max_age_s(now) * MS_PER_S)
                loguru.logger.bind(
                    peer=address,
                    model=age.model,
                    version=age.version,
                    max_age_ms=max_age_ms,
                ).info("age of target learnt")

    def _close_peers(self):
        while self._peers_by_address:
            _, peer = self._peers_by_address.popitem()
            peer.close()
