"""Logging as JSON lines."""

import logging
import sys
import time

import loguru
import msgspec

from sycamorespoke.telemetry import _rate_limit, _sink

SUPPRESSED_REPORT_INTERVAL_S = 1.0


def configure_logging(host, level="INFO", stream=None):
    """Configure logging to write every record as one JSON line to a stream.

    Parameters
    ----------
    host : str
        Name of the host, part of each line.
    level : str, default="INFO"
        Lowest level that is written: DEBUG, INFO, WARNING or ERROR.
    stream : file object or None, default=None
        Stream that the lines are written to; ``None`` is standard error.
    """
    stream = stream or sys.stderr

    def write(message):
        stream.write(format_record(host, message.record))
        stream.flush()

    loguru.logger.remove()
    loguru.logger.add(write, level=level, format="{message}")


def configure_bounded_logging(host, level="INFO", stream=None):
    """Configure logging to write JSON lines without blocking on the stream.

    Lines are rate-limited and queued; lines that exceed the rate or the queue are
    dropped and counted.

    Parameters
    ----------
    host : str
        Name of the host, part of each line.
    level : str, default="INFO"
        Lowest level that is written. Routine successes are logged at DEBUG.
    stream : file object or None, default=None
        Stream that the lines are written to; ``None`` is standard output.

    Returns
    -------
    BoundedSink
        Sink to flush at the end of the process.
    """
    sink = _sink.BoundedSink(stream or sys.stdout)
    limiter = _rate_limit.LogRateLimiter()
    reported_s = time.monotonic()

    def write(message):
        nonlocal reported_s
        now = time.monotonic()
        if not limiter.admit(message.record["level"].name, now):
            return
        sink.write(format_record(host, message.record))
        if now - reported_s >= SUPPRESSED_REPORT_INTERVAL_S:
            reported_s = now
            suppressed_count = limiter.take_suppressed_count()
            if suppressed_count:
                line = {
                    "host": host,
                    "event": "lines left out",
                    "count": suppressed_count,
                }
                sink.write(msgspec.json.encode(line).decode() + "\n")

    loguru.logger.remove()
    loguru.logger.add(write, level=level, format="{message}", catch=True)
    logging.basicConfig(handlers=[_LoguruHandler()], level=logging.WARNING, force=True)
    return sink


class _LoguruHandler(logging.Handler):
    """Forwards records of the standard ``logging`` module to loguru."""

    def emit(self, record):
        exception = record.exc_info[1] if record.exc_info else None
        logger = loguru.logger.bind(library=record.name)
        logger.opt(exception=exception).log(record.levelname, record.getMessage())


def format_record(host, record):
    """Format a log record as a JSON line.

    Parameters
    ----------
    host : str
        Name of the host.
    record : dict
        A loguru record.

    Returns
    -------
    str
        JSON object followed by a newline.
    """
    line = {
        "at": record["time"].isoformat(),
        "level": record["level"].name,
        "host": host,
        "event": record["message"],
        **record["extra"],
    }
    if record["exception"] is not None:
        line["exception"] = repr(record["exception"].value)
    return msgspec.json.encode(line, enc_hook=str).decode() + "\n"
