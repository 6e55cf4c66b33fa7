"""Entry host: serves HTTP callers, routes and relays requests, retries and drains."""

from sycamorespoke.entry._program import EntryProgram, main

__all__ = ["EntryProgram", "main"]
