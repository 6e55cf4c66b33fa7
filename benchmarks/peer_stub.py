"""Peers of one daemon: each answers heartbeats and sends one each second.

Reads the daemon's peer address from the first line of its input, after it
has printed a JSON list of its own ports. Prints the bytes of all frames so
far in answer to each further line.
"""

import argparse
import json
import sys
import threading
import time

from sycamorespoke import messages

INTERVAL_S = 1.0
ANSWER_WITHIN_S = 0.5
NNG_HEADER_BYTES = 12


class PeerStub:
    """One peer.

    Parameters
    ----------
    number : int
        Part of its name.
    data_centre : str
        Its data centre.
    shared_key : str
        Key of the deployment.
    """

    def __init__(self, number, data_centre, shared_key):
        self.name = f"{data_centre}-peer-{number}"
        self.data_centre = data_centre
        self.bytes = 0
        self.revisions = {}
        self._codec = messages.Codec(shared_key)
        self._server = messages.Server("127.0.0.1:0", shared_key, self._answer, 1)
        self.address = self._server.address
        self._peer = None

    def connect(self, address):
        """Connect to the daemon."""
        self._peer = messages.Peer(address, self._codec)

    def send(self):
        """Send one heartbeat."""
        heartbeat = self._make(messages.Heartbeat)
        reply = self._peer.send_request(heartbeat, ANSWER_WITHIN_S)
        self._count(heartbeat)
        if isinstance(reply, messages.HeartbeatReply):
            self._count(reply)
            self.revisions = {
                kind.value: getattr(reply, kind.value) for kind in messages.DocumentKind
            }

    def _answer(self, message):
        reply = self._make(messages.HeartbeatReply)
        self._count(message)
        self._count(reply)
        return reply

    def _make(self, message_class):
        return message_class(
            name=self.name,
            data_centre=self.data_centre,
            boot_id="stub",
            address=self.address,
            ready=True,
            confirmed_age_s=0.1,
            in_flight_by_upstream=self._in_flight(message_class),
            **self.revisions,
        )

    def _in_flight(self, message_class):
        # As a member does, a reply leaves it out.
        if message_class is messages.HeartbeatReply:
            return {}
        return {f"{self.data_centre}-engine-{n}": 3 for n in range(8)}

    def _count(self, message):
        frame = self._codec.encode(message, bytes(8), messages.Direction.REQUEST)
        self.bytes += len(frame) + NNG_HEADER_BYTES


def main():
    """Run until the input ends."""
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
        started = time.monotonic()
        for number, stub in enumerate(stubs):
            due = started + INTERVAL_S * number / len(stubs)
            time.sleep(max(0.0, due - time.monotonic()))
            stub.send()
        time.sleep(max(0.0, started + INTERVAL_S - time.monotonic()))


if __name__ == "__main__":
    main()
