"""Attribution of the end of upstreams to contents of requests."""

import itertools

import hypothesis
from hypothesis import strategies

from sycamorespoke import decisions


def block(block_id):
    return decisions.Content(decisions.ContentKind.BLOCK, block_id)


def request(fingerprint):
    return decisions.Content(decisions.ContentKind.REQUEST, fingerprint)


def make_broken(upstream, fingerprint, *block_ids):
    """Return a request whose blocks are suspected, but not the request itself."""
    contents = tuple(block(each) for each in block_ids)
    lost_s = get_lost_s(upstream)
    return decisions.BrokenRequest(upstream, fingerprint, contents, lost_s)


def make_suspected(upstream, fingerprint, *block_ids):
    """Return a request that is suspected with its blocks."""
    contents = (*(block(each) for each in block_ids), request(fingerprint))
    lost_s = get_lost_s(upstream)
    return decisions.BrokenRequest(upstream, fingerprint, contents, lost_s)


def get_lost_s(upstream):
    """Return a time at which no other upstream ended, by the number in the name."""
    return 2 * decisions.MOMENT_S * int(upstream.partition("-")[2])


def find(broken, sound=(), quarantined=()):
    suspicion = decisions.find_fatal_content(broken, set(sound), set(quarantined))
    return suspicion and suspicion.content


def make_unnumbered(upstream, fingerprint, lost_s):
    """Return a suspected request at an upstream whose starts have no boot IDs."""
    contents = (request(fingerprint),)
    return decisions.BrokenRequest(
        upstream, fingerprint, contents, lost_s, has_boot_id=False
    )


def test_upstream_without_boot_ids_that_ends_in_three_moments_has_had_three_starts():
    apart_s = 1.5 * decisions.MOMENT_S
    broken = [make_unnumbered("only", "bad", n * apart_s) for n in range(3)]
    assert find(broken[:2]) is None
    assert find(broken) == request("bad")
    assert find(reversed(broken)) == request("bad")


def test_upstream_without_boot_ids_ends_once_in_a_moment():
    apart_s = 0.1 * decisions.MOMENT_S
    broken = [make_unnumbered("only", "bad", n * apart_s) for n in range(9)]
    assert find(broken) is None


def test_request_beside_a_quarantined_one_at_an_upstream_without_boot_ids():
    broken = []
    for n in range(3):
        lost_s = 1.5 * decisions.MOMENT_S * n
        broken.append(make_unnumbered("only", "bad", lost_s))
        # Another host estimates the time of the same end.
        broken.append(make_unnumbered("only", "beside", lost_s + 0.3))
    assert find(broken, quarantined={request("bad")}) is None
    assert find(broken, sound={request("bad")}) == request("beside")


def test_a_prompt_that_was_sent_again_and_again_is_one_observation():
    broken = [make_broken(f"i-{n}", "same", "a") for n in range(9)]
    assert find(broken) is None


def test_several_prompts_that_one_upstream_took_along_are_one_observation():
    broken = [make_broken("i-1", f"p{n}", "a") for n in range(9)]
    assert find(broken) is None


def test_block_of_prompts_in_flight_beside_a_quarantined_one_is_not_suspected():
    broken = []
    for n in range(5):
        broken.append(make_broken(f"i-{n}", f"p{n}", "bad"))
        broken.append(make_broken(f"i-{n}", f"q{n}", "beside"))
    assert find(broken, quarantined={block("bad")}) is None
    assert find(broken, sound={block("bad")}) == block("beside")


def test_block_that_requests_beside_the_fatal_ones_share_with_them_is_not_suspected():
    broken = []
    for n in range(3):
        broken.append(make_broken(f"i-{n}", f"p{n}", "sys", "bad"))
        broken.append(make_broken(f"i-{n}", f"q{n}", "sys", f"doc{n}"))
    assert find(broken) == block("bad")


def test_popular_block_that_was_beside_the_fatal_one_each_time_is_not_suspected():
    broken = []
    for n in range(3):
        broken.append(make_broken(f"i-{n}", f"p{n}", "bad"))
        broken += [make_broken(f"i-{n}", f"q{n} {m}", "popular") for m in range(2)]
    assert find(broken) == block("bad")


def test_block_that_two_fatal_ones_share_is_not_suspected_in_any_order():
    for fatal in itertools.product(("bad", "worse"), repeat=7):
        broken = [
            make_broken(f"i-{n}", f"p{n}", "sys", block_id)
            for n, block_id in enumerate(fatal)
        ]
        found = [find(broken[:count]) for count in range(1, 8)]
        assert block("sys") not in found
        # One of them has ended at least three of the first five.
        assert found[4] in (block("bad"), block("worse"))


def test_fatal_block_is_found_under_prompts_that_go_on_in_three_ways():
    broken = [make_broken(f"i-{n}", f"p{n}", "bad", f"doc{n}") for n in range(3)]
    assert find(broken) == block("bad")


def test_request_is_found_that_was_sent_again_with_a_block_of_two_fatal_ones():
    broken = [make_suspected(f"i-{n}", "again", "sys", "bad") for n in range(3)]
    broken.append(make_suspected("i-3", "p", "sys", "worse"))
    assert find(broken) == request("again")


def test_second_fatal_block_is_found_beside_a_quarantined_one():
    broken = [make_broken(f"i-{n}", f"p{n}", "one") for n in range(3)]
    broken += [make_broken(f"j-{n}", f"q{n}", "two") for n in range(3)]
    assert find(broken, quarantined={block("one")}) == block("two")


def test_discarding_sound_blocks_keeps_the_others_in_order():
    broken = [make_broken("i-1", "p", "a", "b", "c"), make_broken("i-1", "q", "b")]
    assert decisions.discard_contents(broken, {block("b")}) == [
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
    sound = {each for one in broken for each in one.contents} - {block("bad")}
    assert find(broken, sound) == block("bad")
    assert find(broken, sound, {block("bad")}) is None


def test_request_that_was_at_three_upstreams_as_they_ended_is_found():
    broken = [make_suspected(f"i-{n}", "bad") for n in range(2)]
    assert find(broken) is None
    broken.append(make_suspected("i-2", "bad"))
    assert find(broken) == request("bad")


def test_request_that_one_upstream_had_several_times_is_one_observation():
    assert find([make_suspected("i-1", "a") for _ in range(9)]) is None


def test_request_is_found_before_a_block_that_sound_requests_share_with_it():
    broken = []
    for n in range(3):
        broken.append(make_suspected(f"i-{n}", "bad", "sys", "doc"))
        broken.append(make_suspected(f"i-{n}", f"beside{n}", "sys", "doc"))
    assert find(broken) == request("bad")


def test_block_is_found_before_a_request_with_it_that_was_sent_again():
    broken = [make_suspected(f"i-{n}", "again", "bad") for n in range(3)]
    broken += [make_suspected(f"j-{n + 3}", f"p{n}", "bad") for n in range(2)]
    assert find(broken) == block("bad")


def test_request_beside_a_quarantined_one_is_not_suspected():
    broken = []
    for n in range(3):
        broken.append(make_suspected(f"i-{n}", "bad"))
        broken.append(make_suspected(f"i-{n}", "repeated"))
    assert find(broken, quarantined={request("bad")}) is None


def test_requests_with_equal_evidence_are_contested_until_one_has_more():
    broken = []
    for n in range(3):
        broken.append(make_suspected(f"i-{n}", "bad"))
        broken.append(make_suspected(f"i-{n}", "repeated"))
    assert decisions.find_fatal_content(broken, set(), set()).is_contested
    sound = {request("repeated")}
    suspicion = decisions.find_fatal_content(broken, sound, set())
    assert suspicion == decisions.Suspicion(request("bad"))
    broken.append(make_suspected("i-3", "bad"))
    suspicion = decisions.find_fatal_content(broken, set(), set())
    assert suspicion == decisions.Suspicion(request("bad"))


@hypothesis.given(
    strategies.lists(
        strategies.lists(strategies.sampled_from("abcdefgh"), max_size=6),
        min_size=4,
        max_size=12,
    )
)
@hypothesis.settings(derandomize=True, deadline=None)
def test_the_request_in_every_loss_is_found_whichever_were_beside_it(beside):
    broken = []
    for number, fingerprints in enumerate(beside):
        broken.append(make_suspected(f"i-{number}", "bad"))
        broken += [make_suspected(f"i-{number}", each) for each in fingerprints]
    # No other request was at every upstream.
    everywhere = set.intersection(*(set(each) for each in beside))
    sound = {request(each) for each in everywhere}
    assert find(broken, sound) == request("bad")
    assert find(broken, sound, {request("bad")}) is None


@hypothesis.given(
    strategies.lists(strategies.floats(0, decisions.MOMENT_S / 2), min_size=1),
    strategies.integers(1, 5),
)
@hypothesis.settings(derandomize=True, deadline=None)
def test_block_is_found_only_if_upstreams_end_in_three_moments(offsets_s, moments):
    broken = [
        decisions.BrokenRequest(
            f"i-{moment}-{number}",
            f"p{moment}-{number}",
            (block("doc"),),
            10 * decisions.MOMENT_S * moment + offset_s,
        )
        for moment in range(moments)
        for number, offset_s in enumerate(offsets_s)
    ]
    assert find(broken) == (block("doc") if moments >= 3 else None)


def test_upstreams_that_end_in_quick_succession_are_several_moments():
    broken = [
        decisions.BrokenRequest(f"i-{n}", f"p{n}", (block("bad"),), n / 10)
        for n in range(40)
    ]
    assert find(broken) == block("bad")
