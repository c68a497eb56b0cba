"""Computes the retry-after time of a refused request.

Load pattern: hundreds of requests are refused in the same second. Given the
same time, all these callers retry together, and most are refused once more. So
the time is drawn uniformly from a range. Callers wait a third of the time they
have left at the most; the range ends below that, and begins after one slot
turnover, before which nothing can have changed.
"""

MAX_SHARE_OF_TIME_LEFT = 0.32
MIN_RETRY_AFTER_S = 0.05


def get_retry_after_s(time_left_s, turnover_s, draw):
    """Return the seconds to wait before a retry.

    ``draw`` is a uniform random number from 0 to 1; ``turnover_s`` is the time
    before which nothing can have changed.
    """
    latest = MAX_SHARE_OF_TIME_LEFT * time_left_s
    earliest = min(latest, max(MIN_RETRY_AFTER_S, turnover_s))
    return round(earliest + draw * (latest - earliest), 3)


def get_token_retry_s(wait_s, time_left_s, draw):
    """Return the seconds to wait for a token that is available in ``wait_s``.

    A caller that cannot wait that long is unlikely to get a token; its time is
    spread by ``draw``, so that such callers do not all retry at once only to
    be refused again.
    """
    latest = MAX_SHARE_OF_TIME_LEFT * time_left_s
    if wait_s <= latest:
        return round(max(MIN_RETRY_AFTER_S, wait_s), 3)
    return round(latest * (1.0 + draw) / 2, 3)
