"""Tells for how long the machine has been suspended.

The clock of the event loop stands still while a machine is suspended. What
depends on the time that passes elsewhere has to know of it.
"""

import time


def get_suspended_s():
    """Return the seconds of all suspensions since the machine started.

    It may be too low for a moment, never too high: the clock that counts
    suspensions is read first, and the process may be interrupted in between.
    """
    with_suspensions_s = time.clock_gettime(time.CLOCK_BOOTTIME)
    return with_suspensions_s - time.clock_gettime(time.CLOCK_MONOTONIC)
