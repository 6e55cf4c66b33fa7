"""Servers and peers are closed while other threads use them.

pynng aborts the whole process if a socket is closed while a thread waits on it. The
rounds therefore run in a separate process.
"""

import random
import subprocess
import sys
import threading

import pytest

from sycamorespoke import messages

THREADS = 8
ROUNDS = 40
KEY = "secret"


def send_requests(peer, generator):
    for _ in range(generator.randint(1, 6)):
        peer.send_request(
            messages.InForceRequest(), generator.choice([0.001, 0.01, 0.2])
        )


def run_round(generator):
    server = messages.Server(
        "127.0.0.1:0", KEY, lambda message: message, generator.choice([1, 2, 4])
    )
    peers = [messages.Peer(server.address, messages.Codec(KEY)) for _ in range(3)]
    threads = [
        threading.Thread(target=send_requests, args=(peer, random.Random(number)))
        for number, peer in enumerate(peers)
    ]
    for thread in threads:
        thread.start()
    if generator.random() < 0.5:
        threads[0].join(generator.random() * 0.01)
        server.stop()
    for peer in peers:
        peer.close()
    for thread in threads:
        thread.join()
    server.stop()


def run_rounds(seed):
    generator = random.Random(seed)
    for _ in range(ROUNDS):
        run_round(generator)


def main():
    threads = [
        threading.Thread(target=run_rounds, args=(seed,)) for seed in range(THREADS)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


@pytest.mark.processes
def test_closing_sockets_in_use_does_not_abort_the_process():
    command = [sys.executable, "-m", "tests.messages.test_stop_under_load"]
    process = subprocess.run(command, capture_output=True, text=True, check=False)
    assert process.returncode == 0, process.stderr[:2000]


if __name__ == "__main__":
    main()
