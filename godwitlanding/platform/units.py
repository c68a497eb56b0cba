"""Parses the platform's notation of durations and versions."""

import math


def read_seconds(text):
    """Return the seconds of ``"1500ms"`` or ``"2.5s"``.

    Raises ``ValueError`` if the text is not a duration.
    """
    if not isinstance(text, str):
        raise ValueError(f"{text!r} is not a duration with a unit")
    if text.endswith("ms"):
        seconds = float(text[:-2]) / 1000.0
    elif text.endswith("s"):
        seconds = float(text[:-1])
    else:
        raise ValueError(f"{text!r} has no unit, expected ms or s")
    if not 0.0 <= seconds < math.inf:
        raise ValueError(f"{text!r} is not a finite non-negative duration")
    return seconds


def read_version(text):
    """Return the number 12 of ``"r12"``; raise ``ValueError`` if invalid."""
    if not isinstance(text, str) or not text.startswith("r"):
        raise ValueError(f"{text!r} is not a version")
    return int(text[1:])
