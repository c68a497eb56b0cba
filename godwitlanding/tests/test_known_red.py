"""Checks that the list of known failures names existing tests."""

from godwitlanding.tests.known_red import PAGE, read_known_red


def test_each_entry_names_a_test():
    tests = PAGE.parent / "godwitlanding" / "tests"
    for name in read_known_red():
        path, _, test = name.partition("::")
        assert f"def {test.partition('[')[0]}(" in (tests / path).read_text(), name
