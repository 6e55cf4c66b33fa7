"""Runs a gateway that reaches each upstream through a link of its own.

``LINKS`` holds the addresses of the links by those of the upstreams, as JSON.
"""

import json
import os

import attrs

from sycamorespoke.platform import __main__, _objects

LINKS_VARIABLE = "LINKS"


def use_links(link_by_address):
    """Have the gateway take upstreams for listed at the addresses of their links."""
    parse_upstream = _objects.parse_upstream

    def parse_linked(stored, now):
        upstream = parse_upstream(stored, now)
        address = link_by_address.get(upstream.address, upstream.address)
        return attrs.evolve(upstream, address=address)

    _objects.parse_upstream = parse_linked


if __name__ == "__main__":
    use_links(json.loads(os.environ[LINKS_VARIABLE]))
    os._exit(__main__.main())
