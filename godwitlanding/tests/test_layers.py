"""Checks that each folder of the package imports only lower layers."""

import ast
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parents[1]
# The folders that each folder may import besides itself. Top-level modules
# assemble the programs and may import everything.
ALLOWED_BY_FOLDER = {
    "base": set(),
    "decisions": {"base"},
    "gateway": {"base", "decisions"},
    "daemons": {"base", "decisions"},
    "operator": {"base", "decisions"},
    "platform": {"base", "decisions", "gateway"},
}
TOP_LEVEL_MODULES = {"__init__", "ctl", "entry", "program", "steer", "vm", "zone"}


def _find_imports(path):
    """Yield the folders and modules of the package that a file imports."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module:
            if node.module == "godwitlanding":
                yield from (alias.name for alias in node.names)
            elif node.module.startswith("godwitlanding."):
                yield node.module.split(".")[1]
        elif isinstance(node, ast.Import):
            for alias in node.names:
                if alias.name.startswith("godwitlanding."):
                    yield alias.name.split(".")[1]


@pytest.mark.parametrize("folder", ALLOWED_BY_FOLDER)
def test_folder_imports_only_allowed_folders(folder):
    allowed = ALLOWED_BY_FOLDER[folder] | {folder, "__version__"}
    for path in (PACKAGE / folder).rglob("*.py"):
        disallowed = set(_find_imports(path)) - allowed
        assert not disallowed, f"{path.relative_to(PACKAGE)} imports {disallowed}"


def test_top_level_holds_only_programs():
    assert {path.stem for path in PACKAGE.glob("*.py")} == TOP_LEVEL_MODULES
    folders = {path.parent.name for path in PACKAGE.glob("*/__init__.py")}
    assert folders - {"tests"} == set(ALLOWED_BY_FOLDER)
