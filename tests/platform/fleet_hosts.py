"""Several gateway processes before a fleet of upstreams, and a caller of them all."""

import http.client
import itertools

from tests.fakes import in_process_gateway, upstream_fleet
from tests.platform import test_program

HOSTS = 4
UPSTREAMS = 5


def start_hosts(fleet, folder, gateways):
    """Start the hosts, append them to ``gateways`` and wait until they are ready."""
    for number in range(HOSTS):
        own_folder = folder / f"h{number}"
        own_folder.mkdir()
        name = f'"h{number}"'
        gateways.append(test_program.GatewayProcess(fleet.store, own_folder, name=name))
    assert all(gateway.wait_ready() for gateway in gateways)


class Caller:
    """Sends requests to the hosts in turn; no two prompts are alike.

    Attributes
    ----------
    ports_by_request : dict of str to int
        Port of the host to which each request was sent, by request ID.
    """

    def __init__(self, gateways):
        self.ports_by_request = {}
        self.gateways = itertools.cycle(gateways)
        self.numbers = itertools.count(1)

    def send(self, *shared_blocks):
        """Send a request; return the status, ``None`` without a whole response."""
        number = next(self.numbers)
        blocks = [*shared_blocks, f"f{number:04x}"]
        request_id = f"call-{number}"
        port = next(self.gateways).ports["listen"]
        self.ports_by_request[request_id] = port
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5.0)
        try:
            in_process_gateway.send_request(
                connection,
                f"/{upstream_fleet.ROUTE}/x",
                X_Sycamorespoke_Request_Id=request_id,
                X_Sycamorespoke_Model="m",
                X_Sycamorespoke_Token_Count="300,3",
                X_Sycamorespoke_Prompt_Prefix=",".join(f"{b}:100" for b in blocks),
            )
            response = connection.getresponse()
            response.read()
            return response.status
        except (OSError, http.client.HTTPException):
            return None
        finally:
            connection.close()
