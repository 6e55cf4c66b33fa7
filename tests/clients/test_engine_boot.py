import pytest

from sycamorespoke import clients, domain, standins


@pytest.fixture
def engine():
    handle = standins.run_in_thread(
        standins.EngineStandin(standins.EngineOptions(token_s=0.0, warm_up_s=0.0))
    )
    yield handle
    handle.close()


def generate(client, engine, boot_id, request_id):
    host = domain.Host("scribe-1", "seeb", domain.HostRole.UPSTREAM, engine.address)
    request = clients.GenerationRequest(
        request_id=request_id,
        account="clubs",
        model="scribe",
        version="v1",
        prompt="x",
        block_keys=(),
        max_tokens=2,
        priority=5,
    )
    result = client.generate(host, request, 2.0, boot_id)
    if isinstance(result, domain.Refusal):
        return result
    return list(result.messages())[-1]


def test_generate_runs_on_expected_boot(engine):
    client = clients.EngineClient()
    boot_id = engine.standin.report()["boot_id"]
    for number in range(3):
        result = generate(client, engine, boot_id, f"request-{number}")
        assert isinstance(result, clients.Done)


def test_generate_not_run_on_restarted_engine(engine):
    client = clients.EngineClient()
    boot_id = engine.standin.report()["boot_id"]
    generate(client, engine, boot_id, "before")
    engine.standin.set_faults({"turn_cold": True})
    result = generate(client, engine, boot_id, "after")
    assert result.error_response().execution is domain.Execution.NOT_RUN
    assert "after" not in engine.standin.count()["runs_by_request_id"]
