"""A crowd of callers that keep their connections and do not behave."""

import contextlib
import selectors
import socket
import threading
import time

# What a member sends at once, so that all of them send in turn.
PIECE_BYTES = 16_384
LOOP_WAIT_S = 0.02
# A member that cannot send for this long waits for the other side.
BLOCKED_S = 0.5
# Small, so that answers stay with those who send them.
RECEIVE_BUFFER_BYTES = 4_096


class _Member:
    def __init__(self, address, plan, now):
        self.plan = plan
        self.sent_bytes = 0
        self.moved_s = now
        self.socket = socket.socket()
        self.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self.socket.setblocking(False)
        self.socket.connect_ex(address)

    def send(self, now):
        """Send a piece; return whether the connection is still open."""
        if now < self.moved_s + self.plan.pause_s:
            return True
        begin = self.sent_bytes
        data = self.plan.data
        if self.plan.repeats_from is not None and begin >= len(data):
            period = len(data) - self.plan.repeats_from
            begin = self.plan.repeats_from + (begin - len(data)) % period
        piece = data[begin : begin + self.plan.piece_bytes]
        if not piece:
            return True
        try:
            self.sent_bytes += self.socket.send(piece)
        except BlockingIOError:
            return True
        except OSError:
            return False
        self.moved_s = now
        return True

    def is_settled(self, now):
        """Return whether it has sent what it wants to, or waits."""
        is_done = self.sent_bytes >= len(self.plan.data)
        return is_done or self.plan.pause_s or now >= self.moved_s + BLOCKED_S


class Plan:
    """What each member sends before it stops short of its end.

    Parameters
    ----------
    data : bytes
        What it sends; it never reads.
    piece_bytes : int
        Size of a piece.
    pause_s : float
        Pause between the pieces, seconds.
    repeats_from : int or None
        Where it begins again at the end of ``data``; ``None`` to stop there.
    """

    def __init__(self, data, piece_bytes=PIECE_BYTES, pause_s=0.0, repeats_from=None):
        self.data = data
        self.piece_bytes = piece_bytes
        self.pause_s = pause_s
        self.repeats_from = repeats_from


class HostileCrowd:
    """Members that connect at once, send by a plan and stay until it is closed.

    Parameters
    ----------
    address : tuple of (str, int)
        IP address and port.
    plan : Plan
        What each of them sends.
    size : int
        Number of members.
    returns : bool, default=False
        Whether a member whose connection was closed comes again.
    """

    def __init__(self, address, plan, size, returns=False):
        self._address = address
        self._plan = plan
        self._returns = returns
        self._ended = threading.Event()
        self._settled = threading.Event()
        self._members = [self._connect() for _ in range(size)]
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def wait_settled(self, timeout_s):
        """Wait until each member has sent what it can."""
        self._settled.wait(timeout_s)

    def close(self):
        """Close all connections."""
        self._ended.set()
        self._thread.join()
        for member in self._members:
            member.socket.close()

    def _connect(self):
        return _Member(self._address, self._plan, time.monotonic())

    def _run(self):
        selector = selectors.DefaultSelector()
        for member in self._members:
            selector.register(member.socket, selectors.EVENT_WRITE, member)
        while not self._ended.is_set():
            now = time.monotonic()
            for key, _ in selector.select(LOOP_WAIT_S):
                if not key.data.send(now):
                    self._replace(selector, key.data)
            if all(member.is_settled(now) for member in self._members):
                self._settled.set()
            self._ended.wait(LOOP_WAIT_S if self._settled.is_set() else 0.0)
        selector.close()

    def _replace(self, selector, member):
        selector.unregister(member.socket)
        member.socket.close()
        if self._returns:
            self._members.remove(member)
            member = self._connect()
            with contextlib.suppress(OSError):
                selector.register(member.socket, selectors.EVENT_WRITE, member)
            self._members.append(member)
        else:
            member.sent_bytes = len(self._plan.data)
