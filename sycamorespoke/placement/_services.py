"""Choice of the upstream for a request without a prompt."""

import attrs


@attrs.frozen
class ServiceCandidate:
    """An upstream of a plain service that is eligible for a request.

    Parameters
    ----------
    name : str
        Unique name.
    requests : float
        Estimated requests of all hosts at the upstream, 0 or more.
    slots : int
        Requests that the upstream runs at once, above 0.
    is_near : bool, default=True
        Whether the upstream is in this host's data centre.
    """

    name: str
    requests: float
    slots: int
    is_near: bool = True

    @property
    def utilisation(self):
        """Requests for each slot, with the one to be placed."""
        return (self.requests + 1.0) / self.slots


def choose_by_draw(candidates, near_advantage, sample):
    """Choose the less utilised of two upstreams that are drawn.

    Load answered: many hosts that know the same old figures. If all took the least
    utilised upstream, it would get the requests of all of them until the next figures.

    Parameters
    ----------
    candidates : sequence of ServiceCandidate
        At least one.
    near_advantage : float
        A near upstream is preferred unless its utilisation exceeds that of the drawn
        one by more than this.
    sample : callable
        Draws a number of items of a sequence without repetition, such as
        ``random.sample``.

    Returns
    -------
    ServiceCandidate
        The better of two drawn from all; one of the two is near if there is such an
        upstream.

    Examples
    --------
    >>> import random
    >>> busy = [ServiceCandidate("a", 9.0, 4), ServiceCandidate("b", 0.0, 4)]
    >>> choose_by_draw(busy, 0.25, random.Random(1).sample).name
    'b'
    """
    near = [candidate for candidate in candidates if candidate.is_near]
    drawn = sample(near, 1) if near else []
    others = [candidate for candidate in candidates if candidate not in drawn]
    drawn += sample(others, min(2 - len(drawn), len(others)))

    def compute_cost(candidate):
        advantage = near_advantage if candidate.is_near else 0.0
        return candidate.utilisation - advantage

    return min(drawn, key=compute_cost)
