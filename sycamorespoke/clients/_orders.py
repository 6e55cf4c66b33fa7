"""Client for sending orders to model engines."""

import attrs
import msgspec
import urllib3

from sycamorespoke.clients import _checked_http, _platform

CONNECT_TIMEOUT_S = 0.5
ORDER_TIMEOUT_S = 1.0


@attrs.frozen
class OrderAccepted:
    """Sentinel: the engine has accepted the order and is executing it."""


class OrderClient:
    """Client for sending orders to every model engine; thread-safe.

    Notes
    -----
    Responses do not name their order, so each order has a connection of its own.
    """

    def order_load(self, host, model, version, fencing_number):
        """Order an engine to load a weight version.

        Parameters
        ----------
        host : domain.Host
            The engine.
        model : str
            Model name.
        version : str
            Weight version.
        fencing_number : int
            Fencing number of the lease under which the order is sent.

        Returns
        -------
        OrderAccepted or Conflict or Unavailable or Uncertain
            ``Conflict`` if the engine has seen a higher fencing number.
            ``Uncertain`` if the engine may have received the order.
        """
        order = {
            "order": "load",
            "model": model,
            "version": version,
            "fencing_number": fencing_number,
        }
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=ORDER_TIMEOUT_S)
        try:
            with _checked_http.open_single_use_pool(host.address) as pool:
                response = pool.request(
                    "POST",
                    "/v1/orders",
                    body=msgspec.json.encode(order),
                    headers={"Content-Type": "application/json"},
                    timeout=timeout,
                )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            return _platform.Unavailable(f"cannot connect: {type(error).__name__}")
        except urllib3.exceptions.HTTPError as error:
            return _platform.Uncertain(f"no response: {type(error).__name__}")
        if response.status == 202:
            return OrderAccepted()
        if response.status == 409:
            return _platform.Conflict("the engine has seen a higher fencing number")
        return _platform.Unavailable(f"the engine returned {response.status}")
