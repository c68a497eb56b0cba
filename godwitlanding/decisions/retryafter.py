"""When a refused caller is told to come back.

Load pattern: hundreds are refused in the same second. Told the same time
they all come back together, and most are refused once more. So the time is
drawn evenly from a range. Callers wait a third of the time they have left
at the most; the range ends below that, and begins where a slot has turned
over once, before which nothing can have changed.
"""

MAX_SHARE_OF_TIME_LEFT = 0.32
MIN_S = 0.05


def get_retry_after_s(time_left_s, turnover_s, draw):
    """Return the seconds to wait; ``draw`` is an even draw from 0 to 1.

    ``turnover_s`` is the time before which nothing can have changed.
    """
    latest = MAX_SHARE_OF_TIME_LEFT * time_left_s
    earliest = min(latest, max(MIN_S, turnover_s))
    return round(earliest + draw * (latest - earliest), 3)


def get_token_retry_s(wait_s, time_left_s, draw):
    """Return when to come back for a token that is there after ``wait_s``.

    Who cannot wait that long hardly gets one; those callers are spread, so
    that they do not all ask at once what they are told again.
    """
    latest = MAX_SHARE_OF_TIME_LEFT * time_left_s
    if wait_s <= latest:
        return round(max(MIN_S, wait_s), 3)
    return round(latest * (1.0 + draw) / 2, 3)
