"""Tests that edits of the text keep comments and change nothing else."""

import pytest

from godwitlanding.base.schema import read_text
from godwitlanding.operator.edit import add_item, remove_item, replace_item

DRAIN = {"what": "vm", "name": "a1"}
OTHER = {"what": "vm", "name": "b1"}


def _value(text):
    return read_text(text).unwrap()


@pytest.mark.parametrize(
    "text",
    [
        "{drains: []}",
        "{\n  // keep me\n  name: 'x',\n}",
        '{"drains": [ // keep me\n  {what: "vm", name: "b1"}, // and me\n]}',
        "{name: 'x' /* keep me */}",
        "{\n  // drains: [] in a comment first\n  drains: [],\n}",
    ],
)
def test_item_is_added_and_removed_again(text):
    added = add_item(text, "drains", DRAIN).unwrap()
    assert _value(added)["drains"][0] == DRAIN
    assert added.count("keep me") == text.count("keep me")
    removed = remove_item(added, "drains", DRAIN).unwrap()
    assert _value(removed) == {"drains": [], **_value(text)}
    assert removed.count("keep me") == text.count("keep me")


@pytest.mark.parametrize(
    "text",
    [
        '{drains: [{what: "vm", name: "a1"}]}',
        '{drains: [{what: "vm", name: "b1"}, {what: "vm", name: "a1"}]}',
        '{drains: [\n{\nwhat: "vm", // why\nname: "a1",\n},\n]}',
    ],
)
def test_existing_item_is_replaced_and_removed(text):
    replaced = replace_item(text, "drains", DRAIN, {**DRAIN, "name": "c1"}).unwrap()
    names = [item["name"] for item in _value(replaced)["drains"]]
    assert "c1" in names and "a1" not in names
    removed = remove_item(text, "drains", DRAIN).unwrap()
    kept = [item for item in _value(text)["drains"] if item != DRAIN]
    assert _value(removed)["drains"] == kept


def test_key_inside_a_string_is_not_edited():
    """A string in the text contains the same characters as the edited key.

    A purely textual edit would change the string, which the operator did not
    ask for.
    """
    text = "{note: 'drains: [', drains: []}"
    added = add_item(text, "drains", OTHER).unwrap()
    assert _value(added) == {"note": "drains: [", "drains": [OTHER]}


@pytest.mark.parametrize("text", ["", "[1]", "{a: }"])
def test_invalid_text_is_not_edited(text):
    assert add_item(text, "drains", DRAIN).is_err()
