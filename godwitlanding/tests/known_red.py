"""Reads ``KNOWN-RED.txt``, the list of tests that fail for a known fault.

Each entry is a line that starts with a pytest node id relative to the tests
folder, followed by a colon, a space and a description.
"""

from pathlib import Path

PAGE = Path(__file__).parents[2] / "KNOWN-RED.txt"


def read_known_red():
    """Return the node ids of the tests that are known to fail."""
    if not PAGE.exists():
        return set()
    lines = PAGE.read_text().splitlines()
    return {line.split(": ")[0] for line in lines if line and line[0] not in "# "}
