"""Deterministic requests to stand-ins in this process, without sockets."""

import io
import urllib.parse

import attrs
import urllib3

from sycamorespoke import clients


@attrs.frozen
class Response:
    status: int
    headers: urllib3.HTTPHeaderDict
    data: bytes


@attrs.define
class InProcessPool:
    """Passes requests directly to stand-ins, in place of `HostPool`.

    Parameters
    ----------
    standins_by_host : dict of str to Standin
        Stand-ins by host name. Requests to other hosts fail.
    requests : list of (str, str, str)
        Host name, method and path of each request so far.
    """

    standins_by_host: dict = attrs.field(factory=dict)
    requests: list = attrs.field(factory=list)

    def request(self, method, host, path, body=None, headers=None, timeout_s=None):
        self.requests.append((host.name, method, path))
        standin = self.standins_by_host.get(host.name)
        if standin is None:
            return clients.Unavailable(f"{host.name} is not running")
        started = []
        try:
            data = b"".join(
                standin.app(
                    _make_environ(method, path, body, headers),
                    lambda status, headers: started.append((status, headers)),
                )
            )
        except OSError as error:
            return clients.Unavailable(str(error))
        status, pairs = started[0]
        return Response(int(status.split()[0]), urllib3.HTTPHeaderDict(pairs), data)


def _make_environ(method, path, body, headers):
    parts = urllib.parse.urlsplit(path)
    body = body or b""
    environ = {
        "REQUEST_METHOD": method,
        "PATH_INFO": urllib.parse.unquote(parts.path),
        "QUERY_STRING": parts.query,
        "CONTENT_LENGTH": str(len(body)),
        "wsgi.input": io.BytesIO(body),
    }
    for name, value in (headers or {}).items():
        environ["HTTP_" + name.upper().replace("-", "_")] = value
    return environ
