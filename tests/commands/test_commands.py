import json

import pytest
from cleo.io.outputs import buffered_output

from sycamorespoke import clients, commands, domain, messages
from tests import fakes

KEY = "ab" * 32
ASKED = "  # asked by Salma: x\n"
TEXT = f"deployment abrr{ASKED}data-centre seeb{ASKED}data-centre ruwi{ASKED}"


class Platform(fakes.FakePlatform):
    """Fake platform that also lists objects and hosts."""

    hosts = domain.HostList(
        1,
        {
            name: domain.Host(name, name.split("-")[0], role, "127.0.0.1:1", address)
            for name, role, address in (
                ("seeb-entry-1", domain.HostRole.ENTRY, "127.0.0.1:2"),
                ("ruwi-entry-1", domain.HostRole.ENTRY, ""),
                ("seeb-scribe-1", domain.HostRole.UPSTREAM, ""),
            )
        },
    )

    def list(self, prefix):
        if self.is_down:
            return clients.Unavailable("down")
        return {
            name: version
            for name, version in self._versions_by_name.items()
            if name.startswith(prefix)
        }

    def watch_hosts(self, after, wait_s):
        return clients.Unavailable("down") if self.is_down else self.hosts


def reply(address, shared_key, message, timeout_s):
    if isinstance(message, messages.DumpRequest):
        return messages.DumpReply({"requests": 3})
    return messages.InForceReply("seeb-entry-1", "seeb", True, 9, 9, 1)


@pytest.fixture
def platform():
    return Platform()


@pytest.fixture
def run(platform, tmp_path):
    path = tmp_path / "rules.txt"
    path.write_text(TEXT, encoding="utf-8")

    def run_command(*words, shared_key=KEY, text=None):
        if text is not None:
            path.write_text(text, encoding="utf-8")
        output = buffered_output.BufferedOutput()
        seconds = [0.0]
        clock = commands.Clock(
            lambda: seconds[0],
            lambda duration_s: seconds.__setitem__(0, seconds[0] + duration_s),
            lambda: "2026-12-03",
        )

        def make_context(*_):
            return commands.Context(
                platform, shared_key, "Salma", clock, send_request=reply
            )

        line = [str(path) if word == "FILE" else word for word in words]
        code = commands.run(line, make_context, output, output)
        return code, output.fetch()

    return run_command


@pytest.mark.parametrize(
    ("words", "code"),
    [
        (["rules", "check", "FILE"], commands.ExitCode.DONE),
        (["rules", "check", "no-such-file"], commands.ExitCode.REFUSED),
        (["rules", "check"], commands.ExitCode.USAGE),
        (["rules", "apply", "FILE", "--base", "x"], commands.ExitCode.USAGE),
        (["rules", "apply", "FILE", "--base", "1"], commands.ExitCode.CONFLICT),
        (["rules", "apply", "FILE", "--no-wait"], commands.ExitCode.DONE),
        (["rules", "apply", "FILE"], commands.ExitCode.NOT_IN_FORCE),
        (["rules", "diff", "FILE"], commands.ExitCode.DONE),
        (["rules", "show"], commands.ExitCode.REFUSED),
        (["rules", "show", "x"], commands.ExitCode.REFUSED),
        (["no-such-command"], commands.ExitCode.USAGE),
        (["upstream", "out", "seeb-scribe-2"], commands.ExitCode.REFUSED),
        (["upstream", "out", "seeb-scribe-1"], commands.ExitCode.REFUSED),
        (
            ["upstream", "out", "seeb-scribe-1", "--force", "--no-wait"],
            commands.ExitCode.DONE,
        ),
        (["data-centre", "out", "qurum"], commands.ExitCode.REFUSED),
        (["data-centre", "out", "seeb", "--no-wait"], commands.ExitCode.DONE),
        (["status"], commands.ExitCode.NOT_IN_FORCE),
        (["dump", "seeb-entry-1"], commands.ExitCode.DONE),
        (["dump", "127.0.0.1:2"], commands.ExitCode.DONE),
        (["dump", "seeb-scribe-1"], commands.ExitCode.REFUSED),
    ],
)
def test_run_exit_code(run, words, code):
    assert run(*words)[0] == code


@pytest.mark.parametrize(
    "words",
    [
        ["rules", "apply", "FILE"],
        ["rules", "diff", "FILE"],
        ["rules", "show"],
        ["rules", "history"],
        ["data-centre", "out", "seeb"],
        ["data-centre", "out", "seeb", "--force"],
        ["upstream", "list"],
        ["status"],
        ["dump", "seeb-entry-1"],
    ],
)
def test_run_platform_down(run, platform, words):
    platform.is_down = True
    code, output = run(*words, "--json")
    assert code == commands.ExitCode.PLATFORM_UNAVAILABLE, output
    assert platform.writes == 0


def test_run_internal_error(run, platform, monkeypatch, capsys):
    monkeypatch.setattr(platform, "get", lambda name: 1 / 0)
    assert run("status")[0] == commands.ExitCode.INTERNAL
    assert "ZeroDivisionError" in capsys.readouterr().err


@pytest.mark.parametrize("written_after", [0, 1])
def test_run_interrupted(run, platform, monkeypatch, written_after):
    def interrupt(name, value, version):
        if written_after:
            fakes.FakePlatform.put(platform, name, value, version)
        raise KeyboardInterrupt

    monkeypatch.setattr(platform, "put", interrupt)
    code, output = run("rules", "apply", "FILE")
    assert code == commands.ExitCode.INTERRUPTED
    assert "nothing was applied" not in output


def test_rules_check_json(run):
    code, output = run("rules", "check", "FILE", "--json", text=TEXT + "zone a")
    assert code == commands.ExitCode.REFUSED
    value, _ = json.JSONDecoder().raw_decode(output)
    assert [(fault["line"], fault["column"]) for fault in value["faults"]] == [
        (4, 1),
        (4, 7),
    ]


def test_rules_show_does_not_interpret_markup(run):
    text = TEXT + "# <error>not markup</error>\n"
    run("rules", "apply", "FILE", "--no-wait", text=text)
    assert run("rules", "show") == (0, text)


def test_data_centre_list(run):
    run("rules", "apply", "FILE", "--no-wait")
    run("data-centre", "out", "seeb", "--no-wait")
    assert run("data-centre", "list")[1] == "ruwi in\nseeb out\n"
    assert run("data-centre", "out", "ruwi")[0] == commands.ExitCode.REFUSED


def test_rules_apply_without_shared_key_reports_committed(run):
    code, output = run("rules", "apply", "FILE", shared_key="")
    assert code == commands.ExitCode.NOT_IN_FORCE
    assert "the change is committed; the hosts were not queried" in output
