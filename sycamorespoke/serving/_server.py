"""The HTTP server for callers.

It detects callers that disconnect and never closes a connection during a response.
"""

import contextlib
import logging
import socket
import struct
import threading
import time

import attrs
import waitress.channel
import waitress.server
import waitress.task

from sycamorespoke.serving import _byte_budget, _parser

BUFFER_BYTES = 1073741824
CLOSE_POLL_INTERVAL_S = 0.05
INITIAL_THREADS = 4
LOOP_CALL_TIMEOUT_S = 1.0
# Callers reuse connections for less than the configured time. Idle connections are
# closed well after it, since waitress uses the wall clock, which may jump.
IDLE_TIMEOUT_FACTOR = 2.0
IDLE_TIMEOUT_MARGIN_S = 20.0
CLEANUP_INTERVAL_S = 5
# Value of SO_LINGER: on, for 0 seconds.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@attrs.frozen
class CallerLimits:
    """Limits on requests and connections of callers.

    Parameters
    ----------
    header_bytes : int
        Maximum size of the request line and headers, in bytes.
    body_bytes : int
        Maximum size of a body, in bytes.
    idle_s : float
        Minimum time for which an idle connection is kept open, in seconds.
    """

    header_bytes: int = 65536
    body_bytes: int = 67108864
    idle_s: float = 60.0


class BrokenStreamError(Exception):
    """Raised to end a stream early; the closed connection signals it to the caller."""


class _Task(waitress.task.WSGITask):
    """Task that keeps the connection open after a chunked response."""

    def service(self):
        try:
            super().service()
        except BrokenStreamError:
            self._end_early()
        except Exception:
            # Waitress logs it, and responds if no response has begun.
            if self.wrote_header:
                self._end_early()
            raise

    def _end_early(self):
        """Have the caller detect the error by the missing end of the body."""
        self.close_on_finish = True
        is_unframed = not self.chunked_response and self.content_length is None
        if is_unframed:
            self.channel.reset_on_close()

    def get_environment(self):
        environ = super().get_environment()
        environ["caller.arrived_s"] = self.request.arrived_s
        environ["caller.on_leave"] = self.channel.set_on_disconnect
        return environ

    def set_close_on_finish(self):
        # Waitress closes the connection after each response without a length,
        # although a chunked response marks its end.
        is_close_requested = (
            self.request.headers.get("CONNECTION", "").lower() == "close"
        )
        may_keep_open = (
            self.version == "1.1" and self.chunked_response and not is_close_requested
        )
        if not may_keep_open:
            super().set_close_on_finish()

    def finish(self):
        super().finish()
        if self.channel.server.closes_connections:
            # The response may have begun before the shutdown.
            self.close_on_finish = True

    def build_response_header(self):
        if self.channel.server.closes_connections:
            super().set_close_on_finish()
        return super().build_response_header()


# Waitress warns about each request that waits for a thread, even if that thread is
# just being started.
logging.getLogger("waitress.queue").setLevel(logging.ERROR)


class _Dispatcher(waitress.task.ThreadedTaskDispatcher):
    """Dispatcher that starts threads on demand, up to a limit."""

    def __init__(self, limit):
        super().__init__()
        self.limit = limit

    def add_task(self, task):
        with self.lock:
            idle = len(self.threads) - self.active_count
            count = len(self.threads)
            waiting = len(self.queue) + 1
        if waiting > idle and count < self.limit:
            self.set_thread_count(count + 1)
        super().add_task(task)


class _Channel(waitress.channel.HTTPChannel):
    """Channel that notifies the running request when its caller disconnects."""

    parser_class = _parser.Parser
    task_class = _Task
    _on_disconnect = None

    def set_on_disconnect(self, function):
        """Set the function to call on disconnect; call it now if disconnected."""
        self._on_disconnect = function
        if not self.connected:
            function()

    def reset_on_close(self):
        """Make the later close of the connection a reset instead of a regular end."""
        # The socket is closed already if the caller has disconnected.
        with contextlib.suppress(OSError):
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)

    def service(self):
        """Execute one request."""
        self._on_disconnect = None
        super().service()

    def handle_close(self):
        """Close the connection."""
        super().handle_close()
        if self.request is not None:
            self.request.close()
        # The first one is being served, which closes it.
        for request in self.requests[1:]:
            request.release()
        if self.requests and self._on_disconnect is not None:
            self._on_disconnect()


class CallerServer:
    """Waitress server that runs in a background thread.

    Parameters
    ----------
    listen : str
        IP address and port.
    app : callable
        WSGI application.
    threads : int
        Maximum number of concurrent requests, 1 to 1024. Threads are started on
        demand.
    connection_limit : int
        Maximum number of open connections; further ones wait.
    limits : CallerLimits
        Limits on requests and connections of callers.
    byte_budget : ByteBudget or None, default=None
        Bounds what the process holds for others: bodies of requests, and what callers
        have not read yet. ``None`` for no limit.

    Notes
    -----
    Closing a waitress server also closes the trigger through which running
    requests wake its event loop. A shutdown therefore closes only the listening
    socket, and each connection once it is idle.

    The WSGI environment holds the arrival time of the request in
    ``caller.arrived_s``, in seconds of the boot clock. A function passed to
    ``caller.on_leave`` is called when the caller disconnects.
    """

    def __init__(
        self, listen, app, threads, connection_limit, limits, byte_budget=None
    ):
        dispatcher = _Dispatcher(threads)
        dispatcher.set_thread_count(min(INITIAL_THREADS, threads))
        self._server = waitress.server.create_server(
            app,
            _dispatcher=dispatcher,
            listen=listen,
            threads=min(INITIAL_THREADS, threads),
            ident=None,
            connection_limit=connection_limit,
            asyncore_use_poll=True,
            max_request_header_size=limits.header_bytes,
            max_request_body_size=limits.body_bytes,
            channel_timeout=_compute_channel_timeout_s(limits),
            cleanup_interval=CLEANUP_INTERVAL_S,
            # Reading ahead lets the server detect that a caller has disconnected.
            channel_request_lookahead=1,
            # Waitress writes larger buffers to files.
            inbuf_overflow=BUFFER_BYTES,
            outbuf_overflow=BUFFER_BYTES,
            expose_tracebacks=False,
            clear_untrusted_proxy_headers=False,
        )
        self._server.channel_class = _Channel
        byte_budget = byte_budget or _byte_budget.ByteBudget()
        byte_budget.add_buffers(self.count_buffered_bytes)
        self._server.adj.byte_budget = byte_budget
        self._server.closes_connections = False

    def start(self):
        """Listen and serve in the background."""
        threading.Thread(target=self._server.run, name="callers", daemon=True).start()

    @property
    def port(self):
        """Port that the server listens on."""
        return self._server.effective_port

    def set_limits(self, limits):
        """Set the limits on later requests and on idle connections."""
        adj = self._server.adj
        adj.max_request_header_size = limits.header_bytes
        adj.max_request_body_size = limits.body_bytes
        adj.channel_timeout = _compute_channel_timeout_s(limits)

    def close_connections_after_responses(self):
        """Close each connection after its current or next response."""
        self._server.closes_connections = True

    def close_listener(self):
        """Refuse new connections; open ones remain in service."""
        self._run_in_loop(self._close_listener)

    def close_idle_connections(self):
        """Close the connections that have no running request.

        Returns
        -------
        int
            Number of connections that are still open.
        """
        self._run_in_loop(self._close_idle_channels)
        return len(self._server.active_channels)

    def wait_closed(self, timeout_s):
        """Close each connection once it is idle and wait until all are closed.

        Parameters
        ----------
        timeout_s : float
            Longest wait, in seconds, 0 or more.

        Returns
        -------
        bool
            Whether all connections are closed.
        """
        deadline_s = time.monotonic() + timeout_s
        while self.close_idle_connections():
            if time.monotonic() >= deadline_s:
                return False
            time.sleep(CLOSE_POLL_INTERVAL_S)
        return True

    def count_connections(self):
        """Return the number of open connections."""
        return len(self._server.active_channels)

    def count_buffered_bytes(self):
        """Return the number of bytes that callers have not read yet."""
        channels = list(self._server.active_channels.values())
        return sum(channel.total_outbufs_len for channel in channels)

    def _run_in_loop(self, function):
        done = threading.Event()

        def run():
            try:
                function()
            finally:
                done.set()

        self._server.trigger.pull_trigger(run)
        done.wait(LOOP_CALL_TIMEOUT_S)

    def _close_listener(self):
        self._server.del_channel()
        self._server.socket.close()

    def _close_idle_channels(self):
        for channel in list(self._server.active_channels.values()):
            is_idle = channel.request is None and not channel.requests
            if is_idle and not channel.total_outbufs_len:
                with contextlib.suppress(OSError):
                    channel.handle_close()


def _compute_channel_timeout_s(limits):
    return int(limits.idle_s * IDLE_TIMEOUT_FACTOR + IDLE_TIMEOUT_MARGIN_S)
