"""Registers this host and plans which hosts read the sources for the others."""

import functools
import secrets
import threading
import time

import attrs
import loguru

from sycamorespoke import decisions, messages, serving
from sycamorespoke.gateway import (
    _model,
    _reader_exchange,
    _registration,
    _relay,
    _target_ages,
)

KEY_BYTES = 32
REPLY_THREADS = 2
RETRY_S = 0.5
SETTLE_POLL_S = 0.05
# Pause of readers after each response with events in large deployments.
STORE_PAUSE_S = 0.1


@attrs.define
class Peering:
    """Registers this host and plans whether it reads the sources itself.

    Parameters
    ----------
    host : Host
        This host.
    registry : object
        Registers hosts and holds their shared key, see `Deployment`.
    views : Views
        Current view, which lists the entry hosts.
    source : SharedSource
        Shared objects, read directly or relayed.
    blocks : BlockPlanner
        Indexes of the block stores, read directly or relayed.
    loads : PeerLoads
        Work of the other hosts.
    table : UpstreamTable
        Holds this host's work.
    directory : OriginDirectory
        Records of streams, exchanged with other hosts.
    forwarding : Forwarding
        Forwards requests to other hosts.
    forwarded : ForwardedApplication
        Serves the requests that other hosts forward.
    reachability : Reachability
        Which services this host reaches.
    is_load_shared : callable
        Takes a view and returns whether readers tell each other the work of their
        groups.
    rollout_exchange : rollouts.RolloutExchange or None, default=None
        Reports of rollouts of software versions, if these are followed.
    history : clients.StoreHistory or None, default=None
        Tells the era of the store.
    """

    host: _model.Host
    registry: object
    views: object
    source: object
    blocks: object
    loads: object
    table: object
    directory: object
    forwarding: object
    forwarded: object
    reachability: object
    is_load_shared: object
    rollout_exchange: object = None
    history: object = None
    _plan: decisions.ReaderPlan = attrs.field(init=False)
    _target_ages: object = attrs.field(init=False)
    _registration: object = attrs.field(init=False)
    _planned_hosts_by_name: dict | None = attrs.field(init=False, default=None)
    _planned_configuration: object = attrs.field(init=False, default=None)

    def __attrs_post_init__(self):
        self._plan = decisions.ReaderPlan(is_reader=True)
        self._target_ages = _target_ages.TargetAges(
            self.host.name, self.views, self.table
        )
        self._registration = _registration.Registration(
            self.host, self.registry, self.views, self.history
        )

    def join(self, stop_requested):
        """Register this host and serve the others, in a background thread.

        A host whose entry a later era of the store lacks registers again.

        Parameters
        ----------
        stop_requested : threading.Event
            Ends the thread.
        """
        threading.Thread(
            target=self._run, args=(stop_requested,), name="join", daemon=True
        ).start()

    def leave(self):
        """Remove this host from the registry."""
        if not self._registration.leave():
            loguru.logger.info("host could not be unregistered")

    def update_plan(self, view):
        """Plan whether this host is a reader, by the hosts and stores of a view.

        Nothing is done if neither has changed since the last call.
        """
        if (
            view.hosts_by_name is self._planned_hosts_by_name
            and view.configuration is self._planned_configuration
        ):
            return
        self._planned_hosts_by_name = view.hosts_by_name
        self._planned_configuration = view.configuration
        data_centres_by_host = {
            host.name: host.data_centre for host in view.hosts_by_name.values()
        }
        max_readers = len(data_centres_by_host)
        if view.configuration is not None:
            max_readers = self.blocks.count_readers(view.configuration)
        reader_count = decisions.count_readers(data_centres_by_host, max_readers)
        self._plan = decisions.plan_readers(
            self.host.name, data_centres_by_host, reader_count
        )
        is_large = len(data_centres_by_host) > decisions.MAX_DIRECT_HOSTS
        pause_s = STORE_PAUSE_S if is_large else 0.0
        if view.configuration is not None:
            self.blocks.configure(view.configuration, self._plan.is_reader, pause_s)
        self.source.set_relayed(is_large and not self._plan.is_reader)

    def wait_for_hosts(self, sleep=time.sleep):
        """Wait until the list of hosts seems to be whole, and plan by it.

        When all hosts start at once, a host that planned by the first list would read
        for itself what others could relay to it.

        Parameters
        ----------
        sleep : callable, default=time.sleep
            Waits for a number of seconds.
        """
        settling = decisions.SettlingList(self.host.name, serving.read_clock())
        while not settling.is_settled(self._list_known_hosts(), serving.read_clock()):
            sleep(SETTLE_POLL_S)
        self.update_plan(self.views.get())

    def _list_known_hosts(self):
        view = self.views.get()
        return (
            view.hosts if _registration.HOSTS in view.confirmed_s_by_section else None
        )

    def choose_timing(self, freshness):
        """Choose the `decisions.WatchTiming` of a section of the view.

        Parameters
        ----------
        freshness : decisions.Freshness
            How soon changes of the section must be known.
        """
        read_mode = decisions.ReadMode.DIRECT
        if self._plan.is_reader:
            read_mode = decisions.ReadMode.READER
        elif self.source.is_relayed(serving.read_clock()):
            read_mode = decisions.ReadMode.RELAYED
        return decisions.choose_watch_timing(
            len(self.views.get().hosts), freshness, read_mode
        )

    def _run(self, stop_requested):
        while not stop_requested.is_set():
            try:
                if self._try_join(stop_requested):
                    break
            except Exception:
                loguru.logger.exception("registering this host failed")
            stop_requested.wait(RETRY_S)
        self._keep_registered(stop_requested)

    def _keep_registered(self, stop_requested):
        while not stop_requested.is_set():
            try:
                self._registration.step(serving.read_clock())
            except Exception:
                loguru.logger.exception("registering this host again failed")
            wait_s = self._registration.compute_wait_s(RETRY_S, serving.read_clock())
            stop_requested.wait(wait_s)

    def _try_join(self, stop_requested):
        key = self._registration.join(secrets.token_hex(KEY_BYTES))
        if key is None:
            return False
        loguru.logger.info("host registered")
        messages.Server(
            self.host.peer_address, key, self._handle_request, REPLY_THREADS
        )
        self.directory.start(messages.Codec(key))
        self.forwarding.start(key)
        self._target_ages.start(messages.Codec(key), stop_requested)
        if self.rollout_exchange is not None:
            self.rollout_exchange.start(messages.Codec(key), stop_requested)
        _relay.UpdateRequester(
            self.host.name,
            self.blocks.list_indexes,
            self.source,
            self.loads,
            self.table,
            self._list_readers,
            messages.Codec(key),
            self._has_lost_links,
        ).start()
        _reader_exchange.ReaderExchange(
            self.table, self._list_other_readers, messages.Codec(key), self._make_group
        ).start(stop_requested)
        return True

    @functools.singledispatchmethod
    def _handle_request(self, message):
        """Return the reply to a message; ``None`` if hosts do not send its type."""
        return None

    @_handle_request.register
    def _(self, message: messages.OriginsRequest):
        return self.directory.handle(message, serving.read_clock())

    @_handle_request.register
    def _(self, message: messages.ReachRequest):
        return self.forwarded.make_reply(message, serving.read_clock())

    @_handle_request.register
    def _(self, message: messages.UpdatesRequest):
        return _relay.make_reply(
            self.blocks.list_indexes(),
            self.source,
            self.loads,
            self.table,
            message,
            serving.read_clock(),
            self._has_lost_links(serving.read_clock()),
        )

    @_handle_request.register
    def _(self, message: messages.TargetAgesRequest):
        return self._target_ages.make_reply(serving.read_clock())

    @_handle_request.register
    def _(self, message: messages.RolloutReport):
        if self.rollout_exchange is None:
            return None
        return self.rollout_exchange.handle(message, serving.read_clock())

    def _make_group(self, now):
        """Return the message with the work of this reader's group, if it is shared."""
        if not self.is_load_shared(self.views.get()):
            return None
        group = self.loads.sum_group(self.table.get_work_by_boot(), now)
        tokens = self.loads.tokens.sum_group(self.table.get_tokens_by_boot(), now)
        return messages.UpdatesRequest(
            reader=self.host.name,
            group_work_by_upstream=group.work_by_boot,
            group_hosts=group.hosts,
            group_tokens_by_upstream=tokens.work_by_boot,
        )

    def _list_other_readers(self):
        """Return the other readers of a large deployment; empty if this is none."""
        is_large = len(self.views.get().hosts) > decisions.MAX_DIRECT_HOSTS
        return self._list_planned() if self._plan.is_reader and is_large else []

    def _has_lost_links(self, now):
        return bool(self.reachability.list_lost(now))

    def _list_readers(self):
        """Return the readers to ask for updates; empty if this host is one."""
        return [] if self._plan.is_reader else self._list_planned()

    def _list_planned(self):
        hosts_by_name = self.views.get().hosts_by_name
        return [
            hosts_by_name[name].peer_address
            for name in self._plan.readers
            if name in hosts_by_name
        ]
