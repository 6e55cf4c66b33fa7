import io
import json
import logging

import loguru

from sycamorespoke import telemetry


def test_configure_logging_json_lines():
    stream = io.StringIO()
    telemetry.configure_logging("entry-1", stream=stream)
    try:
        loguru.logger.bind(request_id="r", revision=3).info("call ended")
        loguru.logger.debug("not shown")
    finally:
        loguru.logger.remove()
    (line,) = [json.loads(text) for text in stream.getvalue().splitlines()]
    assert line["event"] == "call ended"
    assert (line["host"], line["request_id"], line["revision"]) == ("entry-1", "r", 3)


class FlushedStream(io.StringIO):
    def fileno(self):
        raise OSError


def test_repeated_lines_of_a_library_do_not_displace_others():
    stream = FlushedStream()
    root = logging.getLogger()
    handlers, level = list(root.handlers), root.level
    sink = telemetry.configure_bounded_logging("front-1", stream=stream)
    try:
        for number in range(300):
            logging.getLogger("library").warning("pool is full: %s", number)
        loguru.logger.info("source lost")
        sink.flush(1.0)
    finally:
        loguru.logger.remove()
        logging.basicConfig(handlers=handlers, level=level, force=True)
    events = [json.loads(line)["event"] for line in stream.getvalue().splitlines()]
    assert events == ["pool is full: 0", "source lost"]
