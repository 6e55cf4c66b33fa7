import pytest

from sycamorespoke import domain
from sycamorespoke.entry import _accounts

ACCOUNT = domain.ClientAccount("clubs", domain.hash_api_key("secret"))


@pytest.fixture
def index():
    return _accounts.AccountIndex(
        domain.Configuration(accounts_by_name={"clubs": ACCOUNT})
    )


@pytest.mark.parametrize("header", ["Bearer secret", "bearer secret", "BEARER  secret"])
def test_find_returns_account_of_known_key(index, header):
    assert index.find(header) is ACCOUNT


@pytest.mark.parametrize(
    "header", ["", "secret", "Bearer", "Bearer ", "Bearer other", "Basic secret"]
)
def test_find_refuses_unknown_key(index, header):
    refusal = index.find(header)
    assert refusal.kind is domain.ErrorKind.UNAUTHENTICATED
    assert "secret" not in refusal.reason
