"""Routing by cost compared with baseline policies, on a model of engines.

For two sites and each policy, prints the time to first token, the share of
previously computed tokens that are recomputed, and the bytes sent over links. Run
with ``python -m benchmarks.bench_routing``.
"""

import argparse
import itertools
import random

from benchmarks import routing_model
from sycamorespoke import decisions, domain

DURATION_S = 600.0
MUSCAT = routing_model.Site(
    "Muscat",
    {
        f"scribe-{number}": centre
        for number, centre in enumerate(["seeb", "seeb", "ruwi", "ruwi", "qurum"])
    },
    domain.CostWeights(time_to_first_token=1.0, recomputed=0.2, link=0.1),
    arrivals_per_s=6.0,
    conversations=120,
)
SANTIAGO = routing_model.Site(
    "Santiago",
    {f"redactor-{number}": f"stgo-{'abc'[number % 3]}" for number in range(9)},
    domain.CostWeights(time_to_first_token=0.5, recomputed=1.0, link=0.5),
    arrivals_per_s=8.0,
    conversations=150,
)


def make_requests(site, seed):
    """Return the requests of a site in order of arrival, determined by the seed."""
    rng = random.Random(seed)
    blocks_by_conversation = {}
    requests = []
    now = 0.0
    while now < DURATION_S:
        now += rng.expovariate(site.arrivals_per_s)
        conversation = rng.randrange(site.conversations)
        known_blocks = blocks_by_conversation.get(conversation, 0)
        blocks = known_blocks + 1 if known_blocks else rng.randint(1, 8)
        if blocks > 12:
            # The conversation ends and a new one starts in its place.
            known_blocks, blocks = 0, rng.randint(1, 8)
            conversation += site.conversations * len(requests)
        else:
            blocks_by_conversation[conversation] = blocks
        requests.append(
            routing_model.Request(
                conversation=conversation,
                blocks=blocks,
                tail_tokens=rng.randint(50, 1500),
                output_tokens=rng.randint(20, 100),
                arrived_s=now,
                returning_blocks=known_blocks,
            )
        )
    return requests


def make_policies(seed):
    """Return the policies by name, each with its own state."""
    round_robin_numbers = itertools.count()
    rng = random.Random(seed)

    def round_robin(model, request, now):
        return model.engines[next(round_robin_numbers) % len(model.engines)], False

    def least_loaded(model, request, now):
        def load(engine):
            report = engine.report
            reported = report.running + report.queued if report else 0
            return reported + engine.sent_since_report

        return min(model.engines, key=load), False

    def prefix_affinity(model, request, now):
        names = [engine.host.name for engine in model.engines]
        name = decisions.rank_hosts(str(request.conversation), names)[0]
        return next(e for e in model.engines if e.host.name == name), False

    def by_cost(model, request, now, use_store=True):
        candidates = [
            model.make_candidate(engine, request, now, use_store)
            for engine in model.engines
        ]
        candidate, cost = decisions.choose_upstream(
            candidates, model.site.cost_weights, request.prompt_tokens, rng
        )
        engine = next(e for e in model.engines if e.host is candidate.host)
        return engine, cost.imports

    return {
        "round robin": round_robin,
        "least loaded": least_loaded,
        "prefix affinity": prefix_affinity,
        "cost, no imports": lambda *arguments: by_cost(*arguments, use_store=False),
        "cost": by_cost,
    }


def percentile(values, share):
    """Return the value below which ``share`` of the values lie."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def main():
    """Print a table for each site."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_known_args()[0].seed
    print(f"seed {seed}, {DURATION_S:.0f} s of arrivals")
    print(f"{'':10}{'policy':18}{'p50':>9}{'p95':>10}{'recomputed':>12}{'link':>10}")
    for site in (MUSCAT, SANTIAGO):
        for name, policy in make_policies(seed).items():
            model = routing_model.Model(site, make_requests(site, seed), policy).run()
            waits_s = model.first_token_waits_s
            print(
                f"{site.name:10}{name:18}"
                f"{1000 * percentile(waits_s, 0.5):6.0f} ms"
                f"{1000 * percentile(waits_s, 0.95):7.0f} ms"
                f"{model.recomputed_tokens / model.returning_tokens:12.1%}"
                f"{model.link_bytes / 1e9:7.1f} GB"
            )


if __name__ == "__main__":
    main()
