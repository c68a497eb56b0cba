"""The platform's notation of times and versions."""

import math


def read_seconds(text):
    """Return ``"1500ms"`` or ``"2.5s"`` in seconds; ``ValueError`` if odd."""
    if not isinstance(text, str):
        raise ValueError(f"{text!r} is no time with a unit")
    if text.endswith("ms"):
        seconds = float(text[:-2]) / 1000.0
    elif text.endswith("s"):
        seconds = float(text[:-1])
    else:
        raise ValueError(f"{text!r} has no unit, ms or s")
    if not 0.0 <= seconds < math.inf:
        raise ValueError(f"{text!r} is no length of time")
    return seconds


def read_version(text):
    """Return ``"r12"`` as 12; ``ValueError`` if it is not a version."""
    if not isinstance(text, str) or not text.startswith("r"):
        raise ValueError(f"{text!r} is no version")
    return int(text[1:])
