"""Estimates how long a caller has waited from the time that it has left.

A request states how long its caller will still wait, but not how long it has
waited before. The earlier wait shortens the time until its target latency, and
callers that retry after a refusal take precedence over callers that can still
retry.

Load pattern: overload, in which a third of the requests are retries. The times
left of first attempts fill a band, since callers differ: on some routes all
have the same patience (the total time a caller waits), on others it differs by
15 %. The times left of retries are spread over all lower values. If the
longest time ever seen were taken as everybody's patience, nearly every first
attempt would look late, and many would be refused that could be in time.

So the times left on a route are counted in a histogram, and the band extends
down from the longest time as far as the counts stay near those above. A caller
with less time left than the band has waited for at least the difference. A
caller inside the band is treated as a first attempt: if that is wrong, one
response is late, while the opposite error refuses a caller that could be
served in time.
"""

# A bin is 2 % of the longest time: 50 ms for a patience of 2.5 s, and a caller
# retries after longer than that.
BINS = 50
# Retries are a third of all requests in the worst seconds, and spread over
# more than twice the band's width, so their bins hold less than this share of
# the band's mean.
SPARSE_SHARE = 0.4
# Below this many requests all are treated as first attempts.
MIN_COUNTED = 30
# Callers with more time left than 99 in 100 do not show how long the others
# wait. One deadline of 9 s made all callers with 2.5 s look like retries.
RARE_SHARE = 0.01
# Counts are halved when they reach this, so that a change of patience is
# learnt.
MAX_COUNTED = 2000


class Patience:
    """Histogram of the times left of the requests of one route."""

    def __init__(self):
        self._max_left_s = 0.0
        self._counts = [0.0] * BINS
        # Mean position of the counted times in their bin, from 0 to 1.
        self._mean_offsets = [0.5] * BINS
        self._total_count = 0.0
        self._min_first_attempt_s = 0.0

    def note(self, left_s):
        """Count a request whose caller gives up in ``left_s`` seconds."""
        if left_s > self._max_left_s:
            self._rescale(left_s)
        if self._max_left_s <= 0:
            return
        self._add(left_s / self._max_left_s * BINS, 1.0)
        if self._total_count > MAX_COUNTED:
            self._halve()
        self._min_first_attempt_s = self._find_min_first_attempt()

    def get_waited_s(self, left_s):
        """Return the minimum time that the caller has waited, in seconds."""
        return max(0.0, self._min_first_attempt_s - left_s)

    def _halve(self):
        self._counts = [count / 2 for count in self._counts]
        self._total_count /= 2
        if max(self._counts[BINS // 2 :]) < 1.0:
            # The longest time was rare, or is so after a change of patience,
            # and the bins are too wide for the others: count anew.
            self._max_left_s = self._total_count = 0.0
            self._counts = [0.0] * BINS

    def _rescale(self, max_left_s):
        # The counts below the previous maximum move down in proportion.
        previous_counts = self._counts
        share = self._max_left_s / max_left_s
        self._max_left_s = max_left_s
        mean_offsets = self._mean_offsets
        self._counts = [0.0] * BINS
        self._mean_offsets = [0.5] * BINS
        self._total_count = 0.0
        for index, count in enumerate(previous_counts):
            if count:
                self._add((index + mean_offsets[index]) * share, count)

    def _add(self, position, count):
        index = max(0, min(BINS - 1, int(position)))
        offset = min(1.0, position - index)
        self._counts[index] += count
        self._total_count += count
        weight = count / self._counts[index]
        self._mean_offsets[index] += weight * (offset - self._mean_offsets[index])

    def _find_min_first_attempt(self):
        if self._total_count < MIN_COUNTED:
            return 0.0
        index = BINS - 1
        rare_count = RARE_SHARE * self._total_count
        while index > 0 and self._counts[index] < rare_count:
            rare_count -= self._counts[index]
            index -= 1
        total = self._counts[index]
        bins = 1
        while index > 0:
            below = self._counts[index - 1]
            if below < SPARSE_SHARE * total / bins:
                break
            index -= 1
            total += below
            bins += 1
        return (index + self._mean_offsets[index]) / BINS * self._max_left_s
