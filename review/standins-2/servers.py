"""Stand-ins of servers: plain services and streams of events."""

import http.server
import json
import threading
import time


class Server:
    """One server on a loopback port; each start of it is a new boot.

    Parameters
    ----------
    service : str
        Name of its service.
    id : str
        Its ID in the store.
    zone : str
        Its zone.
    answer : callable
        Gets the `Handler` of one request and writes the answer.
    """

    def __init__(self, service, id, zone, answer, version="1.0", models=None):
        self.service = service
        self.id = id
        self.zone = zone
        self.answer = answer
        self.version = version
        self.models = models or []
        self.born = int(time.time() * 1000)
        self.seq = 0
        # A `deployment.Record` for what is run, if it is set.
        self.record = None
        self.arrivals = []
        self.runs = []
        self.lock = threading.Lock()
        server = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def _serve(self):
                length = int(self.headers.get("Content-Length") or 0)
                self.body = self.rfile.read(length) if length else b""
                self.request_id = self.headers.get("X-Sycamorespoke-Request-Id", "")
                expected = self.headers.get("X-Sycamorespoke-Expect-Instance")
                if self.path.startswith("/sycamorespoke/"):
                    self.serve_own()
                    return
                if expected not in (None, server.id):
                    self.reply(421, b"", {"X-Sycamorespoke-Not-Run": "1"})
                    return
                with server.lock:
                    server.arrivals.append((time.monotonic(), self.request_id))
                server.answer(self)

            def serve_own(self):
                if self.path.startswith("/sycamorespoke/report"):
                    self.reply_json(server.report())
                else:
                    self.reply(404, b"")

            def run(self):
                """Count the request as run."""
                with server.lock:
                    server.runs.append((time.monotonic(), self.request_id))
                if server.record is not None:
                    server.record.write(f"server {server.id} runs {self.request_id}")

            def reply_json(self, value):
                headers = {"Content-Type": "application/json"}
                self.reply(200, json.dumps(value).encode(), headers)

            def reply(self, status, body, headers=None):
                self.send_response(status)
                self.send_header("X-Sycamorespoke-Request-Id", self.request_id)
                if 200 <= status < 300:
                    stamp = f"{server.id}.{self.request_id}"
                    self.send_header("X-Sycamorespoke-Response-Stamp", stamp)
                for name, text in (headers or {}).items():
                    self.send_header(name, text)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def begin_stream(self):
                """Write the head of a stream of events in chunks."""
                self.send_response(200)
                self.send_header("Content-Type", "text/event-stream")
                self.send_header("X-Sycamorespoke-Request-Id", self.request_id)
                stamp = f"{server.id}.{self.request_id}"
                self.send_header("X-Sycamorespoke-Response-Stamp", stamp)
                self.send_header("Transfer-Encoding", "chunked")
                self.end_headers()

            def write_chunk(self, data):
                self.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))
                self.wfile.flush()

            def end_stream(self):
                self.wfile.write(b"0\r\n\r\n")
                self.wfile.flush()

            do_GET = do_POST = do_PUT = do_DELETE = _serve  # noqa: N815

            def log_message(self, *args):
                pass

        class HttpServer(http.server.ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 256

            def handle_error(self, request, client_address):
                pass

        self._make_server = lambda port: HttpServer(("127.0.0.1", port), Handler)
        self._server = self._make_server(0)
        self.address = f"127.0.0.1:{self._server.server_address[1]}"
        self._serve()

    def _serve(self):
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def stop_listening(self):
        """Accept no more connections, as when the process has ended."""
        self._server.shutdown()
        self._server.server_close()

    def listen_again(self):
        """Accept connections at the same address."""
        self._server = self._make_server(int(self.address.rpartition(":")[2]))
        self._serve()

    def entry(self, state="ready"):
        """Return the entry that the server writes into the store."""
        self.seq += 1
        return {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": self.version,
            "Slots": 6,
            "State": state,
            "ColdRemainingMs": 0,
            "Seq": self.seq,
            "born": self.born,
            "Models": self.models,
        }

    def report(self):
        """Return what the server says of itself."""
        return {
            "Stage": "colocated",
            "Models": self.models,
            "Busy": False,
            "Seq": 0,
            "Waiting": 0,
            "Running": 0,
            "KvUsed": 0,
            "KvTotal": 1,
            "Handles": 0,
        }


class Heartbeats:
    """Writes the entries of servers again, as long as they are not silenced."""

    def __init__(self, deployment, servers, interval_s=1.2):
        self.deployment = deployment
        self.silent_ids = set()
        self.interval_s = interval_s
        self.servers = servers
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self):
        while True:
            for server in self.servers:
                if server.id not in self.silent_ids:
                    self.deployment.register(server)
            time.sleep(self.interval_s)
