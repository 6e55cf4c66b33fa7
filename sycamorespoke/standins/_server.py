"""Serves a stand-in with waitress."""

import collections.abc
import threading

import attrs
import waitress.server
import waitress.wasyncore

THREADS = 200
CONNECTION_LIMIT = 2000
LOOKAHEAD_REQUESTS = 1
BUFFER_BYTES = 1 << 30
SHUTDOWN_TIMEOUT_S = 1.0


@attrs.frozen
class Handle:
    """Stand-in that runs in a thread of this process.

    Parameters
    ----------
    standin : Standin
        The stand-in.
    address : str
        ``"127.0.0.1:PORT"``.
    close : callable
        Stops the server and closes its connections. Calling it again has no effect.
    """

    standin: object
    address: str
    close: collections.abc.Callable[[], None]

    @property
    def url(self):
        """Base URL of the stand-in."""
        return f"http://{self.address}"


def make_server(standin, listen, threads=THREADS):
    """Make a waitress server that is already listening.

    Parameters
    ----------
    standin : Standin
        The stand-in to serve.
    listen : str
        Address and port, such as ``"127.0.0.1:0"``; port 0 selects a free port.
    threads : int, default=200
        Maximum number of concurrent requests; a pending watch and a stream count
        as one each.

    Returns
    -------
    waitress.server.BaseWSGIServer
        The server, not yet running.
    """
    # Without the lookahead, waitress does not detect that the caller disconnected.
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
    """Return the address that a server listens on."""
    return f"{server.effective_host}:{server.effective_port}"


def run_in_thread(standin, listen="127.0.0.1:0", threads=64):
    """Run a stand-in in a thread of a test process.

    Parameters
    ----------
    standin : Standin
        The stand-in.
    listen : str, default="127.0.0.1:0"
        Address and port; port 0 selects a free port.
    threads : int, default=64
        Maximum number of concurrent requests.

    Returns
    -------
    Handle
        The address of the running stand-in and the function that stops it.
    """
    server = make_server(standin, listen, threads)
    thread = threading.Thread(target=server.run, daemon=True)
    thread.start()
    may_close = threading.Semaphore(1)

    def close():
        # A second call must not use the trigger, which the first call has closed.
        if not may_close.acquire(blocking=False):
            return
        server.trigger.pull_trigger(lambda: _end_loop(server))
        thread.join(SHUTDOWN_TIMEOUT_S)
        server.task_dispatcher.shutdown(timeout=SHUTDOWN_TIMEOUT_S)
        server.trigger.close()

    return Handle(standin, format_address(server), close)


def _end_loop(server):
    """Close the listener and all connections, which ends the server's loop."""
    # A task that ends later must not use the trigger.
    server.pull_trigger = lambda: None
    for channel in list(server.active_channels.values()):
        channel.handle_close()
    # The trigger's pipe stays open: the thread that queued this function may not have
    # written to it yet, and its file descriptor must not belong to another file then.
    server.trigger.del_channel()
    waitress.wasyncore.dispatcher.close(server)
