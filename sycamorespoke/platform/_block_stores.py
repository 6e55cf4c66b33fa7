"""Calls to the stores of cached prompt parts."""

import msgspec
import urllib3

from sycamorespoke import gateway
from sycamorespoke.platform import _names

CONNECT_TIMEOUT_S = 0.3
# The answer may be this late beyond the time it was asked to wait.
WAIT_SLACK_S = 0.4
READ_TIMEOUT_S = 1.0
MAX_POOLS = 64
ADDED_SIGN = "+"
JSON_HEADERS = {"Content-Type": "application/json"}


class BlockStoreClient:
    """Reads events of stores and frees parts; safe to share among threads."""

    def __init__(self):
        self._pools = urllib3.PoolManager(
            num_pools=MAX_POOLS,
            maxsize=2,
            retries=False,
            socket_options=gateway.SOCKET_OPTIONS,
        )

    def read_events(self, address, since, wait_s):
        """Wait for events after a number.

        Parameters
        ----------
        address : str
            IP number and port of the store.
        since : int
            Number to ask from.
        wait_s : float
            Longest wait, seconds, 0.2 to 1.

        Returns
        -------
        gateway.StoreEvents or gateway.Unavailable
            Events may be empty.
        """
        path = f"{_names.KV_EVENTS_PATH}?Since={since}"
        headers = {"Wait-Ms": str(int(wait_s * 1000))}
        page = self._send("GET", address, path, None, headers, wait_s + WAIT_SLACK_S)
        if isinstance(page, gateway.Unavailable):
            return page
        try:
            return gateway.StoreEvents(
                epoch=page["Epoch"],
                next_number=page["Next"],
                is_gap=bool(page["Lost"]),
                events=tuple(_parse_event(event) for event in page["Events"]),
                clock_ms=page["clock_ms"],
            )
        except (KeyError, TypeError, ValueError) as error:
            return gateway.Unavailable(f"malformed events: {error!r}")

    def free(self, address, keys, epoch, until_ms):
        """Free parts of a store.

        Parameters
        ----------
        address : str
            IP number and port of the store.
        keys : list of (str, str)
            Scope and id of each part.
        epoch : int
            The store refuses if it has started anew since.
        until_ms : int
            The store refuses after this time of its own clock, Unix milliseconds.

        Returns
        -------
        bool
            Whether they are freed.
        """
        value = {"parts": keys, "Epoch": epoch, "until_ms": until_ms}
        page = self._send(
            "POST", address, _names.KV_FREE_PATH, value, JSON_HEADERS, READ_TIMEOUT_S
        )
        return not isinstance(page, gateway.Unavailable)

    def _send(self, method, address, path, value, headers, timeout_s):
        body = None if value is None else msgspec.json.encode(value)
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=timeout_s)
        try:
            response = self._pools.request(
                method,
                f"http://{address}{path}",
                body=body,
                headers=headers,
                timeout=timeout,
            )
            if response.status >= 300:
                return gateway.Unavailable(f"status {response.status}", response.status)
            return msgspec.json.decode(response.data) if response.data else {}
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return gateway.Unavailable(f"no answer: {type(error).__name__}")
        except msgspec.DecodeError:
            return gateway.Unavailable("the answer is not JSON")


def _parse_event(event):
    _, sign, scope, part_id, tokens = event[:5]
    return gateway.StoreEvent(scope, part_id, tokens, sign == ADDED_SIGN)
