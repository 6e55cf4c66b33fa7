"""One connection of a caller, and the tasks that serve its requests."""

import contextlib
import socket
import struct
import threading
import time

import waitress.channel
import waitress.task

from sycamorespoke.serving import _clock, _eviction, _parser

# Value of SO_LINGER: on, for 0 seconds.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# What a connection costs without what its caller sends: objects and a short head.
CONNECTION_BYTES = 6_144
# A caller makes progress by sending or reading this much.
PROGRESS_BYTES = 1_024
# What a caller sent after a request stays unread beyond this, until it is answered.
AHEAD_BYTES = 8_192
# For how long an answer waits for room in memory if its caller does not read.
WRITE_WAIT_S = 5.0
WRITE_POLL_S = 0.05
# Promises that the request has not been run.
TIMEOUT_RESPONSE = (
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n"
    b"Retry-After: 1\r\nContent-Length: 0\r\n\r\n"
)


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


class UnreadBytes:
    """Sum of what the callers of a server have not read yet; thread-safe."""

    def __init__(self):
        self.total_bytes = 0
        self._lock = threading.Lock()

    def update(self, channel):
        """Count anew what the caller of a connection has not read."""
        with self._lock:
            size_bytes = channel.total_outbufs_len
            self.total_bytes += size_bytes - channel.counted_bytes
            channel.counted_bytes = size_bytes


class Channel(waitress.channel.HTTPChannel):
    """Connection that serves one request after the other, and knows its progress.

    What the caller sends ahead is parsed only when the request before it has been
    answered and its answer been read. The running request is notified when the caller
    disconnects. All methods but `write_soon` and `service` run in the server's loop.
    """

    parser_class = _parser.Parser
    task_class = _Task
    counted_bytes = 0
    _on_disconnect = None
    _ahead = b""
    _ahead_since_s = 0.0
    _moved_bytes = 0
    _has_sent_request = False

    def __init__(self, server, sock, addr, adj, map=None):
        self.still_since_s = _clock.read_clock()
        super().__init__(server, sock, addr, adj, map)

    def set_on_disconnect(self, function):
        """Set the function to call on disconnect; call it now if disconnected."""
        self._on_disconnect = function
        if not self.connected:
            function()

    def reset_on_close(self):
        """Make the later close of the connection a reset instead of a regular end."""
        # The socket is closed already if the caller has disconnected.
        with contextlib.suppress(OSError, AttributeError):
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)

    def describe(self):
        """Return the `Connection` that the decisions see."""
        request = self.request
        held_bytes = CONNECTION_BYTES + len(self._ahead) + self.total_outbufs_len
        head_since_s = None
        if request is not None:
            held_bytes += request.count_held_bytes()
            if not request.headers_finished:
                head_since_s = request.arrived_s
        return _eviction.Connection(
            self._fileno,
            self._find_stage(),
            self.still_since_s,
            held_bytes,
            head_since_s,
        )

    def close_early(self):
        """Close the connection of a caller that does not send or read."""
        if self.total_outbufs_len:
            self.reset_on_close()
        elif self.request is not None and not self.sent_continue:
            with contextlib.suppress(OSError):
                self.socket.send(TIMEOUT_RESPONSE)
        with contextlib.suppress(OSError):
            self.handle_close()

    def is_idle(self):
        """Return whether no request runs or arrives, and no answer is unread."""
        is_between = self.request is None and not self.requests and not self._ahead
        return is_between and not self.total_outbufs_len

    def readable(self):
        """Return whether to read; parse what was sent ahead if its time has come."""
        if self._ahead and not self.requests and not self.total_outbufs_len:
            with self.requests_lock:
                self._parse_ahead()
        return not (
            not self.connected
            or self.will_close
            or self.close_when_flushed
            or len(self._ahead) >= AHEAD_BYTES
            or self.total_outbufs_len
        )

    def received(self, data):
        """Take bytes of the caller."""
        now = _clock.read_clock()
        self._note_progress(len(data), now)
        with self.requests_lock:
            if not self._ahead:
                self._ahead_since_s = now
            self._ahead += data
            self._parse_ahead()
        return True

    def service(self):
        """Execute one request."""
        self._on_disconnect = None
        super().service()
        self.still_since_s = _clock.read_clock()

    def write_soon(self, data):
        """Send bytes of an answer when the caller reads; may wait for that."""
        if not self.total_outbufs_len:
            # From here on the caller has something to read.
            self.still_since_s = _clock.read_clock()
        if data:
            self._wait_for_room(len(data))
        length = super().write_soon(data)
        if self.total_outbufs_len != self.counted_bytes:
            self.server.unread.update(self)
        return length

    def handle_close(self):
        """Close the connection."""
        super().handle_close()
        self.server.unread.update(self)
        self._ahead = b""
        if self.request is not None:
            self.request.close()
        # The running request is closed by what serves it.
        if self.requests and self._on_disconnect is not None:
            self._on_disconnect()

    def _flush_some(self, do_close=True):
        before_bytes = self.total_outbufs_len
        flushed = super()._flush_some(do_close=do_close)
        moved_bytes = before_bytes - self.total_outbufs_len
        if moved_bytes:
            self.server.unread.update(self)
            now = _clock.read_clock()
            if not self.total_outbufs_len:
                self.still_since_s = now
            self._note_progress(moved_bytes, now)
        return flushed

    def _find_stage(self):
        if self.requests:
            is_unread = self.total_outbufs_len
            return _eviction.Stage.STREAMING if is_unread else _eviction.Stage.RUNNING
        if not self.is_idle():
            return _eviction.Stage.SLOW
        is_used = self._has_sent_request
        return _eviction.Stage.IDLE if is_used else _eviction.Stage.NEW

    def _note_progress(self, moved_bytes, now):
        self._moved_bytes += moved_bytes
        if self._moved_bytes >= PROGRESS_BYTES:
            self._moved_bytes = 0
            self.still_since_s = now

    def _parse_ahead(self):
        """Parse up to the end of one request, and have it served."""
        while self._ahead and not self.requests:
            if self.will_close or self.close_when_flushed:
                self._ahead = b""
                return
            if self.request is None:
                self.request = self.parser_class(self.adj)
                self.request.arrived_s = self._ahead_since_s
                self.still_since_s = self._ahead_since_s
            consumed = self.request.received(self._ahead)
            self._ahead = self._ahead[consumed:]
            self._continue_or_serve()

    def _continue_or_serve(self):
        request = self.request
        if (
            request.expect_continue
            and request.headers_finished
            and not self.sent_continue
        ):
            self.send_continue()
        if request.completed:
            self.sent_continue = False
            self.request = None
            if not request.empty:
                self._has_sent_request = True
                self.requests.append(request)
                self.server.add_task(self)

    def _wait_for_room(self, size_bytes):
        """Wait while the budget is used up and the caller does not read."""
        if self.adj.byte_budget.count_room() >= size_bytes:
            return
        has_room = False
        until_s = _clock.read_clock() + WRITE_WAIT_S
        while not has_room and self.connected:
            self.server.ask_for_room(size_bytes)
            if not self.total_outbufs_len:
                return
            if _clock.read_clock() >= until_s:
                self.server.close_later(self)
                raise waitress.channel.ClientDisconnected
            time.sleep(WRITE_POLL_S)
            has_room = self.adj.byte_budget.count_room() >= size_bytes
