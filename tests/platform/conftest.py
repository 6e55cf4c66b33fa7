import pytest

from tests.fakes import object_store


@pytest.fixture
def stand_in():
    made = object_store.ObjectStoreStandIn()
    yield made
    made.close()
