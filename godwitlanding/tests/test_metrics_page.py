"""Checks that docs/metrics.rst lists every metric with its labels."""

import ast
import re
from pathlib import Path

PACKAGE = Path(__file__).parents[1]
PAGE = PACKAGE.parent / "docs" / "metrics.rst"
METHODS = {"add", "record", "observe"}
# Arguments of the methods that are not labels.
ARGUMENTS = {"amount", "read", "value_s"}


def get_sources():
    """Return the files of the package without the tests."""
    tests = PACKAGE / "tests"
    return [path for path in PACKAGE.rglob("*.py") if tests not in path.parents]


def find_metrics():
    """Return ``{name: labels}`` of all metric calls in the package."""
    labels_by_name = {}
    for source in get_sources():
        for node in ast.walk(ast.parse(source.read_text())):
            if is_metric(node):
                labels = {k.arg for k in node.keywords} - ARGUMENTS
                labels_by_name.setdefault(node.args[0].value, set()).update(labels)
    return labels_by_name


def is_metric(node):
    if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute):
        return False
    owner = ast.unparse(node.func.value)
    return node.func.attr in METHODS and owner.endswith("counters")


def read_page():
    """Return ``{name: labels}`` of the entries of the page."""
    entries = re.findall(r"^``(\w+)``(.*)\n    \S", PAGE.read_text(), re.M)
    return {name: set(re.findall(r"``(\w+)``", labels)) for name, labels in entries}


def test_page_and_code_agree():
    assert read_page() == find_metrics()


def test_names_are_literal():
    """``find_metrics`` cannot find names that are composed at run time."""
    for source in get_sources():
        for node in ast.walk(ast.parse(source.read_text())):
            if is_metric(node):
                assert isinstance(node.args[0], ast.Constant), ast.unparse(node)
