import pytest

from scenarios import deployment
from sycamorespoke import standins

pytest_plugins = ["scenarios.steps"]

ENGINE = standins.EngineOptions(warm_up_s=0.0, token_s=0.01)


@pytest.fixture
def make_deployment(tmp_path):
    """Return a function that creates deployments, which are closed after the test."""
    deployments = []

    def make(
        engines_by_name=None,
        services_by_name=None,
        entries_by_name=None,
        stores_by_name=None,
    ):
        deployments.append(
            deployment.Deployment(
                tmp_path, engines_by_name, services_by_name, stores_by_name
            )
        )
        for name, data_centre in (entries_by_name or {}).items():
            deployments[-1].add_entry(name, data_centre)
        return deployments[-1]

    yield make
    for item in deployments:
        item.__exit__()


@pytest.fixture
def small_deployment(make_deployment):
    """Return a started deployment of two engines, a service and two entry hosts."""
    result = make_deployment(
        {"scribe-1": ("seeb", ENGINE), "scribe-2": ("ruwi", ENGINE)},
        {"bibdesk-1": ("seeb", standins.ServiceOptions())},
        {"entry-1": "seeb", "entry-2": "ruwi"},
    )
    result.start()
    return result
