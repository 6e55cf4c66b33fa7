"""Forward TCP connections to a port and count the bytes in both directions.

Prints the port it listens on, then the number of bytes so far for each line of
input.
"""

import argparse
import asyncio
import sys

READ_BYTES = 65536


class ByteCounter:
    """Forwards connections to a local port and counts their bytes.

    Parameters
    ----------
    port : int
        Port to which connections are forwarded.
    """

    def __init__(self, port):
        self.port = port
        self.bytes = 0

    async def forward(self, reader, writer):
        """Forward one connection until both directions have ended."""
        upstream_reader, upstream_writer = await asyncio.open_connection(
            "127.0.0.1", self.port
        )
        await asyncio.gather(
            self._copy(reader, upstream_writer), self._copy(upstream_reader, writer)
        )

    async def _copy(self, reader, writer):
        try:
            while data := await reader.read(READ_BYTES):
                self.bytes += len(data)
                writer.write(data)
        except OSError:
            pass
        finally:
            writer.close()


async def _run(port):
    counter = ByteCounter(port)
    server = await asyncio.start_server(counter.forward, "127.0.0.1", 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    loop = asyncio.get_running_loop()
    while await loop.run_in_executor(None, sys.stdin.readline):
        print(counter.bytes, flush=True)


def main():
    """Run until the standard input ends."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    asyncio.run(_run(parser.parse_args().port))


if __name__ == "__main__":
    main()
