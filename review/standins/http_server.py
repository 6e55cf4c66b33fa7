"""A small HTTP/1.1 server and client on asyncio, for the stand-ins of the review."""

import asyncio
import contextlib


class Request:
    """A request as it arrived.

    Parameters
    ----------
    method, target : str
        Request line.
    headers : dict of str to str
        By name in lower case.
    body : bytes
        Whole body.
    """

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body


class Channel:
    """One connection of a caller, on which a handler writes its response."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self.is_closing = False

    async def respond(self, status, headers=(), body=b"", reason="Status"):
        """Write a response with a length."""
        lines = [f"HTTP/1.1 {status} {reason}", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {text}" for name, text in headers]
        head = "\r\n".join(lines).encode() + b"\r\n\r\n"
        self.writer.write(head + body)
        await self.writer.drain()

    async def start_stream(self, headers=()):
        """Write the head of a stream of events in chunks."""
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        lines += ["Transfer-Encoding: chunked"]
        lines += [f"{name}: {text}" for name, text in headers]
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        await self.writer.drain()

    async def send_chunk(self, data):
        """Write one chunk; an empty one ends the stream."""
        self.writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
        await self.writer.drain()

    def reset(self):
        """Close the connection with a reset."""
        self.is_closing = True
        self.writer.transport.abort()


async def read_head(reader):
    """Return the first line and the headers of a message; ``None`` at its end."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = data.decode("latin-1")[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, text = line.partition(":")
        headers[name.strip().lower()] = text.strip()
    return first, headers


async def read_body(reader, headers, until_end=False):
    """Return the whole body of a message."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if until_end else b""


class Server:
    """Listens on a loopback address and calls a handler for each request.

    Parameters
    ----------
    handle : coroutine function
        Takes a `Request` and its `Channel`.
    """

    def __init__(self, handle):
        self.handle = handle
        self.port = None
        self._server = None
        self._channels = {}

    @property
    def address(self):
        """IP address and port."""
        return f"127.0.0.1:{self.port}"

    async def start(self):
        """Listen, on the port of the last start if there was one."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port or 0, limit=1 << 20
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self):
        """Close the listener and reset all connections, as a crash does."""
        self._server.close()
        for channel, task in list(self._channels.items()):
            channel.reset()
            task.cancel()
        await asyncio.sleep(0)

    async def _serve(self, reader, writer):
        channel = Channel(reader, writer)
        self._channels[channel] = asyncio.current_task()
        try:
            while not channel.is_closing:
                head = await read_head(reader)
                if head is None:
                    break
                method, target, _ = head[0].split(" ", 2)
                body = await read_body(reader, head[1])
                await self.handle(Request(method, target, head[1], body), channel)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            del self._channels[channel]
            writer.close()


class Answer:
    """What a client got: a status, headers and a body, or why there is none."""

    def __init__(self, status, headers, body, failure=""):
        self.status = status
        self.headers = headers
        self.body = body
        self.failure = failure

    def __str__(self):
        if self.failure:
            return f"{self.status or 'no status'}, {self.failure}"
        return f"{self.status}, {len(self.body)} bytes"


async def send(port, method, target, headers, body=b"", timeout_s=20.0):
    """Send one request on a channel of its own and return the `Answer`."""
    status, answer_headers = None, {}
    reader, writer = None, None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {text}" for name, text in headers.items()]
            if method != "GET" or body:
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                return Answer(None, {}, b"", "the channel was closed")
            status, answer_headers = int(head[0].split(" ")[1]), head[1]
            answer_body = await read_body(reader, answer_headers, until_end=True)
            return Answer(status, answer_headers, answer_body)
    except TimeoutError:
        return Answer(status, answer_headers, b"", "the client gave up")
    except (ConnectionError, OSError, asyncio.IncompleteReadError, ValueError) as error:
        return Answer(status, answer_headers, b"", f"broken: {type(error).__name__}")
    finally:
        if writer is not None:
            writer.close()
            with contextlib.suppress(ConnectionError, OSError):
                await writer.wait_closed()
