import ctypes

from sycamorespoke import serving


def test_c_library_without_the_setting_is_reported(monkeypatch):
    monkeypatch.setattr(ctypes, "CDLL", lambda name: object())
    assert not serving.limit_arenas()
