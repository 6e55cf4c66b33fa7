"""The thread that relays all token streams of a process."""

import queue
import selectors
import socket
import threading
import time
import typing

import attrs
import loguru

from sycamorespoke import clients

TIMEOUT_CHECK_INTERVAL_S = 0.25
PARTIAL_CHUNK_TIMEOUT_S = 0.25
WAKE_BUFFER_BYTES = 4096
# With more streams than this, a short pause lets one round of the loop serve several
# of them.
BATCHING_MIN_STREAMS = 50
BATCHING_PAUSE_S = 0.002


@attrs.frozen
class CallerDisconnected:
    """Sentinel: writing to the caller failed."""

    reason: str


@attrs.frozen
class IdleTimeout:
    """Sentinel: the upstream sent nothing for too long, or the pump was stopped."""

    reason: str = "the upstream sent nothing for too long"


@attrs.frozen
class DeadlineExceeded:
    """Sentinel: the deadline of the transfer has passed."""

    reason: str = "the deadline has passed"


@attrs.define(eq=False)
class _Transfer:
    """A running transfer of a stream from one upstream to one caller."""

    stream: typing.Any
    write_tokens: typing.Callable
    idle_timeout_s: float
    deadline_s: float
    last_received_s: float
    descriptor: int = -1
    is_ended: threading.Event = attrs.field(factory=threading.Event)
    last_message: typing.Any = None

    def end(self, last_message):
        """Set the last message and wake the waiting thread."""
        self.last_message = last_message
        self.is_ended.set()

    def relay(self):
        """Relay the data that has arrived; return the last message or ``None``."""
        messages = self.stream.read_available()
        last_message = None
        if messages and isinstance(messages[-1], clients.TERMINAL_MESSAGES):
            last_message = messages.pop()
        try:
            if messages:
                self.write_tokens(messages)
        except Exception as error:
            # An error on the caller's side must not affect the other streams.
            return CallerDisconnected(type(error).__name__)
        return last_message

    def check_timeouts(self, now):
        """Return the sentinel of the timeout that has expired, or ``None``."""
        if now >= self.deadline_s:
            return DeadlineExceeded()
        if now - self.last_received_s >= self.idle_timeout_s:
            return IdleTimeout()
        return None


class Pump:
    """Relays token streams in one thread, from `start` to `stop`.

    Notes
    -----
    A function passed to `forward` as `write_tokens` must not wait for its caller,
    since that would block all streams.
    """

    def __init__(self):
        self._selector = selectors.DefaultSelector()
        self._new_transfers = queue.SimpleQueue()
        self._wake_receiver, self._wake_sender = socket.socketpair()
        self._lock = threading.Lock()
        self._is_stopped = False
        self._thread = threading.Thread(target=self._run, name="pump", daemon=True)

    def start(self):
        """Start the relay thread."""
        self._selector.register(self._wake_receiver, selectors.EVENT_READ)
        self._thread.start()

    def stop(self):
        """Stop the relay thread; running transfers end with `IdleTimeout`."""
        with self._lock:
            self._is_stopped = True
        self._wake()
        self._thread.join()
        self._selector.close()
        self._wake_receiver.close()
        self._wake_sender.close()

    def forward(self, stream, write_tokens, idle_timeout_s, deadline_s):
        """Relay a stream to its end and wait for it in the calling thread.

        Parameters
        ----------
        stream : clients.EngineStream
            Stream from which `clients.Started` has been read.
        write_tokens : callable
            Writes a list of `clients.Token` to the caller. Called in order, in this
            thread or the relay thread; must not wait for the caller.
        idle_timeout_s : float
            Longest time without data from the upstream, in seconds, above 0.
        deadline_s : float
            Deadline of the transfer, monotonic time in seconds.

        Returns
        -------
        clients.Done or clients.Incomplete or clients.Mismatch or \
CallerDisconnected or IdleTimeout or DeadlineExceeded
            How the stream ended. The tokens that arrived before have been written,
            unless the caller has disconnected.
        """
        transfer = _Transfer(
            stream, write_tokens, idle_timeout_s, deadline_s, time.monotonic()
        )
        # A selector does not report data that the stream has already buffered.
        while stream.has_unread_messages():
            last_message = transfer.relay()
            if last_message is not None:
                return last_message
        transfer.descriptor = stream.fileno()
        stream.set_partial_chunk_timeout(PARTIAL_CHUNK_TIMEOUT_S)
        with self._lock:
            if self._is_stopped:
                return IdleTimeout("the process is stopping")
            self._new_transfers.put(transfer)
        self._wake()
        transfer.is_ended.wait()
        return transfer.last_message

    def _wake(self):
        self._wake_sender.send(b"\0")

    def _run(self):
        next_check_s = time.monotonic() + TIMEOUT_CHECK_INTERVAL_S
        while not self._is_stopped:
            if len(self._selector.get_map()) > BATCHING_MIN_STREAMS:
                time.sleep(BATCHING_PAUSE_S)
            events = self._selector.select(TIMEOUT_CHECK_INTERVAL_S)
            now = time.monotonic()
            for key, _ in events:
                if key.data is None:
                    self._wake_receiver.recv(WAKE_BUFFER_BYTES)
                    self._register_new_transfers(now)
                else:
                    self._relay(key.data, now)
            if now >= next_check_s:
                next_check_s = now + TIMEOUT_CHECK_INTERVAL_S
                self._end_timed_out_transfers(now)
        self._register_new_transfers(time.monotonic())
        for transfer in self._list_transfers():
            self._end(transfer, IdleTimeout("the process is stopping"))

    def _register_new_transfers(self, now):
        while not self._new_transfers.empty():
            transfer = self._new_transfers.get()
            transfer.last_received_s = now
            self._selector.register(transfer.descriptor, selectors.EVENT_READ, transfer)

    def _relay(self, transfer, now):
        transfer.last_received_s = now
        try:
            last_message = transfer.relay()
        except Exception as error:
            # An error in one stream must not end the thread that serves all.
            loguru.logger.exception("relaying a stream failed")
            last_message = clients.Incomplete(
                f"relaying failed: {type(error).__name__}"
            )
        if last_message is not None:
            self._end(transfer, last_message)

    def _end_timed_out_transfers(self, now):
        for transfer in self._list_transfers():
            timeout = transfer.check_timeouts(now)
            if timeout is not None:
                self._end(transfer, timeout)

    def _end(self, transfer, last_message):
        self._selector.unregister(transfer.descriptor)
        transfer.end(last_message)

    def _list_transfers(self):
        keys = self._selector.get_map().values()
        return [key.data for key in keys if key.data is not None]
