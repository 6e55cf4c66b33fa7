"""Run callers that read token streams and measure the delay of each token.

Prints ``open`` at the start of the measured window and ``close`` at its end, then
the results as one line of JSON.
"""

import argparse
import asyncio
import json
import re
import time

import attrs

SEND_TIME = re.compile(rb"@(\d+\.\d+)@")
READ_BYTES = 65536


@attrs.define
class Measurements:
    """Measurements of all callers.

    Parameters
    ----------
    delays_s : list of float
        Time from sending to receiving each token, seconds.
    gaps_s : list of float
        Time between consecutive tokens of a stream, seconds.
    first_tokens_s : list of float
        Time from the start of a stream to its first token, seconds.
    broken_streams : int
        Streams that ended before they were cancelled.
    is_window_open : bool
        Whether the measured window is open.
    """

    delays_s: list[float] = attrs.field(factory=list)
    gaps_s: list[float] = attrs.field(factory=list)
    first_tokens_s: list[float] = attrs.field(factory=list)
    broken_streams: int = 0
    is_window_open: bool = False


def main():
    """Run the callers and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--path", required=True)
    parser.add_argument("--body", required=True)
    parser.add_argument("--streams", type=int, required=True)
    parser.add_argument("--ramp-s", type=float, required=True)
    parser.add_argument("--window-s", type=float, required=True)
    asyncio.run(_run(parser.parse_args()))


async def _run(options):
    measurements = Measurements()
    tasks = []
    for number in range(options.streams):
        tasks.append(asyncio.create_task(_read(options, number, measurements)))
        await asyncio.sleep(options.ramp_s / options.streams)
    await asyncio.sleep(1.0)
    print("open", flush=True)
    measurements.is_window_open = True
    await asyncio.sleep(options.window_s)
    measurements.is_window_open = False
    print("close", flush=True)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    results = {
        "tokens": len(measurements.delays_s),
        "broken": measurements.broken_streams,
        "delay_p50_ms": percentile(measurements.delays_s, 50) * 1000,
        "delay_p95_ms": percentile(measurements.delays_s, 95) * 1000,
        "gap_p95_ms": percentile(measurements.gaps_s, 95) * 1000,
        "first_token_p95_ms": percentile(measurements.first_tokens_s, 95) * 1000,
    }
    print(json.dumps(results), flush=True)


async def _read(options, number, measurements):
    start_s = time.monotonic()
    reader, writer = await asyncio.open_connection("127.0.0.1", options.port)
    try:
        body = options.body.replace("NUMBER", str(number)).encode()
        writer.write(
            b"POST %b HTTP/1.1\r\nHost: bench\r\nAuthorization: Bearer bench-0\r\n"
            b"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%b"
            % (options.path.encode(), len(body), body)
        )
        last_token_s = None
        while data := await reader.read(READ_BYTES):
            now = time.monotonic()
            for send_time in SEND_TIME.findall(data):
                if last_token_s is None:
                    measurements.first_tokens_s.append(now - start_s)
                elif measurements.is_window_open:
                    measurements.gaps_s.append(now - last_token_s)
                if measurements.is_window_open:
                    measurements.delays_s.append(now - float(send_time))
                last_token_s = now
        measurements.broken_streams += 1
    except OSError:
        measurements.broken_streams += 1
    finally:
        writer.close()


def percentile(values, percent):
    """Return the value below which ``percent`` % of the values lie; NaN if empty."""
    ordered = sorted(values)
    if not ordered:
        return float("nan")
    return ordered[min(len(ordered) - 1, int(len(ordered) * percent / 100))]


if __name__ == "__main__":
    main()
