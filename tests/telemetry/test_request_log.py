"""Selection of the log lines of one request from the logs of several hosts."""

import json

from cleo.io.outputs import buffered_output

from sycamorespoke import commands, telemetry


def make_line(second, host, event, **fields):
    at = f"2026-01-01T00:00:{second:02d}.000000+00:00"
    return json.dumps(
        {"at": at, "level": "INFO", "host": host, "event": event} | fields
    )


LINES = [
    make_line(1, "a", "weights named", versions={"m": 2}),
    make_line(20, "a", "upstream gone", upstream="i-1"),
    make_line(21, "a", "call refused", request_id="other"),
    make_line(22, "a", "attempt failed", request_id="r", upstream="i-2"),
    make_line(23, "a", "call refused", request_id="r", status=503),
    make_line(24, "a", "source lost"),
    make_line(22, "b", "source lost"),
    "Traceback (most recent call last):",
]


def test_select_request_lines_includes_recent_state_events_of_its_host():
    lines = list(filter(None, map(telemetry.parse_line, LINES)))
    selected = telemetry.select_request_lines(lines, "r")
    assert [line.event for line in selected] == [
        "upstream gone",
        "attempt failed",
        "call refused",
    ]
    assert {line.host for line in selected} == {"a"}


def run(arguments):
    output = buffered_output.BufferedOutput()
    status = commands.run(arguments, output=output, error=output)
    return status, output.fetch()


def test_story_command_prints_lines_of_the_request(tmp_path):
    path = tmp_path / "a.log"
    path.write_text("\n".join(f"  1.5 a {line}" for line in LINES))
    status, text = run(["story", "r", str(path)])
    assert status == 0
    assert "attempt failed" in text
    assert "other" not in text


def test_story_command_fails_for_unknown_request_or_missing_file(tmp_path):
    path = tmp_path / "a.log"
    path.write_text("")
    assert run(["story", "r", str(path)])[0] != 0
    assert run(["story", "r", str(tmp_path / "none")])[0] != 0
