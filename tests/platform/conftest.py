import pytest

from tests.fakes import object_store


@pytest.fixture
def fake_store():
    store = object_store.FakeObjectStore()
    yield store
    store.close()
