"""Logging as JSON lines."""

import logging
import sys
import time

import loguru
import msgspec

from sycamorespoke.telemetry import _rate_limit, _sink

SUPPRESSED_REPORT_INTERVAL_S = 1.0
# A message that a library repeats, whatever its arguments, is written this often.
REPEATED_INTERVAL_S = 5.0
MAX_REPEATED_MESSAGES = 100


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
    """Forwards records of the standard ``logging`` module to loguru.

    Records that a library repeats in large numbers are counted, so that they do not
    take the place of the lines that tell what happens.
    """

    def __init__(self):
        super().__init__()
        self._repeated_by_message = {}

    def emit(self, record):
        left_out = self._count_left_out(record)
        if left_out is None:
            return
        exception = record.exc_info[1] if record.exc_info else None
        logger = loguru.logger.bind(library=record.name)
        if left_out:
            logger = logger.bind(left_out=left_out)
        logger.opt(exception=exception).log(record.levelname, record.getMessage())

    def _count_left_out(self, record):
        """Return how many equal records were left out; ``None`` if this one is, too."""
        message = record.name, record.msg
        written_s, left_out = self._repeated_by_message.get(message, (None, 0))
        now = record.created
        if written_s is not None and 0 <= now - written_s < REPEATED_INTERVAL_S:
            self._repeated_by_message[message] = (written_s, left_out + 1)
            return None
        if len(self._repeated_by_message) >= MAX_REPEATED_MESSAGES:
            self._repeated_by_message.clear()
        self._repeated_by_message[message] = (now, 0)
        return left_out


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
