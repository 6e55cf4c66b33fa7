"""The HTTP server for callers: notices those who leave, closes none midway."""

import contextlib
import logging
import threading
import time

import attrs
import waitress.channel
import waitress.parser
import waitress.server
import waitress.task

from sycamorespoke.serving import _clock

BUFFER_BYTES = 1073741824
IDLE_POLL_S = 0.05
FIRST_THREADS = 4
LOOP_CALL_S = 1.0
# Callers reuse connections for less than the configured time; beyond it they
# are closed late rather than early, since the time of day may jump.
IDLE_FACTOR = 2.0
IDLE_EXTRA_S = 20.0
CLEANUP_S = 5


@attrs.frozen
class CallerLimits:
    """Bounds on what a caller may send.

    Parameters
    ----------
    header_bytes : int
        Most bytes of the request line and headers.
    body_bytes : int
        Most bytes of a body.
    idle_s : float
        Time for which an idle connection is kept open at least, seconds.
    """

    header_bytes: int = 65536
    body_bytes: int = 67108864
    idle_s: float = 60.0


class BrokenStreamError(Exception):
    """A stream ends early; the connection is closed so that the caller sees it."""


class _Parser(waitress.parser.HTTPRequestParser):
    """Knows when the request began to arrive."""

    def __init__(self, adj):
        super().__init__(adj)
        self.arrived_s = _clock.read_clock()


class _Task(waitress.task.WSGITask):
    """Keeps the connection open after an answer in chunks."""

    def service(self):
        try:
            super().service()
        except BrokenStreamError:
            # Without the end of the body, which tells the caller.
            self.close_on_finish = True

    def get_environment(self):
        environ = super().get_environment()
        environ["caller.arrived_s"] = self.request.arrived_s
        environ["caller.on_leave"] = self.channel.set_on_disconnect
        return environ

    def set_close_on_finish(self):
        # The library closes after each answer without a length, although the
        # end of an answer in chunks is known.
        asked = self.request.headers.get("CONNECTION", "").lower() == "close"
        may_stay = self.version == "1.1" and self.chunked_response and not asked
        if not may_stay:
            super().set_close_on_finish()

    def finish(self):
        super().finish()
        if self.channel.server.closes_connections:
            # The answer may have begun before the shutdown.
            self.close_on_finish = True

    def build_response_header(self):
        if self.channel.server.closes_connections:
            super().set_close_on_finish()
        return super().build_response_header()


# A call that waits for its thread to start is no cause for a line.
logging.getLogger("waitress.queue").setLevel(logging.ERROR)


class _Dispatcher(waitress.task.ThreadedTaskDispatcher):
    """Starts a thread when a call would wait for one, up to a limit."""

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
    """Tells the request that runs when its caller leaves."""

    parser_class = _Parser
    task_class = _Task
    _on_leave = None

    def set_on_disconnect(self, function):
        """Have a function called when the caller leaves, also if it has left."""
        self._on_leave = function
        if not self.connected:
            function()

    def service(self):
        """Execute one request."""
        self._on_leave = None
        super().service()

    def handle_close(self):
        """Close the connection."""
        super().handle_close()
        if self.requests and self._on_leave is not None:
            self._on_leave()


class CallerServer:
    """Waitress server in a thread of its own.

    Parameters
    ----------
    listen : str
        IP number and port.
    app : callable
        The WSGI application.
    threads : int
        Calls served at once, 1 to 1024; a thread is started when it is needed.
    connection_limit : int
        Connections of callers that are open at once; further ones wait.
    limits : CallerLimits
        Bounds on what callers send.

    Notes
    -----
    Closing a waitress server takes away the trigger through which running
    calls wake its loop. A shutdown therefore closes only the listening socket,
    and the connections once they are idle.

    A call finds the time of its arrival in ``caller.arrived_s``, seconds of the
    boot clock, and may pass a function to ``caller.on_leave`` that is called
    when its caller leaves.
    """

    def __init__(self, listen, app, threads, connection_limit, limits):
        dispatcher = _Dispatcher(threads)
        dispatcher.set_thread_count(min(FIRST_THREADS, threads))
        self._server = waitress.server.create_server(
            app,
            _dispatcher=dispatcher,
            listen=listen,
            threads=min(FIRST_THREADS, threads),
            ident=None,
            connection_limit=connection_limit,
            asyncore_use_poll=True,
            max_request_header_size=limits.header_bytes,
            max_request_body_size=limits.body_bytes,
            channel_timeout=_idle_timeout(limits),
            cleanup_interval=CLEANUP_S,
            # Lets the server notice that a caller has gone away.
            channel_request_lookahead=1,
            # Larger buffers would go to files.
            inbuf_overflow=BUFFER_BYTES,
            outbuf_overflow=BUFFER_BYTES,
            expose_tracebacks=False,
            clear_untrusted_proxy_headers=False,
        )
        self._server.channel_class = _Channel
        self._server.closes_connections = False

    def start(self):
        """Listen and serve in the background."""
        threading.Thread(target=self._server.run, name="callers", daemon=True).start()

    @property
    def port(self):
        """Port that the server listens on."""
        return self._server.effective_port

    def set_limits(self, limits):
        """Set the bounds on what callers send, for requests that follow."""
        adj = self._server.adj
        adj.max_request_header_size = limits.header_bytes
        adj.max_request_body_size = limits.body_bytes
        adj.channel_timeout = _idle_timeout(limits)

    def close_connections_after_responses(self):
        """Let each answer from now on be the last of its connection."""
        self._server.closes_connections = True

    def close_listener(self):
        """Refuse new connections; open ones are served on."""
        self._run_in_loop(self._close_listener)

    def close_idle_connections(self):
        """Close the connections on which no request is under way.

        Returns
        -------
        int
            Connections that are still open.
        """
        self._run_in_loop(self._close_idle_channels)
        return len(self._server.active_channels)

    def wait_closed(self, timeout_s):
        """Close each connection once its answer is sent, for a time.

        Parameters
        ----------
        timeout_s : float
            Longest wait, seconds, 0 or more.

        Returns
        -------
        bool
            Whether every connection is closed.
        """
        ends_s = time.monotonic() + timeout_s
        while self.close_idle_connections():
            if time.monotonic() >= ends_s:
                return False
            time.sleep(IDLE_POLL_S)
        return True

    def count_connections(self):
        """Return the number of open connections."""
        return len(self._server.active_channels)

    def _run_in_loop(self, function):
        done = threading.Event()

        def run():
            try:
                function()
            finally:
                done.set()

        self._server.trigger.pull_trigger(run)
        done.wait(LOOP_CALL_S)

    def _close_listener(self):
        self._server.del_channel()
        self._server.socket.close()

    def _close_idle_channels(self):
        for channel in list(self._server.active_channels.values()):
            is_idle = channel.request is None and not channel.requests
            if is_idle and not channel.total_outbufs_len:
                with contextlib.suppress(OSError):
                    channel.handle_close()


def _idle_timeout(limits):
    return int(limits.idle_s * IDLE_FACTOR + IDLE_EXTRA_S)
