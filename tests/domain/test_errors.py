from sycamorespoke import domain


def test_each_error_kind_has_a_response():
    assert set(domain.ERROR_RESPONSE_BY_KIND) == set(domain.ErrorKind)
