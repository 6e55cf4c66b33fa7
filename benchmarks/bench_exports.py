"""Policies that choose which prompts to export when the links are too slow for all.

Replays the same seeded arrivals through the transfers with each policy. The
stand-ins run in this process, on a simulated clock that only waits and arrivals
advance. Some prompts never return; the others return after gaps longer than the
engines cache them. Run with ``python -m benchmarks.bench_exports``.
"""

import collections
import random

import attrs

from sycamorespoke import domain
from tests import fakes

SEED = 20261203
CONVERSATIONS = 260
RETURNING_SHARE = 0.35
MEAN_RETURNS = 4
MEAN_GAP_S = 60.0
DURATION_S = 300.0
FIRST_PROMPT_BLOCKS = (2, 8)
BLOCK_BYTES = 1000
LINK_SPEEDS_BLOCKS_PER_S = (4, 16)
ENGINE_CACHE_BLOCKS = 80
STORE_BLOCKS = 700


@attrs.frozen
class Arrival:
    """Arrival of one prompt of a conversation.

    Parameters
    ----------
    at_s : float
        Arrival time, seconds from the start.
    name : str
        Name of the conversation.
    blocks : int
        Full blocks of the prompt.
    is_repeated : bool
        Whether the conversation has had an earlier prompt.
    will_return : bool
        Whether a later prompt follows, which only the oracle policy uses.
    """

    at_s: float
    name: str
    blocks: int
    is_repeated: bool
    will_return: bool


def make_arrivals():
    """Return the arrivals in order of time; every call returns the same."""
    rng = random.Random(SEED)
    arrivals = []
    for number in range(CONVERSATIONS):
        turns = 1
        if rng.random() < RETURNING_SHARE:
            turns += 1 + int(rng.expovariate(1 / MEAN_RETURNS))
        at_s = rng.uniform(0, DURATION_S / 2)
        blocks = rng.randint(*FIRST_PROMPT_BLOCKS)
        for turn in range(turns):
            arrivals.append(
                Arrival(at_s, f"thread-{number}", blocks, turn > 0, turn < turns - 1)
            )
            at_s += rng.expovariate(1 / MEAN_GAP_S)
            blocks += 1
    return sorted(arrivals, key=lambda arrival: arrival.at_s)


class Replay:
    """Replay of arrivals through one deployment.

    Parameters
    ----------
    policy : str
        Key of `POLICIES`.
    link_blocks_per_s : float
        Bandwidth of each link, blocks per second.
    """

    def __init__(self, policy, link_blocks_per_s):
        self.policy = policy
        bytes_per_s = link_blocks_per_s * BLOCK_BYTES
        pairs = [("seeb", "seeb"), ("ruwi", "seeb")]
        links_by_ends = {pair: domain.Link(pair, bytes_per_s, 0.0) for pair in pairs}
        self.deployment = fakes.BlockDeployment(
            BLOCK_BYTES, ENGINE_CACHE_BLOCKS, links_by_ends=links_by_ends, concurrency=1
        )
        for store in self.deployment.stores_by_name.values():
            store.options = attrs.evolve(
                store.options, capacity_bytes=STORE_BLOCKS * (BLOCK_BYTES + 36)
            )
        self.counts = collections.Counter()
        self.seen_blocks_by_name = {}

    def run(self, arrivals):
        """Replay the arrivals.

        Returns
        -------
        tuple of (float, int, int, int)
            Share of the prompts' blocks that were recomputed, blocks transferred
            over the links, blocks exported and blocks imported.
        """
        clock = self.deployment.clock
        start = clock()
        for number, arrival in enumerate(arrivals):
            while clock() < start + arrival.at_s:
                if not self.deployment.transfers.run_next_export():
                    clock.now = start + arrival.at_s
            self._serve(arrival, f"scribe-{number % 2 + 1}")
        stats = self.deployment.transfers.stats(clock())
        self.deployment.transfers.close()
        return (
            self.counts["recomputed"] / self.counts["prompt"],
            sum(stats.bytes_by_link.values()) // BLOCK_BYTES,
            stats.exported_blocks,
            stats.imported_blocks,
        )

    def _serve(self, arrival, engine):
        block_deployment = self.deployment
        prompt = fakes.make_prompt(arrival.name, arrival.blocks)
        keys = fakes.make_keys(prompt)
        block_deployment.import_blocks(keys, engine)
        cached_tokens = block_deployment.generate_with_keys(engine, prompt, keys)[1][0][
            "cached_tokens"
        ]
        cached_blocks = cached_tokens // domain.BLOCK_TOKENS
        seen_blocks = self.seen_blocks_by_name.get(arrival.name, 0)
        self.seen_blocks_by_name[arrival.name] = arrival.blocks
        self.counts["prompt"] += arrival.blocks
        self.counts["recomputed"] += max(0, seen_blocks - cached_blocks)
        may_export, is_repeated = POLICIES[self.policy](arrival)
        if may_export:
            host = block_deployment.hosts_by_name[engine]
            block_deployment.transfers.export_blocks(
                keys, "v1", host, block_deployment.clock(), is_repeated
            )


POLICIES = {
    "none": lambda arrival: (False, False),
    "in order of arrival": lambda arrival: (True, False),
    "returned first": lambda arrival: (True, arrival.is_repeated),
    "returned only": lambda arrival: (arrival.is_repeated, True),
    "oracle": lambda arrival: (arrival.will_return, True),
}


def main():
    """Print a table for each bandwidth."""
    arrivals = make_arrivals()
    print(f"{len(arrivals)} arrivals of {CONVERSATIONS} conversations, seed {SEED}")
    for link_blocks_per_s in LINK_SPEEDS_BLOCKS_PER_S:
        print(f"links of {link_blocks_per_s} blocks/s")
        print(
            f"  {'policy':20} {'recomputed':>10} {'transferred':>11}"
            f" {'exported':>8} {'imported':>8}"
        )
        for policy in POLICIES:
            share, transferred, exported, imported = Replay(
                policy, link_blocks_per_s
            ).run(arrivals)
            print(
                f"  {policy:20} {share:10.1%} {transferred:11}"
                f" {exported:8} {imported:8}"
            )


if __name__ == "__main__":
    main()
