"""Adapter to the users' platform: its names, formats and API calls."""

from sycamorespoke.platform._deployment import make_deployment
from sycamorespoke.platform._objects import MalformedObjectError

__all__ = ["MalformedObjectError", "make_deployment"]
