"""Checks that the tests named in docs/promises.rst exist."""

import re
from pathlib import Path

import pytest

TESTS = Path(__file__).parent
PAGE = TESTS.parents[1] / "docs/promises.rst"
NAMED = sorted(set(re.findall(r"``(test_\w+)::(test_\w+)``", PAGE.read_text())))


@pytest.mark.parametrize(("module", "test"), NAMED)
def test_named_test_exists(module, test):
    text = next(TESTS.rglob(f"{module}.py")).read_text()
    assert re.search(rf"^(async )?def {test}\(", text, re.MULTILINE)
