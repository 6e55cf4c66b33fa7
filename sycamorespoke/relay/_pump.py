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

SWEEP_INTERVAL_S = 0.25
PARTIAL_CHUNK_TIMEOUT_S = 0.25
WAKE_BYTES = 4096
# With many streams a short pause lets one round serve several of them.
MANY_TRANSFERS = 50
ROUND_PAUSE_S = 0.002


@attrs.frozen
class CallerDisconnected:
    """Sentinel: the caller takes no more of the answer."""

    reason: str


@attrs.frozen
class IdleTimeout:
    """Sentinel: the upstream sent nothing for too long."""

    reason: str = "the upstream sent nothing for too long"


@attrs.frozen
class DeadlineExceeded:
    """Sentinel: the deadline has passed."""

    reason: str = "the deadline has passed"


@attrs.define(eq=False)
class _Transfer:
    """A stream on its way from one upstream to one caller."""

    stream: typing.Any
    write_tokens: typing.Callable
    idle_timeout_s: float
    deadline_s: float
    last_received_s: float
    descriptor: int = -1
    is_ended: threading.Event = attrs.field(factory=threading.Event)
    last: typing.Any = None

    def end(self, last):
        """Hand the last message back to the waiting thread."""
        self.last = last
        self.is_ended.set()

    def relay(self):
        """Relay what has arrived; return the last message or ``None``."""
        messages = self.stream.read_available()
        last = None
        if messages and isinstance(messages[-1], clients.TERMINAL_MESSAGES):
            last = messages.pop()
        try:
            if messages:
                self.write_tokens(messages)
        except Exception as error:
            # Whatever the caller's side raises, the other streams go on.
            return CallerDisconnected(type(error).__name__)
        return last

    def find_timeout(self, now):
        """Return why the transfer is to be given up, or ``None``."""
        if now >= self.deadline_s:
            return DeadlineExceeded()
        if now - self.last_received_s >= self.idle_timeout_s:
            return IdleTimeout()
        return None


class Pump:
    """Relays token streams in one thread; call `start` first, `stop` at the end.

    Notes
    -----
    A writer given to `forward` must not wait for its caller: it would hold up
    all streams.
    """

    def __init__(self):
        self._selector = selectors.DefaultSelector()
        self._arrivals = queue.SimpleQueue()
        self._wake_receiver, self._wake_sender = socket.socketpair()
        self._lock = threading.Lock()
        self._is_stopped = False
        self._thread = threading.Thread(target=self._run, name="pump", daemon=True)

    def start(self):
        """Start the thread."""
        self._selector.register(self._wake_receiver, selectors.EVENT_READ)
        self._thread.start()

    def stop(self):
        """End the thread; each transfer under way ends as `IdleTimeout`."""
        with self._lock:
            self._is_stopped = True
        self._wake()
        self._thread.join()
        self._selector.close()
        self._wake_receiver.close()
        self._wake_sender.close()

    def forward(self, stream, write_tokens, idle_timeout_s, deadline_s):
        """Relay a stream to its end; the calling thread waits.

        Parameters
        ----------
        stream : clients.EngineStream
            The stream, of which `clients.Started` has been read.
        write_tokens : callable
            Takes a list of `clients.Token` in order, in this thread or the
            pump's, and must not wait for the caller.
        idle_timeout_s : float
            Longest silence of the upstream, seconds, above 0.
        deadline_s : float
            When the transfer is given up, seconds of the monotonic clock.

        Returns
        -------
        clients.Done or clients.Incomplete or clients.Mismatch or \
CallerDisconnected or IdleTimeout or DeadlineExceeded
            How it ended; all tokens before it are written.
        """
        transfer = _Transfer(
            stream, write_tokens, idle_timeout_s, deadline_s, time.monotonic()
        )
        # No selector tells of what the stream has read from its connection.
        while stream.has_unread_messages():
            last = transfer.relay()
            if last is not None:
                return last
        transfer.descriptor = stream.fileno()
        stream.set_partial_chunk_timeout(PARTIAL_CHUNK_TIMEOUT_S)
        with self._lock:
            if self._is_stopped:
                return IdleTimeout("the process ends")
            self._arrivals.put(transfer)
        self._wake()
        transfer.is_ended.wait()
        return transfer.last

    def _wake(self):
        self._wake_sender.send(b"\0")

    def _run(self):
        next_sweep_s = time.monotonic() + SWEEP_INTERVAL_S
        while not self._is_stopped:
            if len(self._selector.get_map()) > MANY_TRANSFERS:
                time.sleep(ROUND_PAUSE_S)
            events = self._selector.select(SWEEP_INTERVAL_S)
            now = time.monotonic()
            for key, _ in events:
                if key.data is None:
                    self._wake_receiver.recv(WAKE_BYTES)
                    self._accept(now)
                else:
                    self._relay(key.data, now)
            if now >= next_sweep_s:
                next_sweep_s = now + SWEEP_INTERVAL_S
                self._sweep(now)
        self._accept(time.monotonic())
        for transfer in self._list_transfers():
            self._end(transfer, IdleTimeout("the process ends"))

    def _accept(self, now):
        while not self._arrivals.empty():
            transfer = self._arrivals.get()
            transfer.last_received_s = now
            self._selector.register(transfer.descriptor, selectors.EVENT_READ, transfer)

    def _relay(self, transfer, now):
        transfer.last_received_s = now
        try:
            last = transfer.relay()
        except Exception as error:
            # A fault in one stream must not end the thread of all.
            loguru.logger.exception("a stream could not be relayed")
            last = clients.Incomplete(f"the stream broke: {type(error).__name__}")
        if last is not None:
            self._end(transfer, last)

    def _sweep(self, now):
        for transfer in self._list_transfers():
            timeout = transfer.find_timeout(now)
            if timeout is not None:
                self._end(transfer, timeout)

    def _end(self, transfer, last):
        self._selector.unregister(transfer.descriptor)
        transfer.end(last)

    def _list_transfers(self):
        keys = self._selector.get_map().values()
        return [key.data for key in keys if key.data is not None]
