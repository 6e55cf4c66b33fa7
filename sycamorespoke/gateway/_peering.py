"""Joins the other hosts and plans who reads for whom."""

import secrets
import threading

import attrs
import loguru

from sycamorespoke import decisions, messages, serving
from sycamorespoke.gateway import _model, _relay

KEY_BYTES = 32
ANSWER_THREADS = 2
RETRY_S = 0.5
# Readers of many stores wait so long after events of one.
STORE_PAUSE_S = 0.1


@attrs.define
class Peering:
    """Registers this host and plans what it reads for others.

    Parameters
    ----------
    host : Host
        This host.
    registry : object
        Registers hosts and keeps the key that they share, see `Deployment`.
    views : Views
        What this host believes.
    source : SharedSource
        Shared objects, read or told.
    blocks : BlockPlanner
        Stores of cached parts, read or told.
    loads : PeerLoads
        Work of the other hosts.
    table : UpstreamTable
        Work of this host.
    """

    host: _model.Host
    registry: object
    views: object
    source: object
    blocks: object
    loads: object
    table: object
    _plan: decisions.ReaderPlan = attrs.field(init=False)

    def __attrs_post_init__(self):
        self._plan = decisions.ReaderPlan(is_reader=True)

    def join(self, stop_requested):
        """Register and serve other hosts, in a thread of its own.

        Parameters
        ----------
        stop_requested : threading.Event
            Ends the tries.
        """
        threading.Thread(
            target=self._run, args=(stop_requested,), name="join", daemon=True
        ).start()

    def leave(self):
        """Take this host out of the registry."""
        if not self.registry.unregister(self.host.name):
            loguru.logger.info("host could not be unregistered")

    def update_plan(self, view):
        """Plan what this host reads itself, by the hosts and stores of a view."""
        if view.configuration is None:
            return
        data_centres_by_host = {
            host.name: host.data_centre for host in view.hosts_by_name.values()
        }
        most = self.blocks.count_readers(view.configuration)
        readers = decisions.count_readers(data_centres_by_host, most)
        self._plan = decisions.plan_readers(
            self.host.name, data_centres_by_host, readers
        )
        is_large = len(data_centres_by_host) > decisions.MAX_DIRECT_HOSTS
        pause_s = STORE_PAUSE_S if is_large else 0.0
        self.blocks.configure(view.configuration, self._plan.is_reader, pause_s)
        self.source.set_relayed(is_large and not self._plan.is_reader)

    def choose_pace(self, need):
        """Choose the `decisions.WatchTiming` of one part of the view."""
        reading = decisions.ReadMode.DIRECT
        if self._plan.is_reader:
            reading = decisions.ReadMode.READER
        elif self.source.is_relayed(serving.read_clock()):
            reading = decisions.ReadMode.RELAYED
        return decisions.choose_watch_timing(len(self.views.get().hosts), need, reading)

    def _run(self, stop_requested):
        while not stop_requested.is_set():
            try:
                if self._try_join():
                    return
            except Exception:
                loguru.logger.exception("joining the other hosts failed")
            stop_requested.wait(RETRY_S)

    def _try_join(self):
        key = self.registry.agree_key(secrets.token_hex(KEY_BYTES))
        if key is None or not self.registry.register(self.host):
            return False
        loguru.logger.info("host registered")
        messages.Server(self.host.peer_address, key, self._answer, ANSWER_THREADS)
        _relay.UpdateRequester(
            self.host.name,
            self.blocks.list_indexes,
            self.source,
            self.loads,
            self.table,
            self._list_relays,
            messages.Codec(key),
        ).start()
        return True

    def _answer(self, message):
        if not isinstance(message, messages.UpdatesRequest):
            return None
        return _relay.make_reply(
            self.blocks.list_indexes(),
            self.source,
            self.loads,
            self.table,
            message,
            serving.read_clock(),
        )

    def _list_relays(self):
        hosts_by_name = self.views.get().hosts_by_name
        return [
            hosts_by_name[name].peer_address
            for name in self._plan.readers
            if name in hosts_by_name
        ]
