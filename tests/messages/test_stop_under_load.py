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
CONNECTING_ROUNDS = 1000
UNREACHABLE_ADDRESS = "127.0.0.1:9"
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


def run_connecting_rounds(seed, server):
    address = server.address if seed % 2 else UNREACHABLE_ADDRESS
    for _ in range(CONNECTING_ROUNDS):
        peer = messages.Peer(address, messages.Codec(KEY))
        if seed % 3 == 0:
            peer.send_request(messages.InForceRequest(), 0.001)
        peer.close()


def close_connecting_peers():
    server = messages.Server("127.0.0.1:0", KEY, lambda message: message, 2)
    run_threads(run_connecting_rounds, server)
    server.stop()


def run_threads(function, *arguments):
    threads = [
        threading.Thread(target=function, args=(seed, *arguments))
        for seed in range(THREADS)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


FUNCTIONS_BY_NAME = {
    "in use": lambda: run_threads(run_rounds),
    "connecting": close_connecting_peers,
}


def run_process(name):
    command = [sys.executable, "-m", "tests.messages.test_stop_under_load", name]
    return subprocess.run(command, capture_output=True, text=True, check=False)


@pytest.mark.processes
def test_closing_sockets_in_use_does_not_abort_the_process():
    process = run_process("in use")
    assert process.returncode == 0, process.stderr[:2000]


@pytest.mark.processes
def test_closing_peers_that_connect_does_not_abort_the_process():
    process = run_process("connecting")
    assert process.returncode == 0, process.stderr[:2000]


if __name__ == "__main__":
    FUNCTIONS_BY_NAME[sys.argv[1]]()
