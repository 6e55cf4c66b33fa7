from sycamorespoke import world


def test_each_error_kind_has_a_response():
    assert set(world.ERROR_RESPONSE_BY_KIND) == set(world.ErrorKind)
