"""Checks that the documentation matches the tables and commands in code."""

import ast
import re
from pathlib import Path

import pytest

from godwitlanding.base.codes import ROW_BY_CODE
from godwitlanding.base.configschema import CONFIG
from godwitlanding.base.schema import REQUIRED
from godwitlanding.base.settings import SETTINGS
from godwitlanding.ctl import parse_arguments

ROOT = Path(__file__).parents[2]
DOCS = ROOT / "docs"


def _walk(table, prefix=""):
    for key, field in table.items():
        path = prefix + key
        yield path, field
        inner = field.item if field.kind == "list" else field
        if inner and inner.table:
            tail = "[]." if field.kind == "list" else "."
            yield from _walk(inner.table, path + tail)


def _read_entries(page):
    """Return the indented text below each ``key`` at the start of a line."""
    text = (DOCS / page).read_text()
    found = re.findall(r"^``([^`]+)``\n((?:    .*\n|\n(?=    ))+)", text, re.M)
    return {key: " ".join(body.split()) for key, body in found}


def _describe_default(field):
    if field.default is REQUIRED:
        return "required"
    if field.default == []:
        return "empty"
    if isinstance(field.default, bool):
        return str(field.default).lower()
    if isinstance(field.default, str):
        return f'"{field.default}"'
    return str(field.default)


@pytest.mark.parametrize(
    ("page", "table"), [("settings.rst", SETTINGS), ("configuration.rst", CONFIG)]
)
def test_page_describes_every_key(page, table):
    entries = _read_entries(page)
    fields = dict(_walk(table))
    assert set(entries) == set(fields)
    for path, field in fields.items():
        assert f"Default: {_describe_default(field)};" in entries[path], path
        assert field.help in entries[path]
        if field.unit:
            assert f"unit {field.unit}" in entries[path], path


def test_codes_page_matches_the_table():
    text = (DOCS / "codes.rst").read_text()
    rows = re.findall(r"^(\d{4}) +(\w+) +(\d{3}) +(\w+) +(.+)$", text, re.M)
    expected = [
        (str(code.value), code.name, str(row.http_status), row.run, row.title)
        for code, row in ROW_BY_CODE.items()
    ]
    assert rows == expected


def test_modules_page_matches_the_docstrings():
    documented = _read_entries("modules.rst")
    package = ROOT / "godwitlanding"
    expected = {}
    for path in package.rglob("*.py"):
        parts = path.relative_to(package).with_suffix("").parts
        if path.stem != "__init__" and parts[0] != "tests":
            docstring = ast.get_docstring(ast.parse(path.read_text()))
            expected[".".join(parts)] = " ".join(docstring.split("\n\n")[0].split())
    assert documented == expected


def _find_commands():
    for path in sorted([*DOCS.glob("*.rst"), ROOT / "README.md"]):
        for line in re.findall(r"^ {4}\$? ?(godwitctl .+)$", path.read_text(), re.M):
            yield path.name, line


@pytest.mark.parametrize(("page", "line"), list(_find_commands()))
def test_documented_commands_are_parsed(page, line):
    words = re.findall(r'"[^"]*"|\S+', line.split("  #")[0])
    parse_arguments([word.strip('"') for word in words[1:]])


def test_every_required_library_has_a_documented_reason():
    text = (DOCS / "dependencies.rst").read_text()
    required = (ROOT / "requirements.in").read_text().split()
    for name in (word for word in required if re.fullmatch(r"[a-z][a-z0-9-]+", word)):
        if name != "development":
            assert f"``{name}``" in text, name
