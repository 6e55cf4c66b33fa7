"""Asks other hosts how old target versions are that this host did not see named."""

import collections
import math
import threading

import loguru

from sycamorespoke import decisions, messages, serving
from sycamorespoke.gateway import _target_versions, _upstream_state

ASK_INTERVAL_S = 0.1
# Pause after all other hosts have been asked in vain.
ROUND_PAUSE_S = 1.0
REPLY_TIMEOUT_S = 0.25


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
                _make_message(target.model, each, now)
                for target in targets
                for each in target.named_versions
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
        return any(
            self._is_uncertain(target, upstream)
            for model, target in (view.targets_by_model or {}).items()
            for upstream in (view.upstreams_by_id or {}).values()
            if upstream.versions_by_model.get(model, target.version) < target.version
        )

    def _is_uncertain(self, target, upstream):
        states_by_boot = self.table.read([upstream])
        version = _upstream_state.latest_weight_version(
            upstream, states_by_boot, target.model
        )
        replacement = target.find_replacement(version)
        return replacement is not None and replacement.named.is_uncertain

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
        named_versions_by_model = collections.defaultdict(list)
        for age in reply.targets:
            named_versions_by_model[age.model].append(
                _read_message(age, requested_s, now)
            )
        for model, named_versions in named_versions_by_model.items():
            if self.views.refine_target(model, named_versions):
                max_age_ms_by_version = {
                    each.version: _target_versions.compute_max_age_ms(each.named, now)
                    for each in named_versions
                }
                loguru.logger.bind(
                    peer=address, model=model, max_age_ms=max_age_ms_by_version
                ).info("ages of targets learnt")

    def _close_peers(self):
        while self._peers_by_address:
            _, peer = self._peers_by_address.popitem()
            peer.close()


def _make_message(model, named_version, now):
    named = named_version.named
    max_age_s = named.compute_max_age_s(now)
    return messages.TargetAge(
        model,
        named_version.version,
        max_age_s if math.isfinite(max_age_s) else None,
        now - named.seen_s,
    )


def _read_message(age, requested_s, now):
    """Return the `NamedVersion` of a reply, which was made after the request."""
    after_s = float("-inf")
    if age.max_age_s is not None:
        after_s = requested_s - age.max_age_s
    named = decisions.NamingTime(after_s, now - age.seen_age_s)
    return _target_versions.NamedVersion(age.version, named)
