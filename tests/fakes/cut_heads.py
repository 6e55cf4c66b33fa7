"""Responses that end with their connection inside the head, byte by byte."""

from tests.fakes import scripted_upstream

# Lines that say how the body of a response ends; the last ones of its head.
FRAMINGS = {
    "length": b"Content-Length: 4\r\n",
    "empty": b"Content-Length: 0\r\n",
    "chunks": b"Transfer-Encoding: chunked\r\n",
    "connection_end": b"",
}
INTERIM_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class CutHeads:
    """Script of a `ScriptedUpstream`: ever longer beginnings of a head.

    Parameters
    ----------
    head : bytes
        The head, with the empty line that ends it.
    is_reused : bool, default=False
        Whether each connection gets a whole response first.

    Attributes
    ----------
    count : int
        Number of beginnings, from no byte to all but the last one.
    sent : int
        Number of beginnings that were sent.
    """

    def __init__(self, head, is_reused=False):
        self.head = head
        self.is_reused = is_reused
        self.count = len(head)
        self.sent = 0
        self._used_connections = set()

    def __call__(self, request):
        """Respond to one request."""
        is_new = request.connection not in self._used_connections
        self._used_connections.add(request.connection)
        if self.is_reused and is_new:
            scripted_upstream.respond(request)
            return
        request.wfile.write(self.head[: self.sent])
        self.sent += 1
        request.close_connection = True


def encode_head(status, headers=b"", framing="empty"):
    """Return a head whose last header line says how the body ends.

    Parameters
    ----------
    status : bytes
        Status and reason.
    headers : bytes, default=b""
        Lines of headers.
    framing : str, default="empty"
        Key of `FRAMINGS`.
    """
    return b"HTTP/1.1 " + status + b"\r\n" + headers + FRAMINGS[framing] + b"\r\n"


def list_heads(statuses, headers=b""):
    """Return heads by what tells them apart.

    Parameters
    ----------
    statuses : iterable of bytes
        Statuses of responses without a body; the other responses have status 200.
    headers : bytes, default=b""
        Lines of headers.
    """
    heads_by_kind = {
        framing: encode_head(b"200 OK", headers, framing) for framing in FRAMINGS
    }
    heads_by_kind["after_interim"] = INTERIM_RESPONSE + heads_by_kind["empty"]
    for status in statuses:
        heads_by_kind[status.decode()] = encode_head(status, headers)
    return heads_by_kind
