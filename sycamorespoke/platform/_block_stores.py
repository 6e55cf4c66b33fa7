"""Client of the block stores."""

import urllib3

from sycamorespoke import clients, gateway, objects
from sycamorespoke.platform import _names, _protocol

CONNECT_TIMEOUT_S = 0.3
# Margin of the read timeout: without events, the store responds only after the whole
# wait time.
WAIT_SLACK_S = 0.4
READ_TIMEOUT_S = 1.0
MAX_POOLS = 64
ADDED_SIGN = "+"
# What is wrong with one event costs that one.
DIVISIBLE_KEYS = frozenset({"Events"})
# Types of the fields of an event: number, sign, scope, block ID, tokens.
EVENT_TYPES = (int, str, str, str, int)


class BlockStoreClient:
    """Reads events of block stores and frees blocks; safe to share among threads."""

    def __init__(self):
        self._pools = clients.ReplyPoolManager(
            num_pools=MAX_POOLS,
            maxsize=2,
            retries=False,
            socket_options=gateway.SOCKET_OPTIONS,
        )

    def read_events(self, address, since, wait_s):
        """Wait for events of a store.

        Parameters
        ----------
        address : str
            IP address and port of the store.
        since : int
            ``next_number`` of the events that were read last; 0 for the first read.
        wait_s : float
            Longest time that the store waits for an event, seconds, 0.2 to 1.

        Returns
        -------
        gateway.StoreEvents or objects.Unavailable
            `gateway.StoreEvents` has no events if none occurred within ``wait_s``.
        """
        path = f"{_names.KV_EVENTS_PATH}?Since={since}"
        headers = {"Wait-Ms": str(int(wait_s * 1000))}
        content = self._send("GET", address, path, None, headers, wait_s + WAIT_SLACK_S)
        if isinstance(content, objects.Unavailable):
            return content
        try:
            return gateway.StoreEvents(
                epoch=clients.read_field(content, "Epoch", int),
                next_number=clients.read_field(content, "Next", int),
                # "Lost": the store has discarded events after ``since``.
                is_gap=bool(content["Lost"]),
                events=tuple(
                    _parse_event(event)
                    for event in clients.read_field(content, "Events", list)
                    if _is_event(event)
                ),
                clock_ms=clients.check_number(content["clock_ms"], "clock_ms"),
            )
        except (KeyError, clients.MalformedFieldError) as error:
            return objects.Unavailable(f"malformed events: {error!r}")

    def free(self, address, keys, epoch, until_ms):
        """Free blocks of a store.

        Parameters
        ----------
        address : str
            IP address and port of the store.
        keys : list of (str, str)
            Scope and ID of each block.
        epoch : int
            Epoch of the store in which the blocks were read; the store refuses if it
            has restarted since.
        until_ms : int
            Time after which the store refuses, Unix milliseconds of its own clock.

        Returns
        -------
        objects.Unavailable or None
            ``None`` if the store confirmed that the blocks are freed.
        """
        request = {"parts": keys, "Epoch": epoch, "until_ms": until_ms}
        content = self._send(
            "POST", address, _names.KV_FREE_PATH, request, None, READ_TIMEOUT_S
        )
        return content if isinstance(content, objects.Unavailable) else None

    def _send(self, method, address, path, content, headers, timeout_s):
        url = f"http://{address}{path}"
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=timeout_s)
        try:
            response = clients.send_json(
                self._pools, method, url, timeout, content, headers
            )
            if response.status >= 300:
                statements = _protocol.parse_statements(response)
                return objects.Unavailable(
                    f"status {response.status}", response.status, statements=statements
                )
            if not response.data:
                return {}
            return clients.salvage_document(response.data, DIVISIBLE_KEYS)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return objects.Unavailable(f"no response: {type(error).__name__}")
        except clients.MalformedDocumentError:
            return objects.Unavailable("the response is not JSON")


def _is_event(event):
    return (
        isinstance(event, list)
        and len(event) >= len(EVENT_TYPES)
        and all(map(isinstance, event, EVENT_TYPES))
    )


def _parse_event(event):
    _, sign, scope, block_id, tokens = event[:5]
    return gateway.StoreEvent(scope, block_id, tokens, sign == ADDED_SIGN)
