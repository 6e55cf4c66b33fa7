"""Closes sockets only while their dialers do not resolve an address.

pynng aborts the whole process if a socket is closed while its dialer resolves its
address, which it does at each attempt to connect, also for numeric addresses.
"""

import atexit
import collections
import threading
import time

# Within this time, an attempt to connect that had begun has resolved its address.
RESOLUTION_TIMEOUT_S = 1.0
# Longer than a socket lives after the call: its dialers begin no further attempt.
NO_RECONNECT_MS = 3_600_000


class SocketCloser:
    """Closes sockets in the background; safe to use from many threads."""

    def __init__(self):
        self._condition = threading.Condition()
        self._due = collections.deque()
        self._is_started = False

    def close_later(self, socket):
        """Close a socket that no thread uses any more.

        Parameters
        ----------
        socket : pynng.Socket
            The socket. Its dialers make no further attempt to connect.
        """
        for dialer in socket.dialers:
            dialer.reconnect_time_min = NO_RECONNECT_MS
            dialer.reconnect_time_max = NO_RECONNECT_MS
        with self._condition:
            self._due.append((time.monotonic() + RESOLUTION_TIMEOUT_S, socket))
            self._condition.notify_all()
            if not self._is_started:
                self._is_started = True
                threading.Thread(
                    target=self._run, name="socket closer", daemon=True
                ).start()

    def wait_closed(self):
        """Wait until every socket is closed."""
        with self._condition:
            self._condition.wait_for(lambda: not self._due)

    def _run(self):
        while True:
            with self._condition:
                self._condition.wait_for(lambda: self._due, RESOLUTION_TIMEOUT_S)
                if not self._due:
                    self._is_started = False
                    return
                due_s, socket = self._due[0]
            time.sleep(max(due_s - time.monotonic(), 0.0))
            socket.close()
            with self._condition:
                self._due.popleft()
                self._condition.notify_all()


closer = SocketCloser()
# A socket that is deleted at exit is closed at once.
atexit.register(closer.wait_closed)
