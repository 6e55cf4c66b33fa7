"""Imports during exports over a slow link, with and without the byte budget.

Eight entry hosts export a backlog to one store host behind a slow link while
requests wait for imports. Both variants run in turn in each round, with new
stand-ins for each run. Run with ``python -m benchmarks.bench_transfers``.
"""

import statistics
import threading
import time
import unittest.mock

import attrs

from sycamorespoke import clients, decisions, domain, standins, transfers

ROUNDS = 3
ENTRY_HOSTS = 8
BLOCK_BYTES = 65536
LINK_BYTES_PER_S = 4e6
PROMPT_BLOCKS = 5
BACKLOG_PROMPTS = 12
IMPORTS = 8
IMPORT_PAUSE_S = 0.25
VERSION = "v1"
LINKS_BY_ENDS = {
    ("seeb", "seeb"): domain.Link(("seeb", "seeb"), bytes_per_s=1e9),
    ("ruwi", "seeb"): domain.Link(("ruwi", "seeb"), bytes_per_s=LINK_BYTES_PER_S),
}


@attrs.frozen
class Result:
    """Results of one run.

    Parameters
    ----------
    import_s : list of float
        Duration of each import, seconds.
    exported_blocks : int
        Blocks that all entry hosts exported during the imports.
    """

    import_s: list[float]
    exported_blocks: int


class TransferRun:
    """Stand-ins and the transfers of the entry hosts for one run."""

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
        self.transfers_by_entry = [self._make_transfers() for _ in range(ENTRY_HOSTS)]
        self.engine_client = clients.EngineClient()

    def run(self):
        """Queue the backlog of exports and measure imports while it is exported."""
        keys_by_import = [self._generate_prompt(f"return-{i}") for i in range(IMPORTS)]
        entry_transfers = self.transfers_by_entry[0]
        for keys in keys_by_import:
            self._export(entry_transfers, keys)
        entry_transfers.run_queued_exports()
        before = self._count_exported()
        for entry_number, block_transfers in enumerate(self.transfers_by_entry):
            for number in range(BACKLOG_PROMPTS):
                self._export(
                    block_transfers,
                    self._generate_prompt(f"backlog-{entry_number}-{number}"),
                )
            block_transfers.start()
        import_s = [self._time_import(entry_transfers, keys) for keys in keys_by_import]
        return Result(import_s, self._count_exported() - before)

    def close(self):
        """Stop the transfers and the stand-ins."""
        close_threads = [
            threading.Thread(target=entry_transfers.close)
            for entry_transfers in self.transfers_by_entry
        ]
        for thread in close_threads:
            thread.start()
        for thread in close_threads:
            thread.join()
        for _, handle in (self.source, self.target, self.store):
            handle.close()

    def _serve(self, name, standin, data_centre):
        handle = standins.run_in_thread(standin, threads=32)
        role = domain.HostRole.STORE if "cache" in name else domain.HostRole.UPSTREAM
        return domain.Host(name, data_centre, role, handle.address), handle

    def _make_transfers(self):
        block_transfers = transfers.Transfers("seeb")
        block_transfers.configure(LINKS_BY_ENDS, [self.store[0]], share=1 / ENTRY_HOSTS)
        return block_transfers

    def _generate_prompt(self, name):
        prompt = (f"{name} " * 40000)[: PROMPT_BLOCKS * 8000]
        keys = domain.chain_block_keys("abrr", "scribe", VERSION, prompt).keys
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

    def _export(self, entry_transfers, keys):
        entry_transfers.export_blocks(keys, VERSION, self.source[0], time.monotonic())

    def _time_import(self, entry_transfers, keys):
        time.sleep(IMPORT_PAUSE_S)
        start_s = time.monotonic()
        imported = entry_transfers.import_blocks(
            keys, VERSION, self.target[0], start_s, timeout_s=30.0
        )
        if imported.blocks != len(keys):
            raise RuntimeError(f"the import failed: {imported.reason}")
        return time.monotonic() - start_s

    def _count_exported(self):
        now = time.monotonic()
        return sum(
            entry_transfers.stats(now).exported_blocks
            for entry_transfers in self.transfers_by_entry
        )


def run_without_budget():
    """Run once with transfers that never wait for the links' budget."""

    def reserve(budget, size, now):
        return budget, 0.0

    with (
        unittest.mock.patch.object(decisions, "reserve_bytes", reserve),
        unittest.mock.patch.object(decisions, "has_spare_capacity", return_value=True),
    ):
        return run_with_budget()


def run_with_budget():
    """Run once with the byte budget of the links."""
    transfer_run = TransferRun()
    try:
        return transfer_run.run()
    finally:
        transfer_run.close()


def main():
    """Run both variants and print a table."""
    variants = {"without budget": run_without_budget, "with budget": run_with_budget}
    results_by_variant = {variant: [] for variant in variants}
    for _ in range(ROUNDS):
        for variant, run in variants.items():
            results_by_variant[variant].append(run())
    link_time_s = PROMPT_BLOCKS * BLOCK_BYTES / LINK_BYTES_PER_S
    print(f"link alone: {link_time_s * 1000:.0f} ms per import")
    print(f"{'variant':16} {'import p50':>11} {'max':>9} {'exported':>9}")
    for variant, results in results_by_variant.items():
        import_s = sorted(s for result in results for s in result.import_s)
        exported = [result.exported_blocks for result in results]
        print(
            f"{variant:16} {statistics.median(import_s) * 1000:8.0f} ms"
            f" {import_s[-1] * 1000:6.0f} ms {statistics.median(exported):9.0f}"
        )


if __name__ == "__main__":
    main()
