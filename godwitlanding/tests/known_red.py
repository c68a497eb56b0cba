"""The tests that ``KNOWN-RED.txt`` lists as failing for a real fault.

Each entry is a line that begins with a test, as pytest names it in the
folder of the tests, and goes on behind a colon and a space.
"""

from pathlib import Path

PAGE = Path(__file__).parents[2] / "KNOWN-RED.txt"


def read_known_red():
    """Return the names of the tests that are known to fail."""
    if not PAGE.exists():
        return set()
    lines = PAGE.read_text().splitlines()
    return {line.split(": ")[0] for line in lines if line and line[0] not in "# "}
