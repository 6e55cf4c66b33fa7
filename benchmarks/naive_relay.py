"""Naive relay: a waitress thread per request that forwards chunks from urllib3."""

import argparse

import urllib3
import waitress

THREADS = 400
CONNECTION_LIMIT = 2000


def main():
    """Serve until the process is stopped."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--upstream-port", type=int, required=True)
    options = parser.parse_args()
    pool = urllib3.PoolManager(maxsize=THREADS, retries=False)
    url = f"http://127.0.0.1:{options.upstream_port}/v1/generate"
    waitress.serve(
        make_app(pool, url),
        listen=f"127.0.0.1:{options.port}",
        threads=THREADS,
        connection_limit=CONNECTION_LIMIT,
        channel_request_lookahead=1,
        ident=None,
    )


def make_app(pool, url):
    """Return the WSGI application that forwards each request to ``url``."""

    def app(environ, start_response):
        body = environ["wsgi.input"].read()
        response = pool.request("POST", url, body=body, preload_content=False)
        start_response("200 OK", [("Content-Type", "application/jsonl")])
        return iterate_chunks(response)

    def iterate_chunks(response):
        try:
            yield from response.read_chunked()
        finally:
            response.close()

    return app


if __name__ == "__main__":
    main()
