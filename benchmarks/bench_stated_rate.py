"""Share of an upstream's stated rate limit that uneven traffic can use.

Nine hosts keep to a limit as the gateway does, on a simulated clock; the traffic
reaches some of them. Run with ``python -m benchmarks.bench_stated_rate``.
"""

import random

from sycamorespoke.gateway import _chooser, _model, _rate_limiter, _views

HOSTS = 9
SECONDS = 60
TICKS_PER_S = 100
LIMITS_PER_S = (2.0, 3.0)
ACTIVE_HOSTS = (9, 3, 1)
DEMANDS_PER_S = (3.0, 10.0, 40.0)
UPSTREAM = _model.Upstream("i-1", 1, "s", "127.0.0.1:1", "dc-1")


def main():
    """Print what is used of each limit, by the hosts with traffic and the demand."""
    print("limit/s  hosts with traffic  demand/s  used/s  share of the ideal")
    for limit_per_s in LIMITS_PER_S:
        for active in ACTIVE_HOSTS:
            for demand_per_s in DEMANDS_PER_S:
                used_per_s = simulate(limit_per_s, active, demand_per_s)
                share = used_per_s / min(limit_per_s, demand_per_s)
                print(
                    f"{limit_per_s:7.1f}  {active:18}  {demand_per_s:8.1f}"
                    f"  {used_per_s:6.2f}  {share:5.2f}"
                )


def simulate(limit_per_s, active, demand_per_s):
    """Return the requests per second that reach the upstream.

    Parameters
    ----------
    limit_per_s : float
        Rate limit that the upstream states, requests per second.
    active : int
        Number of hosts that get requests; all know the limit.
    demand_per_s : float
        Requests per second that these hosts get together.

    Returns
    -------
    float
        Mean rate of the requests that are sent.
    """
    names = [f"h{number}" for number in range(HOSTS)]
    view = _views.View(
        configuration=_model.Configuration(1, (), {}),
        hosts_by_name={name: _model.Host(name, "dc-1", "x:1") for name in names},
    )
    limits = _chooser.UpstreamLimits(1.5, 5.0, 6.0)
    limiters = [_rate_limiter.RateLimiter(name, limits) for name in names[:active]]
    generator = random.Random(1)
    probability = demand_per_s / active / TICKS_PER_S
    sent = 0
    for tick in range(SECONDS * TICKS_PER_S):
        for limiter in limiters:
            if generator.random() < probability:
                now = tick / TICKS_PER_S
                sent += limiter.acquire(view, UPSTREAM, limit_per_s, now)
    return sent / SECONDS


if __name__ == "__main__":
    main()
