import pytest

from tests.fakes import object_store


@pytest.fixture
def fake_store():
    made = object_store.FakeObjectStore()
    yield made
    made.close()
