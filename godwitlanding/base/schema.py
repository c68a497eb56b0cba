"""Validates JSON with comments against a schema.

A schema is a dict of ``Field`` by key; the settings and the operators'
configuration text each have one. All problems are collected in one pass,
each with the key, the line if known, the value found and what was
expected.

>>> table = {"port": Field("integer", default=80, minimum=1, maximum=65535)}
>>> check_text("{prot: 80}", table).unwrap_err()[0].expected
"one of the known keys; did you mean 'port'?"
"""

import re
from difflib import get_close_matches
from typing import Any, NamedTuple

import pyjson5
from result import Err, Ok

from godwitlanding.base.codes import Code

REQUIRED = object()

_TYPES_BY_KIND = {
    "text": (str,),
    "integer": (int,),
    "number": (int, float),
    "boolean": (bool,),
    "list": (list,),
    "table": (dict,),
}


class Field(NamedTuple):
    """Schema of the value of one key.

    ``kind`` is text, integer, number, boolean, list or table. ``item`` is
    the schema of a list's items; ``table`` the schema of a table, by key.
    """

    kind: str
    default: Any = REQUIRED
    unit: str = ""
    help: str = ""
    minimum: float | None = None
    maximum: float | None = None
    choices: tuple = ()
    pattern: str = ""
    item: "Field | None" = None
    table: "dict[str, Field] | None" = None


class Problem(NamedTuple):
    """A validation error; ``line`` is 0 if it is not known."""

    code: Code
    path: str
    line: int
    found: str
    expected: str

    def __str__(self):
        place = f"line {self.line}: " if self.line else ""
        return (
            f"{place}{self.path or 'text'}: found {self.found}, "
            f"expected {self.expected} [{self.code.value}]"
        )


def read_text(text):
    """Parse JSON with comments; return ``Ok(value)`` or ``Err([problem])``."""
    try:
        return Ok(pyjson5.decode(text))
    except pyjson5.Json5DecoderException as error:
        message = str(error.args[0])
        near = re.search(r"near (\d+)", message)
        line = text.count("\n", 0, int(near.group(1))) + 1 if near else 0
        problem = Problem(
            Code.CONFIG_SYNTAX, "", line, message.replace("b'", "'"), "JSON5"
        )
        return Err([problem])
    except RecursionError:
        problem = Problem(Code.CONFIG_SYNTAX, "", 0, "too many levels", "JSON5")
        return Err([problem])


def check_text(text, table):
    """Parse and validate a text.

    Returns ``Ok`` with the value completed by defaults, or ``Err`` with all
    problems.
    """
    parsed = read_text(text)
    if parsed.is_err():
        return parsed
    checker = Checker(text)
    value = checker.check(parsed.unwrap(), Field("table", table=table), "")
    return Err(checker.problems) if checker.problems else Ok(value)


class Checker:
    """Validates the values of one text and collects its problems."""

    def __init__(self, text):
        self.problems = []
        self._text = text

    def add(self, code, path, found, expected, near=None):
        """Add a problem.

        ``near`` is a word of the text by which the line is found; the
        default is the last part of ``path``.
        """
        line = self._find_line(near or path.rpartition(".")[2])
        self.problems.append(Problem(code, path, line, found, expected))

    def check(self, value, field, path):
        """Validate ``value``; return it completed with defaults."""
        expected_types = _TYPES_BY_KIND[field.kind]
        is_boolean = isinstance(value, bool) and field.kind != "boolean"
        if is_boolean or not isinstance(value, expected_types):
            self._add_wrong_type(value, field, path)
            return value
        if field.kind == "table":
            return self._check_table(value, field, path)
        if field.kind == "list":
            return [
                self.check(item, field.item, f"{path}[{index}]")
                for index, item in enumerate(value)
            ]
        self._check_range(value, field, path)
        return value

    def _check_table(self, value, field, path):
        result = {}
        prefix = f"{path}." if path else ""
        for key in value:
            if key not in field.table:
                self._add_unknown_key(key, field.table, prefix + key)
        for key, inner in field.table.items():
            if key in value:
                result[key] = self.check(value[key], inner, prefix + key)
            elif inner.default is REQUIRED:
                self.add(
                    Code.CONFIG_MISSING_KEY,
                    prefix + key,
                    "nothing",
                    f"{inner.kind}{_describe_unit(inner)}",
                    near=path.rpartition(".")[2],
                )
            else:
                result[key] = inner.default
        return result

    def _check_range(self, value, field, path):
        low = field.minimum is not None and value < field.minimum
        high = field.maximum is not None and value > field.maximum
        unmatched = field.pattern and not re.fullmatch(field.pattern, value)
        if low or high:
            bounds = f"{field.minimum} to {field.maximum}{_describe_unit(field)}"
            self.add(Code.CONFIG_OUT_OF_RANGE, path, repr(value), bounds)
        elif field.choices and value not in field.choices:
            choices = ", ".join(map(repr, field.choices))
            self.add(Code.CONFIG_OUT_OF_RANGE, path, repr(value), choices)
        elif unmatched:
            expected = f"text like {field.pattern}"
            self.add(Code.CONFIG_OUT_OF_RANGE, path, repr(value), expected)

    def _add_wrong_type(self, value, field, path):
        found = f"{type(value).__name__} {str(value)[:40]!r}"
        self.add(Code.CONFIG_WRONG_TYPE, path, found, field.kind)

    def _add_unknown_key(self, key, table, path):
        close = get_close_matches(key, table, n=1)
        hint = f"; did you mean {close[0]!r}?" if close else ""
        expected = f"one of the known keys{hint}"
        self.add(Code.CONFIG_UNKNOWN_KEY, path, repr(key), expected)

    def _find_line(self, word):
        # The line is known only if the word occurs once in the text.
        word = re.sub(r"\[\d+\]$", "", word)
        if not word:
            return 0
        found = list(re.finditer(rf"(?<!\w){re.escape(word)}(?!\w)", self._text))
        if len(found) != 1:
            return 0
        return self._text.count("\n", 0, found[0].start()) + 1


def _describe_unit(field):
    return f" ({field.unit})" if field.unit else ""
