"""Cost of block transfers to the entry host that performs them.

Measures the processor time and wall time per transferred block, the lookups, the
memory of the block index, and an import against the computation that it saves.
The stand-ins run in this process, so their processor time is included. Run with
``python -m benchmarks.bench_blocks``.
"""

import statistics
import time
import tracemalloc

from sycamorespoke import clients, domain, standins, transfers

ROUNDS = 5
VERSION = "v1"
PREFILL_TOKENS_PER_S = 20000.0
INDEX_ENTRIES = 50000
BLOCK_SIZES_BYTES = (65536, 1 << 20)
PROMPT_BLOCKS = 20


class StandinHosts:
    """Stand-ins of two engines and two store hosts.

    Parameters
    ----------
    block_bytes : int
        Size of each block, bytes.
    """

    def __init__(self, block_bytes):
        options = standins.EngineOptions(
            warm_up_s=0.0,
            prefill_tokens_per_s=PREFILL_TOKENS_PER_S,
            token_s=0.0,
            cache_blocks=10000,
            block_bytes=block_bytes,
        )
        self.handles = []
        self.source = self._serve("scribe-1", standins.EngineStandin(options))
        self.target = self._serve("scribe-2", standins.EngineStandin(options))
        self.stores = [
            self._serve(name, standins.StoreStandin())
            for name in ("ledger-cache", "tag-cache")
        ]
        self.engine_client = clients.EngineClient()

    def make_transfers(self):
        """Make the transfers of an entry host whose block index is empty."""
        entry_transfers = transfers.Transfers("seeb")
        entry_transfers.configure({}, self.stores)
        return entry_transfers

    def measure_first_token_s(self, host, name):
        """Send a prompt to an engine and measure the time to the first line.

        Returns
        -------
        tuple of (float, tuple of str)
            Seconds until the first line, and the block keys of the prompt.
        """
        prompt, keys = make_prompt(name)
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
        start = time.perf_counter()
        messages = self.engine_client.generate(host, request, 60.0).messages()
        next(messages)
        first_s = time.perf_counter() - start
        list(messages)
        return first_s, keys

    def close(self):
        """Stop the stand-ins."""
        for handle in self.handles:
            handle.close()

    def _serve(self, name, standin):
        handle = standins.run_in_thread(standin, threads=16)
        self.handles.append(handle)
        role = domain.HostRole.STORE if "cache" in name else domain.HostRole.UPSTREAM
        return domain.Host(name, "seeb", role, handle.address)


def make_prompt(name):
    """Return a prompt of `PROMPT_BLOCKS` blocks and its block keys."""
    prompt = (f"{name} " * 200000)[: PROMPT_BLOCKS * 8000]
    return prompt, domain.chain_block_keys("abrr", "scribe", VERSION, prompt).keys


def measure_transfers(block_bytes):
    """Print the cost of exporting and importing a prompt, and the time saved."""
    stand_ins = StandinHosts(block_bytes)
    rows = []
    try:
        for number in range(ROUNDS):
            rows.append(measure_round(stand_ins, f"thread-{number}"))
    finally:
        stand_ins.close()
    columns = [statistics.median(column) for column in zip(*rows, strict=True)]
    recompute_s, export_s, unknown_s, known_s, import_s, cpu_s, first_s = columns
    per_block_ms = 1000 / PROMPT_BLOCKS
    print(f"blocks of {block_bytes} bytes, {PROMPT_BLOCKS} per prompt:")
    print(f"  first token, nothing cached      {recompute_s * 1000:8.1f} ms")
    print(f"  import                           {import_s * 1000:8.1f} ms")
    print(f"  first token after the import     {first_s * 1000:8.1f} ms")
    print(f"  import, wall time per block      {import_s * per_block_ms:8.2f} ms")
    print(f"  import, CPU time per block       {cpu_s * per_block_ms:8.2f} ms")
    print(f"  export, wall time per block      {export_s * per_block_ms:8.2f} ms")
    print(f"  lookup of an unknown prompt      {unknown_s * 1000:8.2f} ms")
    print(f"  lookup of a stored prompt        {known_s * 1000:8.2f} ms")


def measure_round(stand_ins, name):
    """Measure one prompt; return its times in seconds, in the order of unpacking."""
    recompute_s, keys = stand_ins.measure_first_token_s(stand_ins.source, name)
    exporter, importer = stand_ins.make_transfers(), stand_ins.make_transfers()
    exporter.export_blocks(keys, VERSION, stand_ins.source, time.monotonic())
    export_s, _ = time_function(exporter.run_queued_exports)
    _, other_keys = make_prompt(f"unknown {name}")
    unknown_s, _ = time_function(
        lambda: importer.discover(other_keys, time.monotonic())
    )
    known_s, _ = time_function(lambda: importer.discover(keys, time.monotonic()))
    cpu_start = time.process_time()
    import_s, imported = time_function(
        lambda: importer.import_blocks(
            keys, VERSION, stand_ins.target, time.monotonic()
        )
    )
    cpu_s = time.process_time() - cpu_start
    if imported.blocks != PROMPT_BLOCKS:
        raise RuntimeError(f"the import failed: {imported.reason}")
    first_s, _ = stand_ins.measure_first_token_s(stand_ins.target, name)
    exporter.close()
    importer.close()
    return recompute_s, export_s, unknown_s, known_s, import_s, cpu_s, first_s


def measure_index():
    """Print the memory per entry of the block index and the time of a lookup."""
    store = domain.Host("ledger-cache", "seeb", domain.HostRole.STORE, "127.0.0.1:1")
    entry_transfers = transfers.Transfers("seeb", index_capacity=INDEX_ENTRIES)
    entry_transfers.configure({}, [store])
    keys = [f"{number:064x}" for number in range(INDEX_ENTRIES)]
    tracemalloc.start()
    for key in keys:
        entry_transfers.record_stored(key, store, domain.Block(key, 65536, "", 1))
    size_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    prompt_keys = keys[:50]
    locate_s, _ = time_function(
        lambda: [entry_transfers.locate(prompt_keys, 0.0) for _ in range(1000)]
    )
    print(f"index: {size_bytes / INDEX_ENTRIES:.0f} bytes per entry")
    print(f"index: {locate_s * 1000:.1f} us to locate a prompt of 50 blocks")
    entry_transfers.close()


def time_function(function):
    """Call a function; return its wall time in seconds and its result."""
    start = time.perf_counter()
    result = function()
    return time.perf_counter() - start, result


def main():
    """Print the results for each block size and for the index."""
    for block_bytes in BLOCK_SIZES_BYTES:
        measure_transfers(block_bytes)
    measure_index()


if __name__ == "__main__":
    main()
