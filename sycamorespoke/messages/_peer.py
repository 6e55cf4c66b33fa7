"""The asking end of the transport."""

import itertools
import os
import threading
import time

import attrs
import pynng

from sycamorespoke.messages import _frame

RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 1000
MS_PER_S = 1000


@attrs.frozen
class NoReply:
    """Sentinel: no answer came in time.

    Parameters
    ----------
    reason : str
        What happened.
    """

    reason: str


class Peer:
    """A connection to one other process, redialled for as long as it is open.

    Parameters
    ----------
    address : str
        IP number and port, ``"127.0.0.1:9000"``.
    codec : Codec
        Holds the shared key.

    Notes
    -----
    One request is under way at a time; `ask` may be called from any thread.
    """

    def __init__(self, address, codec):
        self.address = address
        self.codec = codec
        self._lock = threading.Lock()
        # A random start keeps the nonces of two processes, or of one process
        # before and after a restart, apart.
        self._nonces = itertools.count(int.from_bytes(os.urandom(_frame.NONCE_BYTES)))
        self._socket = pynng.Req0(
            recv_max_size=_frame.MAX_FRAME_BYTES,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        self._socket.dial(f"tcp://{address}", block=False)

    def __enter__(self):
        return self

    def __exit__(self, *exception):
        self.close()

    def ask(self, message, timeout_s):
        """Send a request and wait for its answer.

        Parameters
        ----------
        message : Message
            The request.
        timeout_s : float
            Longest wait for connection and answer together, seconds, above 0.

        Returns
        -------
        Message or Dropped or NoReply
            The answer or why there is none.
        """
        deadline_s = time.monotonic() + timeout_s
        with self._lock:
            nonce = self._send(message, timeout_s)
            if isinstance(nonce, NoReply):
                return nonce
            return self._receive(nonce, deadline_s - time.monotonic())

    def send(self, message):
        """Send a request if the connection stands; `receive` takes the answer.

        Parameters
        ----------
        message : Message
            The request. A former one that is unanswered is given up.

        Returns
        -------
        bytes or NoAnswer
            Nonce of the request.
        """
        if not self._socket.pipes:
            return NoReply("not connected")
        with self._lock:
            return self._send(message, 1 / MS_PER_S)

    def receive(self, nonce, timeout_s):
        """Wait for the answer to a request that `send` sent.

        Parameters
        ----------
        nonce : bytes
            As returned by `send`.
        timeout_s : float
            Longest wait, seconds; 0 or less takes only what has come already.

        Returns
        -------
        Message or Dropped or NoReply
            The answer or why there is none.
        """
        with self._lock:
            return self._receive(nonce, timeout_s)

    def close(self):
        """Close the connection, after a request that is under way.

        The library ends the process if a socket is closed while it is used.
        """
        with self._lock:
            self._socket.close()

    def _send(self, message, timeout_s):
        value = next(self._nonces) % (1 << (8 * _frame.NONCE_BYTES))
        nonce = value.to_bytes(_frame.NONCE_BYTES)
        data = self.codec.encode(message, nonce, _frame.Direction.REQUEST)
        try:
            self._socket.send_timeout = _to_ms(timeout_s)
            self._socket.send(data)
        except pynng.NNGException as error:
            return NoReply(f"cannot send: {type(error).__name__}")
        return nonce

    def _receive(self, nonce, timeout_s):
        try:
            self._socket.recv_timeout = _to_ms(timeout_s)
            data = self._socket.recv()
        except pynng.NNGException as error:
            return NoReply(f"no answer: {type(error).__name__}")
        frame = self.codec.decode(data, _frame.Direction.REPLY)
        if isinstance(frame, _frame.Dropped):
            return frame
        if frame.nonce != nonce:
            return _frame.Dropped("nonce")
        return frame.message


def ask(address, shared_key, message, timeout_s):
    """Ask a process once, over a connection of its own.

    Parameters
    ----------
    address : str
        IP number and port, ``"127.0.0.1:9000"``.
    shared_key : str
        Secret that all processes of a deployment share.
    message : Message
        The request.
    timeout_s : float
        Longest wait, seconds, above 0.

    Returns
    -------
    Message or Dropped or NoReply
        The answer or why there is none.
    """
    with Peer(address, _frame.Codec(shared_key)) as peer:
        return peer.ask(message, timeout_s)


def _to_ms(timeout_s):
    # 0 and negative values have other meanings to the library.
    return max(1, int(timeout_s * MS_PER_S))
