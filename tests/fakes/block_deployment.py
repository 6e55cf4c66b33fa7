"""Engines and store hosts in this process, on a simulated clock."""

import json

import attrs

from sycamorespoke import clients, domain, standins, transfers
from tests.fakes import in_process

GENERATE_PATH = "/v1/generate"
BLOCK_CHARACTERS = 8000


@attrs.define
class FakeClock:
    """A clock that only advances when its `sleep` is called."""

    now: float = 100.0

    def __call__(self):
        return self.now

    def sleep(self, seconds):
        self.now += seconds


class BlockDeployment:
    """Two engines and two store hosts in two data centres, with an entry host."""

    def __init__(
        self,
        block_bytes=1000,
        cache_blocks=100,
        store_class=standins.StoreStandin,
        **transfer_options,
    ):
        options = standins.EngineOptions(
            limit=50,
            cold_limit=50,
            warm_up_s=0.0,
            prefill_tokens_per_s=1e9,
            token_s=0.0,
            cache_blocks=cache_blocks,
            block_bytes=block_bytes,
        )
        self.engines_by_name = {
            name: standins.EngineStandin(options) for name in ("scribe-1", "scribe-2")
        }
        self.stores_by_name = {
            name: store_class() for name in ("ledger-cache", "tag-cache")
        }
        self.pool = in_process.InProcessPool(
            {**self.engines_by_name, **self.stores_by_name}
        )
        self.clock = FakeClock()
        self.hosts_by_name = {
            "scribe-1": make_host("scribe-1", "seeb", domain.HostRole.UPSTREAM),
            "scribe-2": make_host("scribe-2", "ruwi", domain.HostRole.UPSTREAM),
            "ledger-cache": make_host("ledger-cache", "seeb", domain.HostRole.STORE),
            "tag-cache": make_host("tag-cache", "ruwi", domain.HostRole.STORE),
        }
        self.store_client = clients.StoreClient(pool=self.pool)
        self.transfers = self.make_transfers(**transfer_options)

    def make_transfers(self, links_by_ends=None, share=1.0, **options):
        """Make the transfers of an entry host whose block index is empty."""
        options = {"clock": self.clock, "sleep": self.clock.sleep, **options}
        entry_transfers = transfers.Transfers(
            "seeb",
            store_client=self.store_client,
            block_client=clients.BlockClient(pool=self.pool),
            **options,
        )
        entry_transfers.configure(links_by_ends or {}, self.list_stores(), share)
        return entry_transfers

    def list_stores(self):
        return [self.hosts_by_name[name] for name in self.stores_by_name]

    def generate(self, engine, prompt, account="abrr", version="v1", **fields):
        """Send a request as an entry host does; return the status and the lines."""
        keys = make_keys(prompt, account, version)
        return self.generate_with_keys(engine, prompt, keys, version, **fields)

    def generate_with_keys(self, engine, prompt, keys, version="v1", **fields):
        value = {
            "request_id": f"r{len(self.pool.requests)}",
            "model": "scribe",
            "version": version,
            "prompt": prompt,
            "block_keys": list(keys),
            "max_tokens": 1,
            **fields,
        }
        host = self.hosts_by_name[engine]
        body = json.dumps(value).encode()
        response = self.pool.request("POST", host, GENERATE_PATH, body)
        if isinstance(response, clients.Unavailable):
            return 0, []
        lines = [json.loads(line) for line in response.data.splitlines()]
        return response.status, lines

    def cancel(self, engine, request_id):
        path = f"{GENERATE_PATH}/{request_id}"
        self.pool.request("DELETE", self.hosts_by_name[engine], path)

    def count_cached_tokens(self, engine, prompt, account="abrr", version="v1"):
        """Run a request and return how many prompt tokens came from the cache."""
        return self.generate(engine, prompt, account, version)[1][0]["cached_tokens"]

    def export(self, keys, engine="scribe-1", version="v1", entry_transfers=None):
        """Export blocks and wait until the exports are done."""
        entry_transfers = entry_transfers or self.transfers
        host = self.hosts_by_name[engine]
        entry_transfers.export_blocks(keys, version, host, self.clock())
        entry_transfers.run_queued_exports()

    def import_blocks(
        self, keys, engine="scribe-2", version="v1", entry_transfers=None
    ):
        """Import blocks and return the result."""
        entry_transfers = entry_transfers or self.transfers
        host = self.hosts_by_name[engine]
        return entry_transfers.import_blocks(keys, version, host, self.clock())

    def record_stored(self, host, keys):
        """Record in the transfers' index that a store host holds blocks."""
        block = domain.Block("", 1000, "", 1)
        for key in keys:
            self.transfers.record_stored(key, host, block)

    def delete_stored(self, name, keys):
        """Delete blocks of a store host, and their entries in the transfers' index."""
        for key in keys:
            self.store_client.free(self.hosts_by_name[name], key)
            self.transfers._directory.remove(key)

    def load_weights(self, engine, version):
        """Order an engine to load a weight version and wait until it has."""
        value = {
            "order": "load",
            "model": "scribe",
            "version": version,
            "fencing_number": 1,
        }
        standin = self.engines_by_name[engine]
        self.pool.request(
            "POST",
            self.hosts_by_name[engine],
            "/v1/orders",
            json.dumps(value).encode(),
        )
        assert standin.wait_for_load(timeout_s=3.0)


def make_host(name, data_centre, role):
    return domain.Host(name, data_centre, role, "127.0.0.1:1")


def make_prompt(name, blocks=3):
    """Make a prompt that fills a number of blocks."""
    return (f"{name} " * BLOCK_CHARACTERS * blocks)[: blocks * BLOCK_CHARACTERS]


def make_keys(prompt, account="abrr", version="v1"):
    return domain.chain_block_keys(account, "scribe", version, prompt).keys
