"""An upstream on a free port whose responses the test controls byte by byte."""

import contextlib
import http.server
import socket
import struct
import threading
import time

# On, with a timeout of 0 s: a closed connection is reset.
RESET_LINGER = struct.pack("ii", 1, 0)
RESPONSE_STAMP = "X-Sycamorespoke-Response-Stamp"


class ScriptedUpstream:
    """HTTP server that passes each request to a function of the test.

    ``handle(request)`` gets the `http.server` handler, whose ``body`` is read already.
    """

    def __init__(self, handle, name="i-1"):
        self.name = name
        self.handle = handle
        self.requests = []
        self.disconnected = threading.Event()
        self._connections = set()
        upstream = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def setup(self):
                super().setup()
                upstream._connections.add(self.connection)

            def finish(self):
                upstream._connections.discard(self.connection)
                super().finish()

            def _serve(self):
                length = int(self.headers.get("Content-Length") or 0)
                self.body = self.rfile.read(length)
                upstream.requests.append(self)
                try:
                    upstream.handle(self)
                except OSError:
                    upstream.disconnected.set()
                    self.close_connection = True

            def log_message(self, *arguments):
                pass

        for method in ("GET", "HEAD", "POST", "PUT", "DELETE"):
            setattr(Handler, f"do_{method}", Handler._serve)

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True
            # With the default of 5, the kernel drops connections that arrive at once.
            request_queue_size = 128

            def handle_error(self, request, client_address):
                upstream.disconnected.set()

        self._server = Server(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self._server.server_address[1]}"
        self._thread = threading.Thread(
            target=self._server.serve_forever, kwargs={"poll_interval": 0.02}
        )
        self._thread.start()

    def close(self):
        self._server.shutdown()
        self._server.server_close()
        self._thread.join()

    def crash(self):
        """Stop listening and reset all connections, like a process that ends."""
        self._server.server_close()
        for connection in list(self._connections):
            # It may have ended meanwhile.
            with contextlib.suppress(OSError):
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
                connection.shutdown(socket.SHUT_RDWR)
        self._server.shutdown()
        self._thread.join()


def respond(request, status=200, body=b"done", **headers):
    """Send a complete response with the request ID and a response stamp."""
    request_id = request.headers.get("X-Sycamorespoke-Request-Id", "")
    own_headers = {
        "X-Sycamorespoke-Request-Id": headers.pop("id", request_id),
        RESPONSE_STAMP: "stamp",
        "Content-Length": str(len(body)),
    }
    send_head(request, status, {**own_headers, **headers})
    request.wfile.write(body)


def start_stream(request, **headers):
    """Send the head of a chunked event stream."""
    _send_stream_head(request, {"Transfer-Encoding": "chunked", **headers})


def start_unframed_stream(request):
    """Send the head of an event stream that ends with its connection."""
    _send_stream_head(request, {})
    request.close_connection = True


def send_stream(request, framing, body):
    """Send a stream whose framing says that it ends after ``body``."""
    if framing == "chunks":
        start_stream(request)
        send_chunk(request, body)
        send_chunk(request, b"")
        return
    if framing == "connection_end":
        start_unframed_stream(request)
    else:
        _send_stream_head(request, {"Content-Length": str(len(body))})
    request.wfile.write(body)


def send_head(request, status, headers):
    """Send the status and headers of a response."""
    request.send_response(status)
    for name, text in headers.items():
        request.send_header(name.replace("_", "-"), text)
    request.end_headers()


def _send_stream_head(request, headers):
    request_id = request.headers["X-Sycamorespoke-Request-Id"]
    own_headers = {
        "X-Sycamorespoke-Request-Id": request_id,
        RESPONSE_STAMP: "stamp",
        "Content-Type": "text/event-stream",
    }
    send_head(request, 200, {**own_headers, **headers})


def send_chunk(request, text):
    """Send one chunk; an empty chunk ends the stream."""
    request.wfile.write(b"%x\r\n%s\r\n" % (len(text), text))
    request.wfile.flush()


def encode_events(first, last):
    """Return the events whose IDs are ``first`` to ``last``, inclusive."""
    numbers = range(first, last + 1)
    return b"".join(b"id: %d\ndata: t%d\n\n" % (number, number) for number in numbers)


def send_events(request, first, last, pause_s=0.0):
    """Send events whose IDs are ``first`` to ``last``, inclusive, as chunks."""
    for number in range(first, last + 1):
        send_chunk(request, encode_events(number, number))
        time.sleep(pause_s)


def abort(request):
    """Close the connection before the response is complete."""
    request.connection.close()
    request.close_connection = True
    raise OSError("aborted by the test")
