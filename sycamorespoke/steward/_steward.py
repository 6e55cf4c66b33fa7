"""The shard stewards of one process."""

import time

from sycamorespoke import clients, decisions
from sycamorespoke.steward import _shard


class Steward:
    """Runs a `ShardSteward` for each data centre whose lease this host may hold.

    Parameters
    ----------
    name : str
        Name of the host.
    data_centre : str
        Data centre of the host.
    member : membership.Member
        Provides the view.
    platform : clients.PlatformClient
        Stores the leases.
    """

    def __init__(self, name, data_centre, member, platform):
        self.name = name
        self.data_centre = data_centre
        self.member = member
        self.platform = platform
        self.engine_client = clients.EngineClient()
        self.order_client = clients.OrderClient()
        self._shards_by_data_centre = {}

    def step(self):
        """Run one step of each shard and release shards that are no longer chosen."""
        chosen = decisions.choose_shards(
            self.data_centre, self.member.view, time.monotonic()
        )
        for data_centre in chosen:
            if data_centre not in self._shards_by_data_centre:
                self._shards_by_data_centre[data_centre] = self._make_shard(data_centre)
        for data_centre, shard in list(self._shards_by_data_centre.items()):
            if data_centre in chosen:
                shard.step()
            else:
                # The hosts of that data centre are back and acquire the lease.
                shard.keeper.release()
                del self._shards_by_data_centre[data_centre]

    def release(self):
        """Release all leases, so that other hosts can acquire them immediately."""
        for shard in self._shards_by_data_centre.values():
            shard.keeper.release()

    def dump(self):
        """Return the state of each shard as JSON-compatible values."""
        return {
            data_centre: shard.dump()
            for data_centre, shard in list(self._shards_by_data_centre.items())
        }

    def _make_shard(self, data_centre):
        return _shard.ShardSteward(
            data_centre,
            f"{self.name}:{self.member.boot_id}",
            self.platform,
            self.engine_client,
            self.order_client,
            lambda: self.member.view,
        )
