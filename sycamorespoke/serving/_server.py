"""The HTTP server for callers.

It detects callers that disconnect and never closes a connection during a response.
"""

import contextlib
import logging
import threading
import time

import waitress.adjustments
import waitress.task

from sycamorespoke.serving import _byte_budget, _eviction, _listener

BUFFER_BYTES = 1073741824
CLOSE_POLL_INTERVAL_S = 0.05
INITIAL_THREADS = 4
LOOP_CALL_TIMEOUT_S = 1.0
# Callers reuse connections for less than the configured time. Idle connections are
# closed well after it.
IDLE_TIMEOUT_FACTOR = 2.0
IDLE_TIMEOUT_MARGIN_S = 20.0
CLEANUP_INTERVAL_S = 5
# The load balancer hides which caller sends a request.
CALLERS = "callers"


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
        Maximum number of open connections. A further one takes the place of one
        that makes no progress; without any it is closed at once.
    limits : CallerLimits
        Limits on requests and connections of callers.
    byte_budget : ByteBudget or None, default=None
        Bounds what the process holds for others: connections, requests, and what
        callers have not read yet. ``None`` for no limit.
    owner : str, default="callers"
        Name of the port in the budget.

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
        self,
        listen,
        app,
        threads,
        connection_limit,
        limits,
        byte_budget=None,
        owner=CALLERS,
    ):
        dispatcher = _Dispatcher(threads)
        dispatcher.set_thread_count(min(INITIAL_THREADS, threads))
        adj = waitress.adjustments.Adjustments(
            listen=listen,
            ident=None,
            asyncore_use_poll=True,
            cleanup_interval=CLEANUP_INTERVAL_S,
            # Waitress writes larger buffers to files.
            inbuf_overflow=BUFFER_BYTES,
            outbuf_overflow=BUFFER_BYTES,
            expose_tracebacks=False,
            clear_untrusted_proxy_headers=False,
        )
        adj.byte_budget = byte_budget or _byte_budget.ByteBudget()
        adj.owner = owner
        self._server = _listener.Listener(app, dispatcher, adj, connection_limit)
        self.set_limits(limits)

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
        adj.idle_s = limits.idle_s
        adj.header_s = limits.header_s

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

    def count_closed(self):
        """Return the number of connections closed before callers did, by reason."""
        closed_by_reason = self._server.closed_by_reason
        return {
            reason.value: closed_by_reason[reason] for reason in _eviction.CloseReason
        }

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
            if channel.is_idle():
                with contextlib.suppress(OSError):
                    channel.handle_close()


def _compute_channel_timeout_s(limits):
    return int(limits.idle_s * IDLE_TIMEOUT_FACTOR + IDLE_TIMEOUT_MARGIN_S)
