"""Judges from pooled outcomes whether a software version is bad."""

import collections
import math

import attrs

# A version is compared with a share of bad outcomes of at least this, since some occur
# with every version.
BASE_SHARE = 0.05
# Factor on the share of the old version, which sees other load and other hosts.
TOLERANCE = 2.0
MIN_BAD = 4
# Bound on the probability that a sound version shows so many.
FALSE_ALARM = 0.002
# The same for one host that judges by what it has seen itself.
LOCAL_FALSE_ALARM = 1e-5
# The old version must have served so many requests for its share to count.
MIN_COMPARED = 10
# Requests that must have been tried before the service moves, in total and of each
# route that is in use.
MIN_TRIED = 20
MIN_TRIED_OF_ROUTE = 5
ROUTE_IN_USE = 20
# Pseudo-route of all requests together.
ALL_ROUTES = ""


@attrs.frozen
class Tally:
    """Outcomes of some requests.

    Parameters
    ----------
    requests : int, default=0
        Requests that have ended.
    bad : int, default=0
        Those that failed or were slow.
    """

    requests: int = 0
    bad: int = 0

    def __add__(self, other):
        return Tally(self.requests + other.requests, self.bad + other.bad)

    def __sub__(self, other):
        return Tally(self.requests - other.requests, self.bad - other.bad)

    @property
    def share(self):
        """Share of bad outcomes; 0 if there are too few requests to tell."""
        return self.bad / self.requests if self.requests >= MIN_COMPARED else 0.0


@attrs.frozen
class Evidence:
    """Outcomes of both versions by route.

    Parameters
    ----------
    trial_by_route, old_by_route : dict of str to Tally
        Outcomes of the version on trial, and of the others.
    """

    trial_by_route: dict[str, Tally] = attrs.field(factory=dict)
    old_by_route: dict[str, Tally] = attrs.field(factory=dict)

    def subtract(self, earlier):
        """Return the outcomes since an earlier evidence."""
        return Evidence(
            _subtract(self.trial_by_route, earlier.trial_by_route),
            _subtract(self.old_by_route, earlier.old_by_route),
        )

    def sum_trial(self):
        """Return the outcomes of the version on trial over all routes."""
        return sum(self.trial_by_route.values(), Tally())

    def sum_old(self):
        """Return the outcomes of the other versions over all routes."""
        return sum(self.old_by_route.values(), Tally())


@attrs.frozen
class Finding:
    """Why a version was found to be bad.

    Parameters
    ----------
    route : str
        The route; `ALL_ROUTES` if it shows only over all of them.
    trial : Tally
        Outcomes of the version.
    compared_share : float
        Share of bad outcomes that it was compared with.
    """

    route: str
    trial: Tally
    compared_share: float


def bound_tail(requests, bad, share):
    """Bound the probability of at least so many bad outcomes.

    Parameters
    ----------
    requests, bad : int
        All outcomes, and the bad ones among them.
    share : float
        Probability of a bad outcome, between 0 and 1.

    Returns
    -------
    float
        Chernoff's bound, 0 to 1.

    Examples
    --------
    >>> bound_tail(4, 4, 0.05) < 0.0001
    True
    >>> bound_tail(100, 5, 0.05)
    1.0
    """
    if requests == 0 or bad / requests <= share:
        return 1.0
    seen = bad / requests
    exponent = seen * math.log(seen / share)
    if seen < 1.0:
        exponent += (1.0 - seen) * math.log((1.0 - seen) / (1.0 - share))
    return math.exp(-requests * exponent)


def find_bad(recent, overall, false_alarm=FALSE_ALARM):
    """Find whether the version on trial is bad, by route and over all routes.

    Parameters
    ----------
    recent : Evidence
        Outcomes of a recent time.
    overall : Evidence
        All outcomes; the old version may have served few requests lately.
    false_alarm : float, default=FALSE_ALARM
        Bound on the probability that a sound version shows so many bad outcomes.

    Returns
    -------
    Finding or None
        ``None`` if nothing shows that it is bad.
    """
    tallies_by_route = {**recent.trial_by_route, ALL_ROUTES: recent.sum_trial()}
    for route, trial in tallies_by_route.items():
        if trial.bad < MIN_BAD:
            continue
        old_shares = [_get_old(each, route).share for each in (recent, overall)]
        share = min(max(TOLERANCE * max(old_shares), BASE_SHARE), 0.9)
        if bound_tail(trial.requests, trial.bad, share) < false_alarm:
            return Finding(route, trial, share)
    return None


def list_wanted_routes(evidence):
    """Return the routes in use of which too few requests were tried, sorted."""
    return sorted(
        route
        for route, old in evidence.old_by_route.items()
        if route != ALL_ROUTES
        and old.requests >= ROUTE_IN_USE
        and evidence.trial_by_route.get(route, Tally()).requests < MIN_TRIED_OF_ROUTE
    )


def has_enough(evidence, needs_all_routes=True):
    """Return whether enough requests were tried for the service to move."""
    is_tried = evidence.sum_trial().requests >= MIN_TRIED
    return is_tried and not (needs_all_routes and list_wanted_routes(evidence))


def _get_old(evidence, route):
    if route == ALL_ROUTES:
        return evidence.sum_old()
    return evidence.old_by_route.get(route, Tally())


def _subtract(later_by_route, earlier_by_route):
    result = collections.defaultdict(Tally)
    for route, tally in later_by_route.items():
        result[route] = tally - earlier_by_route.get(route, Tally())
    return dict(result)
