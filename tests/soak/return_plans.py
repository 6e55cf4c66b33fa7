"""Plans of returns of the store from an older copy while weights are rolled out."""

import enum
import random

from tests.soak import engines, faults, store_copies

FIRST_NAMED_S = 0.5
MAX_NAMED_S = 1.5
# The store goes away within this time after a weight version is named.
MAX_AWAY_AFTER_S = 2.5
MIN_AWAY_S = 0.3
# Time between the change of the configuration that is lost and the fault.
MIN_LOST_S = 0.1
MAX_LOST_S = 0.4
MIN_AGAIN_S = 0.3
MAX_AGAIN_S = 1.5
# The next changes come after the others have written theirs again.
MIN_NEXT_S = 4.0
MAX_NEXT_S = 6.0
# A host that holds the lease is stopped while orders are sent, and the next one has
# taken the lease when the store goes away.
MIN_STOP_S = 1.0
MAX_STOP_S = 1.5
MIN_TAKEN_S = 0.5
MAX_TAKEN_S = 1.5


class Company(enum.Enum):
    """What happens beside a return of the store."""

    NOTHING = "nothing"
    RETURN = "another return"
    PAUSE = "a host is suspended"
    KILL = "a host is killed"
    HOLDER_STOP = "the holder of the lease is stopped before"


def plan_returns(seed, ends_s, host_count):
    """Plan a rollout of weights in which the store comes back from an older copy.

    Parameters
    ----------
    seed : int
        Seed of the random choices.
    ends_s : float
        Time by which all faults have ended, in seconds since the start of the run.
    host_count : int
        Number of hosts, 1 or more.

    Returns
    -------
    list of faults.PlannedFault
        Faults; no link is disturbed but those to the store while it is away.
    """
    generator = random.Random(f"returns {seed}")
    company = generator.choice(list(Company))
    named_s = generator.uniform(FIRST_NAMED_S, MAX_NAMED_S)
    stop_s = named_s + generator.uniform(MIN_STOP_S, MAX_STOP_S)
    away_s = named_s + generator.uniform(0.0, MAX_AWAY_AFTER_S)
    if company is Company.HOLDER_STOP:
        away_s = stop_s + generator.uniform(MIN_TAKEN_S, MAX_TAKEN_S)
    returns = [_plan_return(away_s, generator)]
    if company is Company.RETURN:
        again_s = returns[0].ends_s + generator.uniform(MIN_AGAIN_S, MAX_AGAIN_S)
        returns.append(_plan_return(again_s, generator))
    lost_s = away_s - generator.uniform(MIN_LOST_S, MAX_LOST_S)
    back_s = returns[-1].ends_s
    next_s = back_s + generator.uniform(MIN_NEXT_S, MAX_NEXT_S)
    version_s = back_s + generator.uniform(MIN_NEXT_S, MAX_NEXT_S)
    orders = faults.Fault.ENGINE_ORDERS, 0.0, ends_s, 0, engines.Orders.LATE
    return [
        faults.PlannedFault(*orders),
        _plan_change(faults.Fault.WEIGHT_VERSION, named_s),
        _plan_change(faults.Fault.DATA_CENTRE, generator.uniform(0.0, away_s)),
        _plan_change(faults.Fault.CONFIGURATION, lost_s),
        *returns,
        *_plan_company(company, stop_s, returns[0], generator, host_count),
        _plan_change(faults.Fault.CONFIGURATION, next_s),
        _plan_change(faults.Fault.WEIGHT_VERSION, version_s),
    ]


def _plan_return(at_s, generator):
    duration_s = generator.uniform(MIN_AWAY_S, faults.MAX_STORE_AWAY_S)
    variant = generator.choice(list(store_copies.Away))
    fault = faults.Fault.STORE_RETURNS
    return faults.PlannedFault(fault, at_s, duration_s, 0, variant)


def _plan_company(company, stop_s, store_return, generator, host_count):
    """Return the fault of a host beside a return of the store, if any."""
    fault = {
        Company.PAUSE: faults.Fault.HOST_PAUSE,
        Company.KILL: faults.Fault.HOST_KILL,
        Company.HOLDER_STOP: faults.Fault.HOLDER_STOP,
    }.get(company)
    if fault is None:
        return []
    duration_s = generator.uniform(faults.MIN_DURATION_S, faults.MAX_DURATION_S)
    at_s = generator.uniform(store_return.at_s, store_return.ends_s)
    if company is Company.HOLDER_STOP:
        at_s = stop_s
    target = generator.randrange(host_count)
    return [faults.PlannedFault(fault, at_s, duration_s, target)]


def _plan_change(fault, at_s):
    return faults.PlannedFault(fault, at_s, 0.0, 0)
