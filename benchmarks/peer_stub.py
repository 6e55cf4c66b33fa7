"""Run peers of one daemon that send heartbeats to it and reply to its heartbeats.

Prints a JSON list of the peers' addresses, then reads the daemon's peer address
from the first line of input. For each further line it prints the number of bytes
of all frames so far. Each peer sends one heartbeat per second.
"""

import argparse
import json
import sys
import threading
import time

from sycamorespoke import messages

HEARTBEAT_INTERVAL_S = 1.0
REPLY_TIMEOUT_S = 0.5
NNG_HEADER_BYTES = 12


class PeerStub:
    """Peer that sends heartbeats to one daemon and replies to its heartbeats.

    Parameters
    ----------
    number : int
        Number in the name of the peer.
    data_centre : str
        Data centre of the peer.
    shared_key : str
        Shared key of the deployment.
    """

    def __init__(self, number, data_centre, shared_key):
        self.name = f"{data_centre}-peer-{number}"
        self.data_centre = data_centre
        self.bytes = 0
        self.revisions = {}
        self._codec = messages.Codec(shared_key)
        self._server = messages.Server("127.0.0.1:0", shared_key, self._reply, 1)
        self.address = self._server.address
        self._peer = None

    def connect(self, address):
        """Connect to the daemon at an address."""
        self._peer = messages.Peer(address, self._codec)

    def send(self):
        """Send one heartbeat and adopt the revisions of the reply."""
        heartbeat = self._make_message(messages.Heartbeat)
        reply = self._peer.send_request(heartbeat, REPLY_TIMEOUT_S)
        self._count_bytes(heartbeat)
        if isinstance(reply, messages.HeartbeatReply):
            self._count_bytes(reply)
            self.revisions = {
                kind.value: getattr(reply, kind.value) for kind in messages.DocumentKind
            }

    def _reply(self, message):
        reply = self._make_message(messages.HeartbeatReply)
        self._count_bytes(message)
        self._count_bytes(reply)
        return reply

    def _make_message(self, message_class):
        return message_class(
            name=self.name,
            data_centre=self.data_centre,
            boot_id="stub",
            address=self.address,
            ready=True,
            confirmed_age_s=0.1,
            in_flight_by_upstream=self._get_in_flight(message_class),
            **self.revisions,
        )

    def _get_in_flight(self, message_class):
        # Members omit these numbers from replies.
        if message_class is messages.HeartbeatReply:
            return {}
        return {f"{self.data_centre}-engine-{n}": 3 for n in range(8)}

    def _count_bytes(self, message):
        frame = self._codec.encode(message, bytes(8), messages.Direction.REQUEST)
        self.bytes += len(frame) + NNG_HEADER_BYTES


def main():
    """Run until the standard input ends."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--peers", type=int, required=True)
    parser.add_argument("--data-centre", required=True)
    parser.add_argument("--shared-key", required=True)
    options = parser.parse_args()
    stubs = [
        PeerStub(number, options.data_centre, options.shared_key)
        for number in range(options.peers)
    ]
    print(json.dumps([stub.address for stub in stubs]), flush=True)
    address = sys.stdin.readline().strip()
    for stub in stubs:
        stub.connect(address)
    threading.Thread(target=_send_all, args=[stubs], daemon=True).start()
    for _ in sys.stdin:
        print(sum(stub.bytes for stub in stubs), flush=True)


def _send_all(stubs):
    while True:
        start_s = time.monotonic()
        for number, stub in enumerate(stubs):
            due_s = start_s + HEARTBEAT_INTERVAL_S * number / len(stubs)
            time.sleep(max(0.0, due_s - time.monotonic()))
            stub.send()
        time.sleep(max(0.0, start_s + HEARTBEAT_INTERVAL_S - time.monotonic()))


if __name__ == "__main__":
    main()
