"""Run one member with an in-memory platform, to measure the cost of its peers.

Reads a JSON list of the peers' addresses from the first line of input and prints
its own address as JSON. For each further line of input it prints the number of
peers from which it has received heartbeats.
"""

import argparse
import json
import sys
import threading

from sycamorespoke import clients, domain, membership

RULES = "deployment bench  # asked by the bench: peers\n"


class UnchangingPlatform:
    """Platform client whose objects never change, so that watches time out.

    Parameters
    ----------
    hosts : domain.HostList
        Host list to return.
    """

    def __init__(self, hosts):
        self.hosts = hosts
        self._never_set = threading.Event()

    def get(self, name):
        """Return an object; all but the rules are missing."""
        if name == "rules":
            return clients.StoredObject({"revision": 1, "text": RULES}, 1)
        return clients.Missing()

    def watch(self, name, after, wait_s):
        """Return an object if it differs from version ``after``, else wait."""
        result = self.get(name)
        if isinstance(result, clients.StoredObject) and result.version != after:
            return result
        self._never_set.wait(wait_s)
        return clients.Unchanged()

    def watch_hosts(self, after, wait_s):
        """Return the host list if it differs from revision ``after``, else wait."""
        if self.hosts.revision != after:
            return self.hosts
        self._never_set.wait(wait_s)
        return clients.Unchanged()


def main():
    """Run until the standard input ends."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--data-centre", required=True)
    parser.add_argument("--shared-key", required=True)
    options = parser.parse_args()
    addresses = json.loads(sys.stdin.readline())
    names = [f"{options.data_centre}-peer-{n}" for n in range(len(addresses))]
    hosts_by_name = {
        name: domain.Host(
            name, options.data_centre, domain.HostRole.ENTRY, "", peer_address=address
        )
        for name, address in zip(names, addresses, strict=True)
    }
    member = membership.Member.start(
        f"{options.data_centre}-entry-1",
        options.data_centre,
        UnchangingPlatform(domain.HostList(1, hosts_by_name)),
        listen="127.0.0.1:0",
        shared_key=options.shared_key,
    )
    print(json.dumps(member.peer_address), flush=True)
    for _ in sys.stdin:
        print(len(member.view.last_heartbeat_s_by_name), flush=True)


if __name__ == "__main__":
    main()
