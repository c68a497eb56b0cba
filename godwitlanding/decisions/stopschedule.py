"""When a stopping VM closes connections, and which requests it still takes.

Load pattern: VMs are stopped one after the other, and callers that hold an
earlier response of the directory keep sending requests to a VM that has
announced that it is leaving. Without a check, the VM would accept requests
that may still be running when its process ends, and their callers would not
know whether they ran. A refusal says that they did not, and the caller sends
the request to another VM.

A request is accepted if its response is due before the end of the stop. While
callers cannot know yet that the VM is leaving, a request whose response may be
due later is accepted too, if it is expected to end long before.

>>> schedule = StopSchedule()
>>> schedule.begin(now=10.0, stop_s=6.0)
>>> schedule.may_accept(respond_by=15.0, finish_s=2.0, now=13.0)
True
>>> schedule.may_accept(respond_by=15.5, finish_s=2.0, now=13.0)
False
"""

# Shares of the time until the process is killed. Callers learn within 1 s (the
# lifetime of a directory response) that the VM is leaving. Those that keep a
# response three times as long learn it within 3 s, half of a 6 s timeout.
CLOSE_AT_SHARE = 0.35
REFUSE_AT_SHARE = 0.52
END_AT_SHARE = 0.92
# Callers that keep a directory response three times as long learn within 3 s
# that the VM is leaving, however long the process may take to end.
LEARNED_S = 2.8
# Time for a response to reach its caller in another region.
RESPONSE_S = 0.1
# Retry-After of a refused request: other VMs can serve it at once.
STOPPING_RETRY_S = 0.1
# A request takes longer than this multiple of the estimate only if its
# upstream is faulty.
FINISH_FACTOR = 2.0


class StopSchedule:
    """The phases of a stop; times are in seconds on the event loop's clock."""

    def __init__(self):
        self.is_begun = False
        self.close_at = 0.0
        self.refuse_at = 0.0
        self.end_at = 0.0
        self._learned_at = 0.0

    def begin(self, now, stop_s):
        """Begin the stop of a process that is killed after ``stop_s``.

        Only the first call counts.
        """
        if self.is_begun:
            return
        self.is_begun = True
        self.close_at = now + CLOSE_AT_SHARE * stop_s
        self.refuse_at = now + REFUSE_AT_SHARE * stop_s
        self.end_at = now + END_AT_SHARE * stop_s
        self._learned_at = min(now + LEARNED_S, self.refuse_at)

    def may_accept(self, respond_by, finish_s, now):
        """Return whether a request may be sent to an upstream.

        ``respond_by`` is when its caller gets a response in any case, and
        ``finish_s`` the estimated time to its response, infinity if there is
        no estimate.
        """
        if not self.is_begun or respond_by + RESPONSE_S <= self.end_at:
            return True
        finish_at = now + FINISH_FACTOR * finish_s + RESPONSE_S
        return now < self._learned_at and finish_at <= self.end_at
