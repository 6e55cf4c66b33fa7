"""Client side of the transport."""

import itertools
import os
import threading
import time

import attrs
import pynng

from sycamorespoke.messages import _closer, _frame

RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 1000
MS_PER_S = 1000


@attrs.frozen
class NoReply:
    """Sentinel for a request without a reply.

    Parameters
    ----------
    reason : str
        Why there is no reply.
    """

    reason: str


class Peer:
    """A connection to another process that reconnects until it is closed.

    Parameters
    ----------
    address : str
        IP address and port, ``"127.0.0.1:9000"``.
    codec : Codec
        Codec with the shared key.

    Notes
    -----
    Only one request is in flight at a time; `send_request` may be called from any
    thread.
    """

    def __init__(self, address, codec):
        self.address = address
        self.codec = codec
        self._lock = threading.Lock()
        self._is_closed = False
        # A random start makes collisions unlikely between the nonces of two processes
        # and between those of one process before and after a restart.
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

    def send_request(self, message, timeout_s):
        """Send a request and wait for its reply.

        Parameters
        ----------
        message : Message
            The request.
        timeout_s : float
            Longest wait for connection and reply together, seconds, above 0.

        Returns
        -------
        Message or Dropped or NoReply
            The reply, or why there is none.
        """
        deadline_s = time.monotonic() + timeout_s
        with self._lock:
            nonce = self._send(message, timeout_s)
            if isinstance(nonce, NoReply):
                return nonce
            return self._receive(nonce, deadline_s - time.monotonic())

    def send(self, message):
        """Send a request if connected, without waiting for the reply.

        Pass the returned nonce to `receive` to get the reply.

        Parameters
        ----------
        message : Message
            The request. An earlier request without a reply is abandoned.

        Returns
        -------
        bytes or NoReply
            Nonce of the request, or why it was not sent.
        """
        if not self._socket.pipes:
            return NoReply("not connected")
        with self._lock:
            return self._send(message, 1 / MS_PER_S)

    def receive(self, nonce, timeout_s):
        """Wait for the reply to a request sent with `send`.

        Parameters
        ----------
        nonce : bytes
            Nonce returned by `send`.
        timeout_s : float
            Longest wait, seconds; with 0 or less, only a reply that has already
            arrived is returned.

        Returns
        -------
        Message or Dropped or NoReply
            The reply, or why there is none.
        """
        with self._lock:
            return self._receive(nonce, timeout_s)

    def close(self):
        """Close the connection once the request in flight has ended.

        pynng aborts the process if a socket is closed while it is in use, or while
        it connects; the socket is therefore closed a little later.
        """
        with self._lock:
            if not self._is_closed:
                self._is_closed = True
                _closer.closer.close_later(self._socket)

    def _send(self, message, timeout_s):
        if self._is_closed:
            return NoReply("closed")
        number = next(self._nonces) % (1 << (8 * _frame.NONCE_BYTES))
        nonce = number.to_bytes(_frame.NONCE_BYTES)
        data = self.codec.encode(message, nonce, _frame.Direction.REQUEST)
        try:
            self._socket.send_timeout = _to_ms(timeout_s)
            self._socket.send(data)
        except pynng.NNGException as error:
            return NoReply(f"cannot send: {type(error).__name__}")
        return nonce

    def _receive(self, nonce, timeout_s):
        if self._is_closed:
            return NoReply("closed")
        try:
            self._socket.recv_timeout = _to_ms(timeout_s)
            data = self._socket.recv()
        except pynng.NNGException as error:
            return NoReply(f"cannot receive: {type(error).__name__}")
        frame = self.codec.decode(data, _frame.Direction.REPLY)
        if isinstance(frame, _frame.Dropped):
            return frame
        if frame.nonce != nonce:
            return _frame.Dropped("nonce")
        return frame.message


def send_request(address, shared_key, message, timeout_s):
    """Send one request to a process over a new connection.

    Parameters
    ----------
    address : str
        IP address and port, ``"127.0.0.1:9000"``.
    shared_key : str
        Secret shared by all processes of a deployment.
    message : Message
        The request.
    timeout_s : float
        Longest wait, seconds, above 0.

    Returns
    -------
    Message or Dropped or NoReply
        The reply, or why there is none.
    """
    with Peer(address, _frame.Codec(shared_key)) as peer:
        return peer.send_request(message, timeout_s)


def _to_ms(timeout_s):
    # In pynng, 0 and negative timeouts have special meanings.
    return max(1, int(timeout_s * MS_PER_S))
