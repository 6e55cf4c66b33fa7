"""Engines that take orders to load a version, at a given time."""

import attrs

from sycamorespoke import clients, world

LOAD_S = 4.0


@attrs.define
class _Engine:
    version: str
    loading: str = ""
    loaded_s: float = 0.0
    highest_number: int = 0


class FakeEngines:
    """Engines by name, with the calls of the clients for reports and orders.

    Parameters
    ----------
    names : iterable of str
        Their names.
    clock : callable
        Returns the present time, seconds.
    checks_fencing : bool
        They refuse an order with a lower fencing number than seen.
    """

    def __init__(self, names, clock, checks_fencing):
        self.clock = clock
        self.checks_fencing = checks_fencing
        self.orders = []
        self.max_concurrent_loads = 0
        self._engines_by_name = {name: _Engine("v1") for name in names}

    def read_load(self, host, now):
        self._finish_loads()
        version = self._engines_by_name[host.name].version
        return world.LoadReport("boot", 0, 0, version, True, now)

    def order_load(self, host, model, version, fencing_number):
        self._finish_loads()
        engine = self._engines_by_name[host.name]
        if self.checks_fencing and fencing_number < engine.highest_number:
            return clients.Conflict()
        engine.highest_number = max(engine.highest_number, fencing_number)
        self.orders.append((host.name, version, fencing_number))
        engine.loading = version
        engine.loaded_s = self.clock() + LOAD_S
        self.max_concurrent_loads = max(
            self.max_concurrent_loads, len(self.list_loading())
        )
        return clients.OrderAccepted()

    def list_loading(self):
        self._finish_loads()
        engines = self._engines_by_name
        return [name for name, engine in engines.items() if engine.loading]

    def list_versions(self):
        self._finish_loads()
        return {engine.version for engine in self._engines_by_name.values()}

    def _finish_loads(self):
        for engine in self._engines_by_name.values():
            if engine.loading and self.clock() >= engine.loaded_s:
                engine.version = engine.loading
                engine.loading = ""
