"""Server side of the transport."""

import collections
import contextlib
import threading

import pynng
from loguru import logger

from sycamorespoke.messages import _frame

WAKE_FRAME = b"wake"
WAKE_TIMEOUT_MS = 100
WAKE_INTERVAL_S = 0.002


class Server:
    """Serve requests of other processes.

    Parameters
    ----------
    listen : str
        IP address and port, ``"127.0.0.1:9000"``; port 0 selects a free port.
    shared_key : str
        Secret shared by all processes of a deployment.
    handle : callable
        Called with a message; returns the reply, or ``None`` to send none. It is
        called from several threads at once.
    threads : int, default=4
        Maximum number of requests handled at the same time, 1 to 64.

    Attributes
    ----------
    address : str
        IP address and port on which the server listens.
    dropped_by_reason : dict of str to int
        Number of requests dropped so far, by reason.
    """

    def __init__(self, listen, shared_key, handle, threads=4):
        self.listen = listen
        self.shared_key = shared_key
        self.handle = handle
        self.threads = threads
        self.dropped_by_reason = collections.Counter()
        self._stopped = threading.Event()
        self._codec = _frame.Codec(shared_key)
        self._count_lock = threading.Lock()
        self._socket = pynng.Rep0(recv_max_size=_frame.MAX_FRAME_BYTES)
        listener = self._socket.listen(f"tcp://{listen}")
        self.address = str(listener.local_address)
        self._threads = [self._start_thread(index) for index in range(threads)]

    def __enter__(self):
        return self

    def __exit__(self, *exception):
        self.stop()

    def stop(self):
        """Stop the threads, then stop listening.

        pynng aborts the process if a socket is closed while a thread waits on it.
        Each thread is therefore woken by a request first.
        """
        self._stopped.set()
        with pynng.Req0() as waker:
            waker.send_timeout = WAKE_TIMEOUT_MS
            waker.dial(f"tcp://{self.address}", block=False)
            for thread in self._threads:
                while thread.is_alive():
                    with contextlib.suppress(pynng.NNGException):
                        waker.send(WAKE_FRAME)
                    thread.join(WAKE_INTERVAL_S)
        self._socket.close()

    def _start_thread(self, index):
        thread = threading.Thread(
            target=self._serve_requests,
            args=(self._socket.new_context(),),
            name=f"messages-{index}",
            daemon=True,
        )
        thread.start()
        return thread

    def _serve_requests(self, context):
        while not self._stopped.is_set():
            try:
                self._serve_request(context)
            except pynng.Closed:
                break
            except pynng.NNGException as error:
                self._count_dropped(type(error).__name__)
        with contextlib.suppress(pynng.Closed):
            context.close()

    def _serve_request(self, context):
        frame = self._codec.decode(context.recv(), _frame.Direction.REQUEST)
        if isinstance(frame, _frame.Dropped):
            self._count_dropped(frame.reason)
            return
        reply = self._handle(frame.message)
        if reply is not None:
            data = self._codec.encode(reply, frame.nonce, _frame.Direction.REPLY)
            context.send(data)

    def _handle(self, message):
        try:
            return self.handle(message)
        except Exception:
            # The thread also serves other requests, so a failed one must not end it.
            logger.exception("cannot handle a request of another process")
            self._count_dropped("handler")
            return None

    def _count_dropped(self, reason):
        with self._count_lock:
            self.dropped_by_reason[reason] += 1
