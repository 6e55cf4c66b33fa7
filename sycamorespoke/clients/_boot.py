"""Connections that are bound to one boot of an engine.

A restart of an engine breaks its connections, so each connection belongs to one
boot. Reading the boot ID once per connection is enough to keep a request that is
meant for a warm engine away from an engine that has just restarted.
"""

import http.client
import threading

import urllib3

from sycamorespoke.clients import _checked_http, _json_documents, _json_fields

LOAD_PATH = "/v1/load"


class BootCheckingPool(_checked_http.CheckedPool):
    """Connection pool that sends requests only to the expected boot of an engine.

    Notes
    -----
    `set_expected_boot_id` applies to the calling thread. A connection to another
    boot raises `urllib3.exceptions.NewConnectionError` before the request is sent.
    """

    _expected = threading.local()

    @classmethod
    def set_expected_boot_id(cls, boot_id):
        """Set the boot ID that the next requests of this thread require.

        Parameters
        ----------
        boot_id : str
            Boot ID; empty to accept any.
        """
        cls._expected.boot_id = boot_id

    def _validate_conn(self, conn):
        super()._validate_conn(conn)
        expected = getattr(self._expected, "boot_id", "")
        if conn.sock is None:
            conn.connect()
            conn.boot_id = ""
        if not expected:
            return
        if not getattr(conn, "boot_id", ""):
            conn.boot_id = _read_boot_id(conn)
        if conn.boot_id != expected:
            raise urllib3.exceptions.NewConnectionError(
                conn, "the engine has restarted"
            )


def _read_boot_id(conn):
    # Uses the methods of the base class: urllib3's own would change the state of
    # the request that is about to be sent on the same connection.
    try:
        http.client.HTTPConnection.request(conn, "GET", LOAD_PATH)
        response = http.client.HTTPConnection.getresponse(conn)
        value = _json_documents.decode_document(response.read())
        return _json_fields.read_field(value, "boot_id", str)
    except (http.client.HTTPException, OSError, ValueError) as error:
        raise urllib3.exceptions.NewConnectionError(
            conn, f"cannot read the engine's boot ID: {type(error).__name__}"
        ) from error
