"""The listening socket of a server, and the places of its connections."""

import collections

import loguru
import waitress.server

from sycamorespoke.serving import (
    _byte_budget,
    _channel,
    _clock,
    _eviction,
    _field_rate,
)

LOG_INTERVAL_S = 1.0
# While places are short, this share of them is accepted at once, and at most as many.
ACCEPT_SHARE = 0.125
MAX_ACCEPTED = 16
# The loop runs once a second at least. Later than this, the process did not run.
LATE_LOOP_S = 3.0


class Listener(waitress.server.TcpWSGIServer):
    """Accepts connections and closes those of callers that do not behave.

    Runs in the loop of the server, except for `ask_for_room` and `close_later`.

    Parameters
    ----------
    app : callable
        WSGI application.
    dispatcher : waitress.task.ThreadedTaskDispatcher
        Runs the requests.
    adj : waitress.adjustments.Adjustments
        Settings, with the attributes that `_parser.Parser` and this class read:
        ``owner``, ``byte_budget``, ``idle_s`` and ``header_s``.
    places : int
        Maximum number of connections.
    """

    channel_class = _channel.Channel
    closes_connections = False

    def __init__(self, app, dispatcher, adj, places):
        self.places = places
        self.unread = _channel.UnreadBytes()
        self.closed_by_reason = collections.Counter()
        now = _clock.read_clock()
        self._field_rate = _field_rate.FieldRate(now)
        self._hold = adj.byte_budget.open(
            _byte_budget.ByteKind.CONNECTIONS, adj.owner, free_bytes=float("inf")
        )
        adj.byte_budget.add_buffers(lambda: self.unread.total_bytes)
        adj.make_room = self._make_room
        adj.admit_fields = self._admit_fields
        self._wanted_bytes = 0
        self._unread_channels = collections.deque()
        self._seen_s = self._checked_s = self._logged_s = now
        self._logged_by_reason = collections.Counter()
        super().__init__(
            app, map={}, dispatcher=dispatcher, adj=adj, sockinfo=adj.listen[0]
        )

    def ask_for_room(self, size_bytes):
        """Have slow callers' connections closed for bytes; from any thread."""
        if not self._wanted_bytes:
            self._wanted_bytes = size_bytes
            self.pull_trigger()

    def close_later(self, channel):
        """Close a connection whose caller does not read; from any thread."""
        self._unread_channels.append(channel)
        self.pull_trigger()

    def readable(self):
        """Keep the places and the budget; return whether to accept."""
        # Sockets are closed here: no event of theirs is to come before the next poll.
        try:
            self._keep_limits(_clock.read_clock())
        except Exception:
            # The loop would end, and with it the service of all callers.
            loguru.logger.exception("limits on callers not kept")
        return self.accepting

    def _keep_limits(self, now):
        self._count_connections()
        excess = len(self.active_channels) - self.places
        if excess > 0:
            self._free_places(excess, now)
        while self._unread_channels:
            channel = self._unread_channels.popleft()
            if channel.connected:
                self._close([channel.describe().key], _eviction.CloseReason.SLOW)
        if self._wanted_bytes:
            room_bytes = self.adj.byte_budget.count_room()
            self._make_room(self._wanted_bytes - room_bytes)
            self._wanted_bytes = 0
        is_late = now > self._seen_s + LATE_LOOP_S
        self._seen_s = now
        if is_late:
            # What the callers sent meanwhile has not been read yet.
            self._checked_s = now
        elif now >= self._checked_s + self.adj.cleanup_interval:
            self._checked_s = now
            self._close_overdue(now)
        self._log_closed(now)

    def handle_accept(self):
        """Accept a connection, several if places are short."""
        for _ in range(self._count_acceptable()):
            before = len(self.active_channels)
            super().handle_accept()
            if len(self.active_channels) == before:
                return

    def _count_acceptable(self):
        if len(self.active_channels) < self.places // 2:
            return 1
        return max(min(int(self.places * ACCEPT_SHARE), MAX_ACCEPTED), 1)

    def _describe(self):
        return [channel.describe() for channel in list(self.active_channels.values())]

    def _free_places(self, count, now):
        connections = self._describe()
        idle_s = self.adj.idle_s
        chosen = _eviction.choose_for_places(connections, now, idle_s, count)
        self._close(chosen, _eviction.CloseReason.PLACES)

    def _make_room(self, missing_bytes):
        if missing_bytes <= 0:
            return
        now = _clock.read_clock()
        chosen = _eviction.choose_for_bytes(
            self._describe(), now, self.adj.idle_s, missing_bytes
        )
        self._close(chosen, _eviction.CloseReason.BYTES)

    def _close_overdue(self, now):
        for connection in self._describe():
            reason = _eviction.find_overdue(
                connection, now, self.adj.header_s, self.adj.channel_timeout
            )
            if reason is not None:
                self._close([connection.key], reason)

    def _close(self, keys, reason):
        for key in keys:
            channel = self.active_channels.get(key)
            if channel is not None:
                self.closed_by_reason[reason] += 1
                channel.close_early()
        self._count_connections()

    def _count_connections(self):
        size_bytes = len(self.active_channels) * _channel.CONNECTION_BYTES
        if size_bytes != self._hold.size_bytes:
            self._hold.resize(size_bytes)

    def _admit_fields(self, count):
        return self._field_rate.admit(count, _clock.read_clock())

    def _log_closed(self, now):
        if now < self._logged_s + LOG_INTERVAL_S:
            return
        self._logged_s = now
        count_by_reason = self.closed_by_reason - self._logged_by_reason
        if not count_by_reason:
            return
        self._logged_by_reason = self.closed_by_reason.copy()
        loguru.logger.bind(
            owner=self.adj.owner,
            connections=len(self.active_channels),
            places=self.places,
            closed={reason.value: count for reason, count in count_by_reason.items()},
        ).info("connections closed")
