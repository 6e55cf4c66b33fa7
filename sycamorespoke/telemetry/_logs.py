"""Logs as JSON lines."""

import logging
import sys
import time

import loguru
import msgspec

from sycamorespoke.telemetry import _rate_limit, _sink

SUPPRESSED_REPORT_INTERVAL_S = 1.0


def configure_logging(host, level="INFO", stream=None):
    """Send every log record as one JSON line to a stream.

    Parameters
    ----------
    host : str
        Name of the host, part of each line.
    level : str, default="INFO"
        Least severe level that is written: DEBUG, INFO, WARNING or ERROR.
    stream : file object or None, default=None
        Where the lines go; ``None`` is standard error.
    """
    stream = stream or sys.stderr

    def write(message):
        stream.write(format_record(host, message.record))
        stream.flush()

    loguru.logger.remove()
    loguru.logger.add(write, level=level, format="{message}")


def configure_bounded_logging(host, level="INFO", stream=None):
    """Send log records as JSON lines, never waiting for the stream.

    Parameters
    ----------
    host : str
        Name of the host, part of each line.
    level : str, default="INFO"
        Least severe level that is written. Plain successes have DEBUG.
    stream : file object or None, default=None
        Where the lines go; ``None`` is standard output.

    Returns
    -------
    BoundedSink
        To flush at the end of the process.
    """
    sink = _sink.BoundedSink(stream or sys.stdout)
    limit = _rate_limit.LogRateLimiter()
    reported_s = time.monotonic()

    def write(message):
        nonlocal reported_s
        now = time.monotonic()
        if not limit.admit(message.record["level"].name, now):
            return
        sink.write(format_record(host, message.record))
        if now - reported_s >= SUPPRESSED_REPORT_INTERVAL_S:
            reported_s = now
            suppressed_count = limit.take_suppressed_count()
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
    """Passes on what libraries log in the standard way."""

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
        Record of loguru.

    Returns
    -------
    str
        One line with its end.
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
