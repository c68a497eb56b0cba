"""Edits lists in the configuration text, keeping its comments and layout.

The configuration text is the only way to change the system, so ``drain`` and
``shift`` are edits of that text. Each edit tries candidate texts and returns
the first that parses to exactly the expected value; if there is none, the
edit fails and the operator has to edit the text by hand. An edit therefore
never changes anything else, whatever the layout of the text.

>>> add_item('{drains: []}', "drains", {"what": "vm", "name": "a1"}).unwrap()
'{drains: [\\n    {what: "vm", name: "a1"},\\n  ]}'
"""

import json
import re

from result import Err, Ok

from godwitlanding.base.codes import Code
from godwitlanding.base.schema import Problem, read_text

_INDENT = "    "


def add_item(text, key, item):
    """Return ``Ok`` with the text with ``item`` first in the list ``key``."""
    parsed = _parse_table(text)
    if parsed.is_err():
        return parsed
    value = parsed.unwrap()
    value[key] = [item, *value.get(key, [])]
    line = f"\n{_INDENT}{format_item(item)},"
    return _choose_candidate(value, _insertion_candidates(text, key, line), key)


def remove_item(text, key, item):
    """Return ``Ok`` with the text without the items equal to ``item``."""
    parsed = _parse_table(text)
    if parsed.is_err():
        return parsed
    value = parsed.unwrap()
    value[key] = [other for other in value.get(key, []) if other != item]
    return _choose_candidate(value, _removal_candidates(text, item), key)


def replace_item(text, key, old, new):
    """Return ``Ok`` with the text with ``new`` in place of items ``old``."""
    parsed = _parse_table(text)
    if parsed.is_err():
        return parsed
    value = parsed.unwrap()
    value[key] = [new if item == old else item for item in value.get(key, [])]
    return _choose_candidate(value, _replacement_candidates(text, old, new), key)


def format_item(item):
    """Return a table formatted as one line of JSON5."""
    pairs = (f"{key}: {json.dumps(value)}" for key, value in item.items())
    return "{" + ", ".join(pairs) + "}"


def _parse_table(text):
    parsed = read_text(text)
    if parsed.is_ok() and not isinstance(parsed.unwrap(), dict):
        return Err([Problem(Code.CONFIG_WRONG_TYPE, "", 1, "not a table", "a table")])
    return parsed


def _insertion_candidates(text, key, line):
    for match in re.finditer(rf"\b{key}\b[\"']?\s*:\s*\[", text):
        rest = text[match.end() :]
        end = "\n  " if rest.startswith("]") else ""
        yield text[: match.end()] + line + end + rest
    # If the key is missing, a new list is inserted before the closing brace.
    end = text.rfind("}")
    head = text[:end].rstrip()
    for comma in ("", ","):
        yield f"{head}{comma}\n{_INDENT}{key}: [{line}\n{_INDENT}],\n{text[end:]}"


def _removal_candidates(text, item):
    for start, end in _find_tables(text, item):
        for tail in (r"[ \t]*,[ \t]*\n?", r"[ \t]*\n?", ""):
            match = re.compile(tail).match(text, end)
            if match:
                head = text[:start].rstrip(" \t")
                yield head + text[match.end() :]
        before = re.sub(r",\s*$", "", text[:start])
        yield before + text[end:]


def _replacement_candidates(text, old, new):
    for start, end in _find_tables(text, old):
        yield text[:start] + format_item(new) + text[end:]


def _find_tables(text, item):
    # Finds each innermost {...} that parses to the item. A match inside a
    # comment or string does no harm: the edited text is checked as a whole.
    for match in re.finditer(r"\{[^{}]*\}", text):
        parsed = read_text(match.group())
        if parsed.is_ok() and parsed.unwrap() == item:
            yield match.start(), match.end()


def _choose_candidate(value, candidates, key):
    for candidate in candidates:
        parsed = read_text(candidate)
        if parsed.is_ok() and parsed.unwrap() == value:
            return Ok(candidate)
    expected = f"a list {key!r} that can be edited; edit the text by hand"
    return Err([Problem(Code.CONFIG_SYNTAX, key, 0, "no such list", expected)])
