"""Measures how reliable expected finish times are, and finds long requests.

Load pattern: a few requests in a hundred take several times as long as the
others, and upstreams have slow periods. Without this measure, a long request
makes its upstream look slow, so that requests avoid the objects that it has
cached, and operators cannot see whether late responses are due to wrong
expectations.

The margin of a service is a factor on the expected finish within which nine
in ten responses come. It rises by ``RISE`` with each response that took
longer than the margin allowed for, and falls by a ninth of that with each
other one, so that it rests where one in ten is longer. Requests are not
refused by it: in model runs, that made more responses late, since a refused
caller comes back with less time left and then takes a slot too
(``docs/design/pace.rst``).

Long requests are told apart by their time. A few in a hundred take several
times as long as the others; nobody can expect which, and a margin that
covers them would refuse requests that are in time. If they are more than
``MAX_LONG_SHARE`` of the responses, the expectation itself is wrong, and
they count.
"""

# Rise of the margin with a response beyond it. Ten in a row raise it from 1
# to 1.5, which a VM with 15 responses a second sees in the first second of a
# burst.
RISE = 0.05
IN_TIME_SHARE = 0.9
_FALL = RISE * (1.0 - IN_TIME_SHARE) / IN_TIME_SHARE
# Beyond this, the factor says no more than that expectations are wrong. The
# bound lets it recover: from 2, the fall to 1 takes 180 responses.
MAX_MARGIN = 2.0
# Work times of one kind vary by 15 % and slow machines take 2.5 times as
# long; long requests take seven times as long.
LONG_TIMES = 4.0
# Twice the share of long requests that users have, and the weight of a
# response in the measured share.
MAX_LONG_SHARE = 0.1
_SHARE_WEIGHT = 0.03


class FinishEstimates:
    """Keeps the margin of each service; times are in seconds.

    >>> estimates = FinishEstimates()
    >>> estimates.note("s", 0.2, 0.3)
    >>> estimates.get_margin("s")
    1.05
    """

    def __init__(self):
        self._margin_by_service = {}
        self._long_share_by_service = {}

    def note(self, service, expected_s, took_s):
        """Record a response's expected and actual time.

        Returns whether it counts as long, so that it is left out.
        """
        is_long = took_s > LONG_TIMES * expected_s
        share = self._long_share_by_service.get(service, 0.0)
        share += _SHARE_WEIGHT * (is_long - share)
        self._long_share_by_service[service] = share
        if is_long and share <= MAX_LONG_SHARE:
            return True
        margin = self.get_margin(service)
        change = RISE if took_s > margin * expected_s else -_FALL
        margin = min(MAX_MARGIN, max(1.0, margin + change))
        self._margin_by_service[service] = margin
        return False

    def get_margin(self, service):
        """Return the factor on the expected finish, from 1 to 2."""
        return self._margin_by_service.get(service, 1.0)

    def get_margins(self):
        """Return the margins by service."""
        return dict(self._margin_by_service)
