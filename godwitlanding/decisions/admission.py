"""Admission control: limits on queueing time, and Retry-After times.

Load pattern: more requests arrive than the slots can serve, for seconds or
for hours. An unbounded queue grows until each request in it is answered
after its caller has given up: the slots stay busy and no response is useful.
So a request that cannot be served in time is refused at once, and the slots
work only on requests whose callers still wait.

A request is admitted if its estimated wait is within a share of its
remaining time. A longer queue absorbs more of a burst but none of a lasting
overload, and adds its length to the latency of all requests, at the same
goodput. So look-ups, for which delay matters most, are admitted up to a
tenth of their deadline, and payments, orders and bookings, for which a
refusal costs more than a delay, up to a quarter.

The estimate is a mean, and requests of callers with fewer queued requests
are served first. So an admitted request may wait three times the estimate
limit before it is dropped: without this factor half of the refusals at
twice the load came only after the whole wait; with it, 3 in 1,000. Figures
are in ``docs/decisions.rst``.

Refused callers retry. If all are given the same time, they return together
and are refused together; if the time is short, they double the load. Each
gets a time of its own: returns are spaced at ``RETURN_SHARE`` of the service
rate, which is half of the spare capacity of a service planned for 70 % load,
so that the queue stays short for new callers meanwhile. Above 30 seconds a
person retries by hand anyway.
"""

WAIT_SHARE_BY_PRIORITY = {0: 0.25, 1: 0.1, 2: 0.15}
DEFAULT_WAIT_SHARE = 0.15
PATIENCE = 3.0
# Time reserved for the work itself: its mean plus this many mean deviations.
DEVIATIONS = 4.0
# Upper limit of the work estimate, as a share of the remaining time. A larger
# estimate would refuse every request, and with none running the estimate
# could never fall again.
MAX_WORK_SHARE = 0.75
RETURN_SHARE = 0.15
MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 30.0
# Wait allowed while no slot is usable because loans or permits are being
# recovered, which takes two round trips in the zone and the timeout after
# which a member counts as silent.
RECOVERY_WAIT_S = 1.5
_ALPHA = 0.05


class WorkTime:
    """Moving mean and mean deviation of slot holding times, in seconds."""

    def __init__(self, work_s):
        self.mean_s = work_s
        self.deviation_s = work_s / 2

    def note(self, held_s):
        """Add a sample; about the last 20 samples count."""
        error_s = held_s - self.mean_s
        self.mean_s += _ALPHA * error_s
        self.deviation_s += _ALPHA * (abs(error_s) - self.deviation_s)

    def get_upper_bound_s(self):
        """Return a holding time that nearly all requests stay below."""
        return self.mean_s + DEVIATIONS * self.deviation_s


class QueueAdmission:
    """Estimates queueing times and assigns Retry-After times."""

    def __init__(self, work_s):
        self.work_time = WorkTime(work_s)
        self._next_retry_at = 0.0

    def get_start_by(self, now, deadline, priority):
        """Return the latest time at which the request may start."""
        share = PATIENCE * WAIT_SHARE_BY_PRIORITY.get(priority, DEFAULT_WAIT_SHARE)
        remaining_s = deadline - now
        work_s = min(self.work_time.get_upper_bound_s(), MAX_WORK_SHARE * remaining_s)
        return now + min(share * remaining_s, remaining_s - work_s)

    def get_recovery_start_by(self, now, deadline):
        """Return the latest start time for a request without a usable slot.

        It waits for loans and permits to be recovered, not for a slot to
        become free, so its wait does not grow with the queue.
        """
        remaining_s = deadline - now
        work_s = min(self.work_time.get_upper_bound_s(), MAX_WORK_SHARE * remaining_s)
        return now + min(RECOVERY_WAIT_S, remaining_s - work_s)

    def get_wait_s(self, ahead, slots, mean_s=0.0):
        """Return the estimated wait in seconds behind ``ahead`` requests."""
        if slots <= 0:
            return 0.0
        return (ahead + 1) * (mean_s or self.work_time.mean_s) / slots

    def get_retry_after_s(self, now, queued, slots):
        """Return the seconds after which a refused caller may retry."""
        mean_s = max(1e-3, self.work_time.mean_s)
        rate_per_s = max(1, slots) / mean_s
        earliest = now + max(MIN_RETRY_AFTER_S, queued / rate_per_s)
        spaced = self._next_retry_at + 1 / (RETURN_SHARE * rate_per_s)
        latest = now + MAX_RETRY_AFTER_S
        self._next_retry_at = min(latest, max(earliest, spaced))
        return self._next_retry_at - now
