"""Pool of keep-alive connections to upstreams."""

import collections
import contextlib
import socket
import threading

from sycamorespoke import clients

CONNECT_TIMEOUT_S = 0.4
# The kernel closes a connection whose bytes stay unacknowledged for this long.
SEND_TIMEOUT_MS = 1500
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Idle connections are closed this long before the upstream closes them, so that no
# request is sent on a connection that is being closed.
IDLE_MARGIN_S = 0.7
DEFAULT_IDLE_S = 4.0
# File number of a closed socket.
CLOSED_FILE = -1
MAX_IDLE_S = 20.0

SOCKET_OPTIONS = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SEND_TIMEOUT_MS),
]


class Connection:
    """A connection to an upstream.

    Parameters
    ----------
    address : str
        IP address and port.
    connect_timeout_s : float, default=0.4
        Timeout for connecting, seconds.
    """

    def __init__(self, address, connect_timeout_s=CONNECT_TIMEOUT_S):
        host, _, port = address.rpartition(":")
        self.http = clients.CheckedConnection(
            host,
            int(port),
            timeout=connect_timeout_s,
            socket_options=SOCKET_OPTIONS,
        )
        self.is_reused = False
        self.idle_until_s = 0.0
        self._closed = False
        # urllib3 drops its reference when a response says "Connection: close".
        self._sock = None

    def connect(self):
        """Open the connection.

        Raises
        ------
        OSError or urllib3.exceptions.HTTPError
            If the connection cannot be established.
        """
        self.http.connect()
        self._sock = self.http.sock
        if self._closed:
            raise ConnectionAbortedError("aborted while connecting")

    def set_timeout(self, timeout_s):
        """Set the timeout of each later read and write, seconds, above 0."""
        self.http.timeout = timeout_s
        # It is closed once a response that ends the connection has been read.
        if self._sock is not None and self._sock.fileno() != CLOSED_FILE:
            self._sock.settimeout(timeout_s)

    def abort(self):
        """Shut the connection down; safe to call from any thread.

        A thread that is blocked in a read of the connection returns at once.
        """
        self._closed = True
        sock = self._sock
        if sock is not None:
            # It may be closed or reset already; then no thread is blocked in it.
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def close(self):
        """Close the connection; only the thread that uses it may call this."""
        self._closed = True
        self.http.close()

    def is_usable(self, now):
        """Return whether the connection may carry another request at ``now``."""
        if self._closed or now >= self.idle_until_s:
            return False
        # An idle connection that is readable was closed by the upstream or holds
        # bytes that belong to no request.
        return self.http.sock is not None and self.http.is_connected


class ConnectionPool:
    """Pool of connections, with a limit on the open ones for each upstream boot."""

    def __init__(self):
        self._lock = threading.Lock()
        self._idle_by_boot = {}
        self._open_by_boot = collections.Counter()

    def acquire(self, upstream, limit, now, fresh=False):
        """Return an idle connection or a new one that is not connected yet.

        Parameters
        ----------
        upstream : Upstream
            Upstream to which the connection leads.
        limit : int
            Maximum number of open connections of this host to it, 1 or more.
        now : float
            Current time, seconds of the boot clock.
        fresh : bool, default=False
            Do not reuse an idle connection.

        Returns
        -------
        Connection or None
            ``None`` if the limit is reached.
        """
        stale = []
        with self._lock:
            connection = None
            if not fresh:
                connection = self._pop_idle(upstream.boot_id, now, stale)
            elif self._open_by_boot[upstream.boot_id] >= limit:
                self._close_oldest_idle(upstream.boot_id, stale)
            if connection is None and self._open_by_boot[upstream.boot_id] < limit:
                self._open_by_boot[upstream.boot_id] += 1
                connection = Connection(upstream.address)
        for old in stale:
            old.close()
        return connection

    def release(self, upstream, connection, keep_alive_s, now):
        """Return a connection to the pool after its response was read to the end.

        Parameters
        ----------
        upstream : Upstream
            Upstream to which the connection leads.
        connection : Connection
            The connection.
        keep_alive_s : float or None
            Time for which the upstream keeps it open, seconds, if stated.
        now : float
            Current time, seconds of the boot clock.
        """
        idle_s = DEFAULT_IDLE_S if keep_alive_s is None else keep_alive_s
        idle_s = min(idle_s - IDLE_MARGIN_S, MAX_IDLE_S)
        if idle_s <= 0:
            self.discard(upstream, connection)
            return
        connection.is_reused = True
        connection.idle_until_s = now + idle_s
        with self._lock:
            self._idle_by_boot.setdefault(upstream.boot_id, []).append(connection)

    def discard(self, upstream, connection):
        """Close a connection that cannot be reused."""
        connection.close()
        with self._lock:
            self._decrement_open(upstream.boot_id)

    def retain(self, boot_ids, now):
        """Close idle connections that have expired or lead to other boots.

        Parameters
        ----------
        boot_ids : set of str
            Boot IDs of the registered upstreams.
        now : float
            Current time, seconds of the boot clock.
        """
        stale = []
        with self._lock:
            for boot_id in list(self._idle_by_boot):
                kept = []
                for connection in self._idle_by_boot[boot_id]:
                    is_expired = now >= connection.idle_until_s
                    (stale if is_expired or boot_id not in boot_ids else kept).append(
                        connection
                    )
                for _ in range(len(self._idle_by_boot[boot_id]) - len(kept)):
                    self._decrement_open(boot_id)
                if kept:
                    self._idle_by_boot[boot_id] = kept
                else:
                    del self._idle_by_boot[boot_id]
        for connection in stale:
            connection.close()

    def count_open(self):
        """Return the number of open connections by boot ID of the upstream."""
        with self._lock:
            return dict(self._open_by_boot)

    def _close_oldest_idle(self, boot_id, stale):
        idle = self._idle_by_boot.get(boot_id, [])
        if idle:
            stale.append(idle.pop(0))
            self._decrement_open(boot_id)

    def _pop_idle(self, boot_id, now, stale):
        idle = self._idle_by_boot.get(boot_id, [])
        while idle:
            connection = idle.pop()
            if connection.is_usable(now):
                return connection
            self._decrement_open(boot_id)
            stale.append(connection)
        return None

    def _decrement_open(self, boot_id):
        self._open_by_boot[boot_id] -= 1
        if self._open_by_boot[boot_id] <= 0:
            del self._open_by_boot[boot_id]
