"""One member over a platform in memory, for measurements of its peers' share.

Takes a JSON list of the peers' addresses on the first line of its input and
prints its own address.
"""

import argparse
import json
import sys
import threading

from sycamorespoke import clients, membership, world

RULES = "deployment bench  # asked by the bench: peers\n"


class StillPlatform:
    """A platform on which nothing changes; a watch waits its whole time.

    Parameters
    ----------
    hosts : world.HostList
        The list of hosts.
    """

    def __init__(self, hosts):
        self.hosts = hosts
        self._never = threading.Event()

    def get(self, name):
        """Read an object."""
        if name == "rules":
            return clients.StoredObject({"revision": 1, "text": RULES}, 1)
        return clients.Missing()

    def watch(self, name, after, wait_s):
        """Wait for a change of an object."""
        answer = self.get(name)
        if isinstance(answer, clients.StoredObject) and answer.version != after:
            return answer
        self._never.wait(wait_s)
        return clients.Unchanged()

    def watch_hosts(self, after, wait_s):
        """Wait for a change of the list of hosts."""
        if self.hosts.revision != after:
            return self.hosts
        self._never.wait(wait_s)
        return clients.Unchanged()


def main():
    """Run until the input ends."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--data-centre", required=True)
    parser.add_argument("--shared-key", required=True)
    options = parser.parse_args()
    addresses = json.loads(sys.stdin.readline())
    names = [f"{options.data_centre}-peer-{n}" for n in range(len(addresses))]
    hosts_by_name = {
        name: world.Host(
            name, options.data_centre, world.HostRole.ENTRY, "", peer_address=address
        )
        for name, address in zip(names, addresses, strict=True)
    }
    member = membership.Member.start(
        f"{options.data_centre}-entry-1",
        options.data_centre,
        StillPlatform(world.HostList(1, hosts_by_name)),
        listen="127.0.0.1:0",
        shared_key=options.shared_key,
    )
    print(json.dumps(member.peer_address), flush=True)
    for _ in sys.stdin:
        print(len(member.view.last_heartbeat_s_by_name), flush=True)


if __name__ == "__main__":
    main()
