"""Links from one host to all upstreams, which can be cut together."""

import json

from tests.fakes import gateway_with_links
from tests.soak import proxy

MODULE = "tests.fakes.gateway_with_links"


class HostLinks:
    """A proxy from one host to each upstream.

    Parameters
    ----------
    addresses : iterable of str
        Addresses of the upstreams.
    """

    def __init__(self, addresses):
        self.proxies_by_address = {
            address: proxy.LoopbackProxy(address) for address in addresses
        }

    def make_environment(self):
        """Return the variables of the process of the host."""
        links = {
            address: link.address for address, link in self.proxies_by_address.items()
        }
        return {gateway_with_links.LINKS_VARIABLE: json.dumps(links)}

    def set_mode(self, mode):
        """Set the mode of all links."""
        for link in self.proxies_by_address.values():
            link.set_mode(mode)

    def close(self):
        """Close all links."""
        for link in self.proxies_by_address.values():
            link.close()
