"""The stewards of all shards that one process tries to hold."""

import time

from sycamorespoke import clients, decisions
from sycamorespoke.steward import _shard


class Steward:
    """Step through the shards of the data centres that this host cares for.

    Parameters
    ----------
    name : str
        Name of the host.
    data_centre : str
        Its data centre.
    member : membership.Member
        Offers the view.
    platform : clients.PlatformClient
        Keeps the leases.
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
        """Step each shard once."""
        wanted = decisions.choose_shards(
            self.data_centre, self.member.view, time.monotonic()
        )
        for data_centre in wanted:
            if data_centre not in self._shards_by_data_centre:
                self._shards_by_data_centre[data_centre] = self._make_shard(data_centre)
        for data_centre, shard in list(self._shards_by_data_centre.items()):
            if data_centre in wanted:
                shard.step()
            else:
                # Its own hosts are back and take the shard.
                shard.keeper.release()
                del self._shards_by_data_centre[data_centre]

    def release(self):
        """Release every lease, so that others take them at once."""
        for shard in self._shards_by_data_centre.values():
            shard.keeper.release()

    def dump(self):
        """Return the state as JSON values."""
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
