import collections

import hypothesis
import pytest
from hypothesis import strategies

from sycamorespoke import decisions


@pytest.mark.parametrize("share", [0.5, 1.0, 3.0])
def test_pop_serves_accounts_in_proportion_to_shares(share):
    queue = decisions.FairQueue()
    for number in range(400):
        queue.push("one", share, ("one", number))
        queue.push("other", 1.0, ("other", number))
    served = collections.Counter(queue.pop()[0] for _ in range(200))
    assert served["one"] / served["other"] == pytest.approx(share, rel=0.05)


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["push", "pop", "remove"]),
            strategies.sampled_from(["a", "b", "c"]),
        ),
        max_size=60,
    )
)
def test_queue_loses_and_repeats_nothing(steps):
    queue = decisions.FairQueue()
    waiting = []
    for number, (step, account) in enumerate(steps):
        if step == "push":
            queue.push(account, 1.0, (account, number))
            waiting.append((account, number))
        elif step == "pop":
            item = queue.pop()
            assert item in waiting or not waiting
            waiting = [other for other in waiting if other != item]
        elif waiting:
            queue.remove(waiting.pop(0))
        assert len(queue) == len(waiting)
        assert queue.length("a") == sum(item[0] == "a" for item in waiting)
