"""Choice of the upstream for a request by estimated cost."""

import attrs

from sycamorespoke import domain

NEAR_BEST_RATIO = 1.05
NEAR_BEST_SLACK_S = 0.005
UNREPORTED_WAIT_S = 0.05


@attrs.frozen
class Candidate:
    """An upstream that is eligible for a request, as seen by one entry host.

    Parameters
    ----------
    host : domain.Host
        The upstream.
    group : domain.UpstreamGroup
        Group of the upstream.
    report : domain.LoadReport or None
        Newest load report of the upstream, which lags behind its actual load;
        ``None`` if there is none.
    sent_since_report : int, default=0
        Requests that this host has sent since that report, 0 or more.
    running_here : int, default=0
        Requests of this host in progress at the upstream, 0 or more.
    pending_prefill_tokens : int, default=0
        Uncached prompt tokens of this host's requests that still wait for their
        first token.
    mean_duration_s : float, default=1.0
        Mean duration of a request at the upstream, seconds, above 0.
    cached_blocks : int, default=0
        Leading blocks of the prompt that are probably in the upstream's cache.
    stored_blocks : int, default=0
        Leading blocks that the upstream has cached or can import from a store.
    transfer_s : float, default=0.0
        Estimated time to import the stored blocks, seconds.
    delay_s : float, default=0.0
        One-way network delay to the upstream, seconds.
    data_centre_weight : float, default=1.0
        Preference for the upstream's data centre, above 0.
    """

    host: domain.Host
    group: domain.UpstreamGroup
    report: domain.LoadReport | None
    sent_since_report: int = 0
    running_here: int = 0
    pending_prefill_tokens: int = 0
    mean_duration_s: float = 1.0
    cached_blocks: int = 0
    stored_blocks: int = 0
    transfer_s: float = 0.0
    delay_s: float = 0.0
    data_centre_weight: float = 1.0


@attrs.frozen
class Cost:
    """The estimated cost of sending a request to one candidate.

    Parameters
    ----------
    total : float
        Weighted sum of the costs divided by the weight of the data centre. Lower is
        better.
    wait_s : float
        Estimated time to first token, seconds.
    recomputed_tokens : int
        Tokens that are cached or stored elsewhere and have to be recomputed.
    imports : bool
        Whether the stored blocks are imported before the request is sent.
    """

    total: float
    wait_s: float
    recomputed_tokens: int
    imports: bool


def estimate_cost(candidate, weights, prompt_tokens, known_blocks):
    """Estimate the cost of sending a request to a candidate.

    Parameters
    ----------
    candidate : Candidate
        The upstream.
    weights : domain.CostWeights
        Weights of the cost terms.
    prompt_tokens : int
        Tokens of the prompt.
    known_blocks : int
        Leading blocks of the prompt that are cached or stored anywhere.

    Returns
    -------
    Cost
        Cost of importing the stored blocks or of recomputing them, whichever is
        lower.
    """
    options = [
        _compute_cost(candidate, weights, prompt_tokens, known_blocks, imports=False),
    ]
    if candidate.stored_blocks > candidate.cached_blocks:
        options.append(
            _compute_cost(candidate, weights, prompt_tokens, known_blocks, imports=True)
        )
    return min(options, key=lambda cost: cost.total)


def choose_upstream(candidates, weights, prompt_tokens, random):
    """Choose the upstream for a request.

    Of two random near-best candidates the one with fewer requests from this host is
    chosen. This keeps many entry hosts from all choosing the same upstream between
    two of its load reports.

    Parameters
    ----------
    candidates : list of Candidate
        Eligible upstreams.
    weights : domain.CostWeights
        Weights of the cost terms.
    prompt_tokens : int
        Tokens of the prompt.
    random : random.Random
        Random number generator.

    Returns
    -------
    tuple of (Candidate, Cost) or domain.Refusal
        The choice and its cost; a refusal if there are no candidates.
    """
    if not candidates:
        return domain.Refusal(
            domain.ErrorKind.NO_UPSTREAM, "no upstream of the group takes new requests"
        )
    known_blocks = max(
        max(candidate.cached_blocks, candidate.stored_blocks)
        for candidate in candidates
    )
    candidate_costs = [
        (candidate, estimate_cost(candidate, weights, prompt_tokens, known_blocks))
        for candidate in candidates
    ]
    best = min(cost.total for _, cost in candidate_costs)
    bound = best * NEAR_BEST_RATIO + NEAR_BEST_SLACK_S * weights.time_to_first_token
    near_best = [pair for pair in candidate_costs if pair[1].total <= bound]
    sample = random.sample(near_best, min(2, len(near_best)))
    return min(sample, key=lambda pair: pair[0].running_here)


def _compute_cost(candidate, weights, prompt_tokens, known_blocks, imports):
    ready_blocks = candidate.cached_blocks
    transfer_s = 0.0
    if imports:
        ready_blocks = candidate.stored_blocks
        transfer_s = candidate.transfer_s
    rate = candidate.group.prefill_tokens_per_s
    uncached_tokens = prompt_tokens - ready_blocks * domain.BLOCK_TOKENS
    prefill_s = (uncached_tokens + candidate.pending_prefill_tokens) / rate
    wait_s = (
        _estimate_queue_wait(candidate) + prefill_s + transfer_s + candidate.delay_s
    )
    missing_blocks = max(0, known_blocks - ready_blocks)
    recomputed_tokens = missing_blocks * domain.BLOCK_TOKENS
    total = (
        weights.time_to_first_token * wait_s
        + weights.recomputed * recomputed_tokens / rate
        + weights.link * transfer_s
    )
    return Cost(
        total / candidate.data_centre_weight, wait_s, recomputed_tokens, imports
    )


def _estimate_queue_wait(candidate):
    limit = candidate.group.limit
    if candidate.report is None:
        occupied = candidate.running_here
        unreported_s = UNREPORTED_WAIT_S
    else:
        report = candidate.report
        occupied = report.running + report.queued + candidate.sent_since_report
        occupied = max(occupied, candidate.running_here)
        unreported_s = 0.0
    ahead = max(0, occupied + 1 - limit)
    return unreported_s + ahead * candidate.mean_duration_s / limit
