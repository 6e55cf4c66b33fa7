"""Client of the model engines: their reports, and orders to them."""

import urllib3

from sycamorespoke import clients, gateway, objects
from sycamorespoke.platform import _names, _objects, _protocol

CONNECT_TIMEOUT_S = 0.3
READ_TIMEOUT_S = 0.6
# A report shows whether an order without a response was accepted.
ORDER_TIMEOUT_S = 0.2
MAX_POOLS = 64
WIRE_MODE_BY_ROLLOUT_MODE = {
    gateway.RolloutMode.FINISH_FIRST: "queue",
    gateway.RolloutMode.CONTINUE: "in_place",
    gateway.RolloutMode.ABORT: "truncate",
}
OUTCOME_BY_STATUS = {
    200: gateway.OrderOutcome.ALREADY_LOADED,
    202: gateway.OrderOutcome.ACCEPTED,
    409: gateway.OrderOutcome.BUSY,
    412: gateway.OrderOutcome.FENCED,
}


class EngineClient:
    """Reads reports of engines and sends them orders; safe to share among threads.

    Parameters
    ----------
    holder : str
        Name of this host, which holds the lease under which it sends orders.
    """

    def __init__(self, holder):
        self.holder = holder
        self._pools = clients.ReplyPoolManager(
            num_pools=MAX_POOLS, maxsize=2, retries=False
        )

    def read_report(self, upstream):
        """Read the status report of an engine, some hundred milliseconds old.

        Parameters
        ----------
        upstream : gateway.Upstream
            Engine whose report is read.

        Returns
        -------
        gateway.EngineReport or objects.Unavailable
            Accepted orders, whether weights are being loaded, and weight versions.
        """
        url = f"http://{upstream.address}{_names.REPORT_PATH}"
        response = _send(self._pools, "GET", url, READ_TIMEOUT_S)
        if isinstance(response, objects.Unavailable):
            return response
        statements = _protocol.parse_statements(response)
        if response.status != 200:
            return objects.Unavailable(
                f"status {response.status}", response.status, statements=statements
            )
        try:
            value = clients.decode_document(response.data)
            return gateway.EngineReport(
                # "Seq" counts the orders accepted since the engine started.
                orders=clients.read_field(value, "Seq", int),
                # "Busy": the engine carries out an order.
                is_loading=clients.read_field(value, "Busy", bool),
                versions_by_model=_objects.parse_versions(
                    clients.read_field(value, "Models", list)
                ),
                statements=statements,
            )
        except (clients.MalformedDocumentError, clients.MalformedFieldError) as error:
            return objects.Unavailable(f"malformed report: {error}")

    def order_version(self, upstream, order):
        """Order an engine to load a weight version of a model.

        Parameters
        ----------
        upstream : gateway.Upstream
            Engine to load it; another engine at the same address refuses the order.
        order : gateway.VersionOrder
            Model, weight version and fencing number.

        Returns
        -------
        gateway.OrderResult
            Its outcome is `gateway.OrderOutcome.UNKNOWN` if there was no response;
            the engine may have accepted the order.
        """
        content = {
            "Op": "Version",
            "Model": order.model,
            "Version": order.version,
            "Mode": WIRE_MODE_BY_ROLLOUT_MODE[order.mode],
            "Holder": self.holder,
            "Fence": order.fencing_number,
            # Orders accepted so far. The engine carries this one out only if it has
            # accepted no other since.
            "Precondition": order.after_orders,
        }
        headers = {_names.EXPECT_INSTANCE: upstream.id}
        # Responses do not name their order.
        with clients.open_single_use_reply_pool(upstream.address) as pool:
            response = _send(
                pool, "POST", _names.ORDER_PATH, ORDER_TIMEOUT_S, content, headers
            )
        if isinstance(response, objects.Unavailable):
            return gateway.OrderResult(gateway.OrderOutcome.UNKNOWN)
        return gateway.OrderResult(
            OUTCOME_BY_STATUS.get(response.status, gateway.OrderOutcome.REFUSED),
            _protocol.parse_statements(response),
        )


def _send(pool, method, url, timeout_s, content=None, headers=None):
    timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=timeout_s)
    try:
        return clients.send_json(pool, method, url, timeout, content, headers)
    except (urllib3.exceptions.HTTPError, OSError) as error:
        return objects.Unavailable(f"no response: {type(error).__name__}")
