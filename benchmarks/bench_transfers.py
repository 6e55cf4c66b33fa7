"""Imports beside exports over a limited link, with and without the budget.

``python -m benchmarks.bench_transfers``: eight entry hosts export a backlog to
one store host behind a narrow link while requests wait for imports. Both ways
run interleaved on the same machine, each round with fresh stand-ins.
"""

import statistics
import threading
import time
import unittest.mock

import attrs

from sycamorespoke import clients, decisions, standins, transfers, world

ROUNDS = 3
ENTRY_HOSTS = 8
BLOCK_BYTES = 65536
LINK_BYTES_PER_S = 4e6
PROMPT_BLOCKS = 5
BACKLOG_PROMPTS = 12
IMPORTS = 8
IMPORT_GAP_S = 0.25
VERSION = "v1"
LINKS_BY_ENDS = {
    ("seeb", "seeb"): world.Link(("seeb", "seeb"), bytes_per_s=1e9),
    ("ruwi", "seeb"): world.Link(("ruwi", "seeb"), bytes_per_s=LINK_BYTES_PER_S),
}


@attrs.frozen
class Result:
    """What one round has measured.

    Parameters
    ----------
    import_s : list of float
        Time of each import, seconds.
    exported_blocks : int
        Blocks exported meanwhile by all entry hosts.
    """

    import_s: list[float]
    exported_blocks: int


class Round:
    """Stand-ins and entry hosts' transfers of one round."""

    def __init__(self):
        options = standins.EngineOptions(
            cold_limit=8,
            prefill_tokens_per_s=1e9,
            token_s=0.0,
            cache_blocks=10000,
            block_bytes=BLOCK_BYTES,
        )
        store = standins.StoreStandin(
            standins.StoreOptions(bytes_per_s=LINK_BYTES_PER_S)
        )
        self.source = self._serve("scribe-1", standins.EngineStandin(options), "seeb")
        self.target = self._serve("scribe-2", standins.EngineStandin(options), "seeb")
        self.store = self._serve("ledger-cache", store, "ruwi")
        self.entries = [self._make_entry() for _ in range(ENTRY_HOSTS)]
        self.engine_client = clients.EngineClient()

    def run(self):
        """Queue the backlog, import beside it and measure."""
        waiting = [self._serve_prompt(f"return-{i}") for i in range(IMPORTS)]
        entry = self.entries[0]
        for keys in waiting:
            self._export(entry, keys)
        entry.run_queued_exports()
        before = self._count_exported()
        for each, made in enumerate(self.entries):
            for number in range(BACKLOG_PROMPTS):
                self._export(made, self._serve_prompt(f"backlog-{each}-{number}"))
            made.start()
        import_s = [self._time_import(entry, keys) for keys in waiting]
        return Result(import_s, self._count_exported() - before)

    def close(self):
        """Stop everything."""
        closing = [threading.Thread(target=entry.close) for entry in self.entries]
        for thread in closing:
            thread.start()
        for thread in closing:
            thread.join()
        for _, handle in (self.source, self.target, self.store):
            handle.close()

    def _serve(self, name, standin, data_centre):
        handle = standins.run_in_thread(standin, threads=32)
        role = world.HostRole.STORE if "cache" in name else world.HostRole.UPSTREAM
        return world.Host(name, data_centre, role, handle.address), handle

    def _make_entry(self):
        made = transfers.Transfers("seeb")
        made.configure(LINKS_BY_ENDS, [self.store[0]], share=1 / ENTRY_HOSTS)
        return made

    def _serve_prompt(self, name):
        prompt = (f"{name} " * 40000)[: PROMPT_BLOCKS * 8000]
        keys = world.chain_block_keys("abrr", "scribe", VERSION, prompt).keys
        request = clients.GenerationRequest(
            request_id=name,
            account="abrr",
            model="scribe",
            version=VERSION,
            prompt=prompt,
            block_keys=keys,
            max_tokens=1,
            priority=5,
        )
        stream = self.engine_client.generate(self.source[0], request, 5.0)
        list(stream.messages())
        return keys

    def _export(self, entry, keys):
        entry.export_blocks(keys, VERSION, self.source[0], time.monotonic())

    def _time_import(self, entry, keys):
        time.sleep(IMPORT_GAP_S)
        start = time.monotonic()
        imported = entry.import_blocks(
            keys, VERSION, self.target[0], start, timeout_s=30.0
        )
        if imported.blocks != len(keys):
            raise RuntimeError(f"the import failed: {imported.reason}")
        return time.monotonic() - start

    def _count_exported(self):
        now = time.monotonic()
        return sum(entry.stats(now).exported_blocks for entry in self.entries)


def run_without_budget():
    """Run a round in which nothing waits for the links."""

    def reserve(budget, size, now):
        return budget, 0.0

    with (
        unittest.mock.patch.object(decisions, "reserve_bytes", reserve),
        unittest.mock.patch.object(decisions, "has_spare_capacity", return_value=True),
    ):
        return run_with_budget()


def run_with_budget():
    """Run a round."""
    made = Round()
    try:
        return made.run()
    finally:
        made.close()


def main():
    """Print the table."""
    ways = {"without budget": run_without_budget, "with budget": run_with_budget}
    results_by_way = {way: [] for way in ways}
    for _ in range(ROUNDS):
        for way, run in ways.items():
            results_by_way[way].append(run())
    alone_s = PROMPT_BLOCKS * BLOCK_BYTES / LINK_BYTES_PER_S
    print(f"link alone: {alone_s * 1000:.0f} ms an import")
    print(f"{'way':16} {'import p50':>11} {'max':>9} {'exported':>9}")
    for way, results in results_by_way.items():
        import_s = sorted(s for result in results for s in result.import_s)
        exported = [result.exported_blocks for result in results]
        print(
            f"{way:16} {statistics.median(import_s) * 1000:8.0f} ms"
            f" {import_s[-1] * 1000:6.0f} ms {statistics.median(exported):9.0f}"
        )


if __name__ == "__main__":
    main()
