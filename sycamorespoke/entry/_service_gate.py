"""Keeps requests away from plain services that want a backoff."""

import time

from sycamorespoke import domain


class GatedServiceClient:
    """Sends requests to plain services that may get requests now.

    Parameters
    ----------
    service_client : clients.ServiceClient
        Client of plain services.
    chooser : Chooser
        Answers whether a request may go to an upstream.
    table : UpstreamTable
        Keeps the backoffs that upstreams ask for.
    """

    def __init__(self, service_client, chooser, table):
        self.service_client = service_client
        self.chooser = chooser
        self.table = table

    def send(self, host, *arguments, **options):
        """Send a request once, see `clients.ServiceClient.send`."""
        if not self.chooser.is_open(host, time.monotonic()):
            return domain.Refusal(
                domain.ErrorKind.UPSTREAM_REFUSED,
                "the upstream gets no requests any more",
            )
        result = self.service_client.send(host, *arguments, **options)
        if isinstance(result, domain.Refusal):
            self.table.record_refusal(host.name, result, time.monotonic())
        return result
