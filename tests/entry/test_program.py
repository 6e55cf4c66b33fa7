import time

import attrs
import pytest

from sycamorespoke import domain, entry, settings

GROUP = domain.UpstreamGroup("bibdesk", domain.UpstreamKind.SERVICE, limit=8)


@pytest.fixture
def program():
    entry_settings = settings.EntrySettings(
        name="entry-1",
        data_centre="seeb",
        listen="127.0.0.1:0",
        operators_listen="127.0.0.1:0",
        peer_listen="127.0.0.1:0",
        platform="http://127.0.0.1:9",
        shared_key="5c" * 32,
    )
    result = entry.EntryProgram(entry_settings)
    yield result
    result.claims.stop()
    result.member.stop()


def make_view(program, revision=1, confirmed_s=None):
    host = domain.Host(
        "bibdesk-1", "seeb", domain.HostRole.UPSTREAM, "127.0.0.1:1", group="bibdesk"
    )
    return attrs.evolve(
        program.member.view,
        configuration=domain.Configuration(
            revision=revision, groups_by_name={"bibdesk": GROUP}
        ),
        hosts=domain.HostList(1, {"bibdesk-1": host}),
        confirmed_s=time.monotonic() if confirmed_s is None else confirmed_s,
    )


def test_apply_configuration_ignores_older_view(program):
    program.apply_configuration(make_view(program, revision=2))
    program.apply_configuration(make_view(program, revision=1))
    assert program.admission.configuration.revision == 2


def test_update_keeps_upstreams_if_view_is_unconfirmed(program):
    program.member.view = make_view(program)
    program.apply_configuration(program.member.view)
    assert program.admission.free_by_upstream("bibdesk") == {"bibdesk-1": 8}
    program.member.view = make_view(program, confirmed_s=time.monotonic() - 60)
    program.update()
    assert program.admission.free_by_upstream("bibdesk") == {"bibdesk-1": 8}


def test_step_does_not_raise_if_update_fails(program, monkeypatch):
    def fail(view):
        raise RuntimeError("update failed")

    monkeypatch.setattr(program.monitors, "update", fail)
    program.step()
