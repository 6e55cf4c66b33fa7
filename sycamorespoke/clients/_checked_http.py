"""HTTP connections that reject responses whose head or chunk sizes are cut off.

`http.client` accepts the end of the connection as the end of a line: a cut-off list
of headers counts as complete, without the length of the body, and a cut-off chunk
size may be read as 0, which ends the body.
"""

import http.client
import io

import urllib3
import urllib3.connection


class _WholeLineReader(io.BufferedReader):
    """Reader that raises if the connection ends inside a line."""

    has_ended = False

    def readline(self, size=-1):
        line = super().readline(size)
        self.has_ended = not line
        if line and len(line) != size and not line.endswith(b"\n"):
            raise http.client.IncompleteRead(line)
        return line


class _CheckedResponse(http.client.HTTPResponse):
    """Response whose head ends with an empty line."""

    def __init__(self, sock, *args, **kwargs):
        super().__init__(sock, *args, **kwargs)
        self.fp = _WholeLineReader(self.fp.detach())

    def begin(self):
        super().begin()
        if self.fp.has_ended:
            raise http.client.IncompleteRead(b"")


class CheckedConnection(urllib3.connection.HTTPConnection):
    """Connection that raises `http.client.IncompleteRead` for a cut-off response."""

    response_class = _CheckedResponse


class CheckedPool(urllib3.HTTPConnectionPool):
    """Pool of checked connections to one host."""

    ConnectionCls = CheckedConnection


class CheckedPoolManager(urllib3.PoolManager):
    """Pools of checked connections to many hosts.

    Parameters
    ----------
    pool_class : type, default=CheckedPool
        Class of the pools.
    **options : object
        Parameters of `urllib3.PoolManager`.
    """

    def __init__(self, pool_class=CheckedPool, **options):
        super().__init__(**options)
        self.pool_classes_by_scheme = {"http": pool_class}
