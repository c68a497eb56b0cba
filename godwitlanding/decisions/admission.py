"""Who may wait, how long, and when the others are told to come back.

Load pattern: more arrives than the slots can serve, for seconds or for
hours. A queue that takes everything grows until each request in it is
answered after its caller has given up: slots stay busy and no answer is of
use. So a request is refused at once when it cannot be served in time, and
the slots work only on requests whose callers still wait.

A request is taken where the estimate of its wait is within a share of the
time it has. A longer queue absorbs more of a burst and nothing of an
overload, and adds its length to everyone's latency, at the same goodput. So
look-ups, whose callers mind the delay most, are taken up to a tenth of
their deadline, and payments, orders and bookings, whose refusal hurts more
than a delay, up to a quarter.

The estimate is a mean, and callers with less waiting are served before. So
what was taken may wait three times as long before it is given up: with no
such patience half of the refusals at twice the load came after the whole
wait, with it 3 in 1,000. Figures stand in ``docs/decisions.rst``.

Refused callers come back. Told all the same time, they come back together
and are refused together; told a short time, they double the load. Each is
told a time of its own: they are spaced at ``RETURN_SHARE`` of what the
slots serve: half of what a service planned for 70 % load has to spare, so
that the queue stays short for new callers meanwhile. Beyond 30 seconds a
person presses again anyway.
"""

WAIT_SHARE_BY_PRIORITY = {0: 0.25, 1: 0.1, 2: 0.15}
DEFAULT_WAIT_SHARE = 0.15
PATIENCE = 3.0
# Reserve for the work itself: its mean and this many mean deviations.
DEVIATIONS = 4.0
# An estimate of the work beyond this share of the time left would refuse
# everything, and with nothing running the estimate could never recover.
MAX_WORK_SHARE = 0.75
RETURN_SHARE = 0.15
MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 30.0
# While no slot is usable but loans or permits are being recovered, which
# takes two round trips in the zone and the silence limit of a member.
RECOVERY_WAIT_S = 1.5
_ALPHA = 0.05


class WorkTime:
    """Running mean and mean deviation of the time that slots are held."""

    def __init__(self, work_s):
        self.mean_s = work_s
        self.deviation_s = work_s / 2

    def note(self, held_s):
        """Count one more; about the last 20 decide."""
        error_s = held_s - self.mean_s
        self.mean_s += _ALPHA * error_s
        self.deviation_s += _ALPHA * (abs(error_s) - self.deviation_s)

    def get_upper_bound_s(self):
        """Return the time that nearly every request ends within."""
        return self.mean_s + DEVIATIONS * self.deviation_s


class Admission:
    """Estimates waiting times and gives refused callers their return."""

    def __init__(self, work_s):
        self.work_time = WorkTime(work_s)
        self._next_retry_at = 0.0

    def get_start_by(self, now, deadline, priority):
        """Return the latest time at which the request has to start."""
        share = PATIENCE * WAIT_SHARE_BY_PRIORITY.get(priority, DEFAULT_WAIT_SHARE)
        remaining_s = deadline - now
        work_s = min(self.work_time.get_upper_bound_s(), MAX_WORK_SHARE * remaining_s)
        return now + min(share * remaining_s, remaining_s - work_s)

    def get_recovery_start_by(self, now, deadline):
        """Return the same for a request that finds no usable slot.

        Its wait is not for a turn but for loans and permits to be known
        again, which takes no longer for a longer queue.
        """
        remaining_s = deadline - now
        work_s = min(self.work_time.get_upper_bound_s(), MAX_WORK_SHARE * remaining_s)
        return now + min(RECOVERY_WAIT_S, remaining_s - work_s)

    def get_wait_s(self, ahead, slots, mean_s=0.0):
        """Return how long a request with ``ahead`` before it will wait."""
        if slots <= 0:
            return 0.0
        return (ahead + 1) * (mean_s or self.work_time.mean_s) / slots

    def get_retry_after_s(self, now, queued, slots):
        """Return when a refused caller should come back, in seconds."""
        mean_s = max(1e-3, self.work_time.mean_s)
        rate_per_s = max(1, slots) / mean_s
        earliest = now + max(MIN_RETRY_AFTER_S, queued / rate_per_s)
        spaced = self._next_retry_at + 1 / (RETURN_SHARE * rate_per_s)
        latest = now + MAX_RETRY_AFTER_S
        self._next_retry_at = min(latest, max(earliest, spaced))
        return self._next_retry_at - now
