"""Tests of reading documents with lists of entries."""

import pytest

from sycamorespoke import clients


def parse_size(value):
    return clients.check_number(clients.read_field(value, "size", int), "size")


def test_each_entry_that_is_malformed_is_named_and_left_out():
    document = {"sizes": [{"size": 1}, {"size": "x"}, 7, {"size": 2}, {}, None]}
    reader = clients.EntryReader(document, "document")
    assert reader.parse_each("sizes", parse_size) == (1, 2)
    assert [problem.path for problem in reader.problems] == [
        "sizes[1]",
        "sizes[2]",
        "sizes[4]",
        "sizes[5]",
    ]


def test_an_entry_that_is_parsed_to_none_is_kept():
    reader = clients.EntryReader({"sizes": [1]}, "document")
    assert reader.parse_each("sizes", lambda value: None) == (None,)
    assert reader.problems == []


@pytest.mark.parametrize(
    ("document", "is_required", "count"),
    [({}, True, 1), ({"sizes": None}, True, 1), ({"sizes": 7}, True, 1)]
    + [({}, False, 0), ({"sizes": None}, False, 0), ({"sizes": 7}, False, 1)],
)
def test_a_list_that_is_missing_is_a_problem_if_it_is_required(
    document, is_required, count
):
    reader = clients.EntryReader(document, "document")
    assert reader.parse_each("sizes", parse_size, is_required=is_required) == ()
    assert len(reader.problems) == count


def test_a_part_that_is_missing_counts_as_empty():
    reader = clients.EntryReader({}, "document")
    assert reader.parse_part("limits", len) == 0
    assert reader.problems == []


@pytest.mark.parametrize("document", [None, [], 7, "x"])
def test_a_document_that_is_no_object_is_malformed(document):
    with pytest.raises(clients.MalformedFieldError, match="document"):
        clients.EntryReader(document, "document")


def test_members_that_are_read_or_resemble_none_are_not_misspelt():
    document = {"sizes": [{"size": 1, "colour": "red"}], "note": "x"}
    reader = clients.EntryReader(document, "document")
    reader.parse_each("sizes", parse_size)
    assert reader.find_misspelt() == []


def test_a_misspelt_member_of_an_entry_is_found():
    reader = clients.EntryReader({"sizes": [{}, {"sizee": 1}]}, "document")
    reader.parse_each("sizes", parse_size)
    assert [str(problem) for problem in reader.find_misspelt()] == [
        "sizes[1]: sizee is not read; perhaps size is meant"
    ]
