"""Run model engines that only send tokens at a fixed interval.

The text of each token contains the time at which it was sent, so that a reader in
another process of the same host can compute its delay. Prints a JSON list of the
engines' ports. ``GET /bytes`` returns the number of bytes that all engines have
received and sent so far, without the token streams.
"""

import argparse
import asyncio
import hashlib
import json
import time
import urllib.parse

import attrs
import msgspec

TOKEN_INTERVAL_S = 0.041
BOOT_ID = "source-1"
MAX_EVENTS_PER_RESPONSE = 2000
STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/jsonl\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)


def main():
    """Serve until the process ends."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--engines", type=int, default=1)
    parser.add_argument(
        "--blocks", type=int, default=0, help="cached blocks per engine"
    )
    asyncio.run(_serve(parser.parse_args()))


@attrs.define
class _Engine:
    number: int
    blocks: int
    byte_count: "_ByteCount"

    async def handle_connection(self, reader, writer):
        """Handle the requests of one connection."""
        try:
            while True:
                head = await _read_head(reader)
                body = await reader.readexactly(head.length)
                self.byte_count.bytes += head.bytes + head.length
                await self.handle_request(writer, head, body)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def handle_request(self, writer, head, body):
        """Respond to one request."""
        path, _, query = head.path.partition("?")
        if path == "/v1/generate":
            await _stream(writer, msgspec.json.decode(body))
        elif path == "/v1/load":
            value = {"boot_id": BOOT_ID, "running": 0, "queued": 0, "limit": 1000}
            self.send_response(
                writer, value | {"model": "m", "version": "v1", "warm": True}
            )
        elif path == "/v1/cache-events":
            after = int(urllib.parse.parse_qs(query)["after"][0])
            self.send_response(
                writer, {"boot_id": BOOT_ID, "events": self.make_events(after)}
            )
        else:
            self.send_response(writer, {"bytes": self.byte_count.bytes})

    def make_events(self, after):
        """Return the next cache events after event number ``after``."""
        last = min(self.blocks, after + MAX_EVENTS_PER_RESPONSE)
        return [
            {"number": number, "kind": "stored", "key": self.make_key(number)}
            for number in range(after + 1, last + 1)
        ]

    def make_key(self, number):
        """Return the key of a block."""
        return hashlib.sha256(f"{self.number} {number}".encode()).hexdigest()

    def send_response(self, writer, value):
        """Send a JSON response."""
        body = msgspec.json.encode(value)
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        self.byte_count.bytes += len(head) + len(body)
        writer.write(head + body)


@attrs.define
class _ByteCount:
    bytes: int = 0


async def _serve(options):
    byte_count = _ByteCount()
    servers = []
    for number in range(options.engines):
        engine = _Engine(number, options.blocks, byte_count)
        servers.append(
            await asyncio.start_server(engine.handle_connection, "127.0.0.1", 0)
        )
    ports = [server.sockets[0].getsockname()[1] for server in servers]
    print(json.dumps(ports), flush=True)
    await asyncio.gather(*(server.serve_forever() for server in servers))


@attrs.frozen
class _Head:
    method: str
    path: str
    length: int
    bytes: int


async def _read_head(reader):
    text = await reader.readuntil(b"\r\n\r\n")
    lines = text.decode().split("\r\n")
    method, path, _ = lines[0].split(" ")
    length = 0
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name.lower() == "content-length":
            length = int(value)
    return _Head(method, path, length, len(text))


async def _stream(writer, request):
    request_id = request["request_id"]
    writer.write(STREAM_HEAD)
    first = {"boot_id": BOOT_ID, "version": "v1", "cached_tokens": 0}
    _write_line(writer, {"request_id": request_id, "prompt_tokens": 1} | first)
    start_s = time.monotonic()
    for index in range(request.get("start_at", 0), request["max_tokens"]):
        due_s = start_s + index * TOKEN_INTERVAL_S
        await asyncio.sleep(max(0.0, due_s - time.monotonic()))
        text = f"@{time.monotonic():.6f}@"
        _write_line(writer, {"request_id": request_id, "index": index, "text": text})
        if writer.is_closing():
            raise ConnectionResetError
    end = {"done": True, "count": request["max_tokens"], "reason": "length"}
    _write_line(writer, {"request_id": request_id} | end)
    writer.write(b"0\r\n\r\n")


def _write_line(writer, value):
    line = msgspec.json.encode(value) + b"\n"
    writer.write(b"%x\r\n%b\r\n" % (len(line), line))


if __name__ == "__main__":
    main()
