"""Attribution of the end of upstreams to a block of prompts."""

import hypothesis
from hypothesis import strategies

from sycamorespoke import decisions


def make_broken(upstream, prompt, *blocks):
    return decisions.BrokenPrompt(upstream, prompt, blocks)


def test_a_prompt_that_was_sent_again_and_again_is_one_observation():
    broken = [make_broken(f"i-{n}", "same", "a") for n in range(9)]
    assert decisions.find_fatal_block(broken, set(), set()) is None


def test_several_prompts_that_one_upstream_took_along_are_one_observation():
    broken = [make_broken("i-1", f"p{n}", "a") for n in range(9)]
    assert decisions.find_fatal_block(broken, set(), set()) is None


def test_block_of_prompts_in_flight_beside_a_quarantined_one_is_not_suspected():
    broken = []
    for n in range(5):
        broken.append(make_broken(f"i-{n}", f"p{n}", "bad"))
        broken.append(make_broken(f"i-{n}", f"q{n}", "beside"))
    assert decisions.find_fatal_block(broken, set(), {"bad"}) is None
    assert decisions.find_fatal_block(broken, {"bad"}, set()) == "beside"


def test_second_fatal_block_is_found_beside_a_quarantined_one():
    broken = [make_broken(f"i-{n}", f"p{n}", "one") for n in range(3)]
    broken += [make_broken(f"j-{n}", f"q{n}", "two") for n in range(3)]
    assert decisions.find_fatal_block(broken, set(), {"one"}) == "two"


def test_discarding_sound_blocks_keeps_the_others_in_order():
    broken = [make_broken("i-1", "p", "a", "b", "c"), make_broken("i-1", "q", "b")]
    assert decisions.discard_blocks(broken, {"b"}) == [
        make_broken("i-1", "p", "a", "c")
    ]


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["s1", "s2"]),
            strategies.sampled_from(["d1", "d2", "d3"]),
            strategies.integers(0, 30),
        ),
        min_size=3,
        max_size=40,
    ),
    strategies.integers(0, 3),
)
@hypothesis.settings(derandomize=True, deadline=None)
def test_the_block_in_every_loss_is_found_whatever_else_the_prompts_hold(
    prompts, bystanders
):
    broken = []
    for number, (system, document, other) in enumerate(prompts):
        broken.append(make_broken(f"i-{number}", f"p{number}", system, document, "bad"))
        broken += [
            make_broken(f"i-{number}", f"o{other}{n}", system, f"x{other}")
            for n in range(bystanders)
        ]
    # Sound blocks have complete responses elsewhere.
    sound = {block for each in broken for block in each.blocks} - {"bad"}
    assert decisions.find_fatal_block(broken, sound, set()) == "bad"
    assert decisions.find_fatal_block(broken, sound, {"bad"}) is None
