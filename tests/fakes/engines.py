"""Fake engines that load weight versions when ordered, on a simulated clock."""

import attrs

from sycamorespoke import clients, domain

LOAD_S = 4.0


@attrs.define
class _Engine:
    version: str
    loading_version: str = ""
    load_end_s: float = 0.0
    highest_fencing_number: int = 0


class FakeEngines:
    """Fake of `clients.EngineClient.read_load` and `clients.OrderClient`.

    Parameters
    ----------
    names : iterable of str
        Names of the engines.
    clock : callable
        Returns the current time, in seconds.
    checks_fencing : bool
        Whether engines refuse an order whose fencing number is lower than one that
        they have seen.

    Attributes
    ----------
    orders : list of (str, str, int)
        Engine, weight version and fencing number of each accepted order.
    max_concurrent_loads : int
        Highest number of engines that were loading at the same time.
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
        return domain.LoadReport("boot", 0, 0, version, True, now)

    def order_load(self, host, model, version, fencing_number):
        self._finish_loads()
        engine = self._engines_by_name[host.name]
        if self.checks_fencing and fencing_number < engine.highest_fencing_number:
            return clients.Conflict()
        engine.highest_fencing_number = max(
            engine.highest_fencing_number, fencing_number
        )
        self.orders.append((host.name, version, fencing_number))
        engine.loading_version = version
        engine.load_end_s = self.clock() + LOAD_S
        self.max_concurrent_loads = max(
            self.max_concurrent_loads, len(self.list_loading())
        )
        return clients.OrderAccepted()

    def list_loading(self):
        """Return the names of the engines that are loading."""
        self._finish_loads()
        engines = self._engines_by_name
        return [name for name, engine in engines.items() if engine.loading_version]

    def list_versions(self):
        """Return the set of the weight versions that engines have loaded."""
        self._finish_loads()
        return {engine.version for engine in self._engines_by_name.values()}

    def _finish_loads(self):
        for engine in self._engines_by_name.values():
            if engine.loading_version and self.clock() >= engine.load_end_s:
                engine.version = engine.loading_version
                engine.loading_version = ""
