"""Serving of a stand-in by waitress."""

import collections.abc
import threading

import attrs
import waitress.server

THREADS = 200
CONNECTION_LIMIT = 2000
LOOKAHEAD_REQUESTS = 1
BUFFER_BYTES = 1 << 30
SHUTDOWN_TIMEOUT_S = 1.0


@attrs.frozen
class Handle:
    """A stand-in that runs in a thread of this process.

    Parameters
    ----------
    standin : Standin
        The stand-in.
    address : str
        ``"127.0.0.1:PORT"``.
    close : callable
        Stops it and closes its connections.
    """

    standin: object
    address: str
    close: collections.abc.Callable[[], None]

    @property
    def url(self):
        """Base URL of the stand-in."""
        return f"http://{self.address}"


def make_server(standin, listen, threads=THREADS):
    """Make a waitress server that listens.

    Parameters
    ----------
    standin : Standin
        The stand-in to serve.
    listen : str
        ``"127.0.0.1:0"``; port 0 takes a free one.
    threads : int, default=200
        Requests answered at once, each waiting watch and stream being one.

    Returns
    -------
    waitress.server.BaseWSGIServer
        The server, not yet running.
    """
    # Without the lookahead waitress does not notice that a caller went away.
    return waitress.server.create_server(
        standin.app,
        listen=listen,
        threads=threads,
        connection_limit=CONNECTION_LIMIT,
        channel_request_lookahead=LOOKAHEAD_REQUESTS,
        inbuf_overflow=BUFFER_BYTES,
        outbuf_overflow=BUFFER_BYTES,
        log_socket_errors=False,
        clear_untrusted_proxy_headers=True,
    )


def format_address(server):
    """Return the address on which a server listens."""
    return f"{server.effective_host}:{server.effective_port}"


def run_in_thread(standin, listen="127.0.0.1:0", threads=64):
    """Run a stand-in in a thread, for tests.

    Parameters
    ----------
    standin : Standin
        The stand-in.
    listen : str, default="127.0.0.1:0"
        Address; port 0 takes a free one.
    threads : int, default=64
        Requests answered at once.

    Returns
    -------
    Handle
        Its address and how to close it.
    """
    server = make_server(standin, listen, threads)
    thread = threading.Thread(target=server.run, daemon=True)
    thread.start()
    may_close = threading.Semaphore(1)

    def close():
        # A second call must not use the trigger that the first one has closed.
        if not may_close.acquire(blocking=False):
            return
        server.trigger.pull_trigger(lambda: _close_connections(server))
        thread.join(SHUTDOWN_TIMEOUT_S)
        server.task_dispatcher.shutdown(timeout=SHUTDOWN_TIMEOUT_S)

    return Handle(standin, format_address(server), close)


def _close_connections(server):
    # The pipe behind the trigger is about to close; a task that ends later must
    # not write to a file descriptor that another file may have by then.
    server.pull_trigger = lambda: None
    for channel in list(server.active_channels.values()):
        channel.handle_close()
    server.close()
