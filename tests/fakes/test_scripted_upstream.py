"""The upstream whose responses a test controls."""

import contextlib
import socket
import threading

import pytest

from tests.fakes import scripted_upstream

CONNECTIONS = 40
# As long as a gateway waits for a connection.
CONNECT_TIMEOUT_S = 0.4


@pytest.fixture
def stalled_upstream(monkeypatch):
    """Start an upstream that accepts no further connection after the first."""
    upstream = scripted_upstream.ScriptedUpstream(scripted_upstream.respond)
    released = threading.Event()
    monkeypatch.setattr(
        upstream._server, "process_request", lambda *arguments: released.wait(5.0)
    )
    yield upstream
    released.set()
    upstream.close()


def test_connections_at_once_are_not_dropped_while_the_upstream_is_slow(
    stalled_upstream,
):
    host, _, port = stalled_upstream.address.rpartition(":")
    with contextlib.ExitStack() as stack:
        for _ in range(CONNECTIONS):
            connection = socket.create_connection((host, int(port)), CONNECT_TIMEOUT_S)
            stack.enter_context(connection)
