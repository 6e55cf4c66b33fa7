"""The answering end of the transport."""

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
    """Answer requests of other processes.

    Parameters
    ----------
    listen : str
        IP number and port, ``"127.0.0.1:9000"``; port 0 takes a free one.
    shared_key : str
        Secret that all processes of a deployment share.
    handle : callable
        Takes a message and returns the answer, or ``None`` to give none. Called
        from several threads at once.
    threads : int, default=4
        Requests handled at the same time, 1 to 64.

    Attributes
    ----------
    address : str
        IP number and port listened on.
    dropped_by_reason : dict of str to int
        Requests dropped so far.
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
        self._threads = [self._start_thread(number) for number in range(threads)]

    def __enter__(self):
        return self

    def __exit__(self, *exception):
        self.stop()

    def stop(self):
        """End the threads, then stop listening.

        The library ends the process if a socket is closed while a thread waits at
        it, so each is woken by a request first.
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

    def _start_thread(self, number):
        thread = threading.Thread(
            target=self._serve,
            args=(self._socket.new_context(),),
            name=f"messages-{number}",
            daemon=True,
        )
        thread.start()
        return thread

    def _serve(self, context):
        while not self._stopped.is_set():
            try:
                self._serve_one(context)
            except pynng.Closed:
                break
            except pynng.NNGException as error:
                self._count(type(error).__name__)
        with contextlib.suppress(pynng.Closed):
            context.close()

    def _serve_one(self, context):
        frame = self._codec.decode(context.recv(), _frame.Direction.REQUEST)
        if isinstance(frame, _frame.Dropped):
            self._count(frame.reason)
            return
        answer = self._answer(frame.message)
        if answer is not None:
            data = self._codec.encode(answer, frame.nonce, _frame.Direction.REPLY)
            context.send(data)

    def _answer(self, message):
        try:
            return self.handle(message)
        except Exception:
            # One faulty request must not end the thread that serves the others.
            logger.exception("a request of another process could not be handled")
            self._count("handler")
            return None

    def _count(self, reason):
        with self._count_lock:
            self.dropped_by_reason[reason] += 1
