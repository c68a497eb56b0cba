"""How long a caller has waited already, from the time that it has left.

A request tells how long its caller will still wait, not how long it waited
before. What it waited shortens the way to its target latency, and callers
that come back after a refusal are to be preferred to those that can still
come back.

Load pattern: overload, in which a third of the requests come for the second
time. First attempts fill a band, since callers differ: on some routes all
have the same patience, on others it differs by 15 in 100. Callers that come
back have a part of theirs left, spread over all that is below. Taking the
longest time that was ever seen for everybody's patience makes nearly every
first attempt look late, and many are refused that could be in time.

So the times left on a route are counted, and the band reaches down from the
longest as far as the counts stay near those above. Who has less left than
the band has waited for at least the difference. Who is inside the band is
taken for a first attempt: being wrong there costs one a late answer, while
the other mistake refuses somebody who could be served in time.
"""

# Two points in a hundred of a patience of 2.5 s are 50 ms: a caller comes
# back after longer than that.
BINS = 50
# Callers that come back are a third of all in the worst seconds, and spread
# over more than twice the band's width, so their bins hold less than this
# share of the band's mean.
SPARSE_SHARE = 0.4
# Below this many requests the band is taken to be whole: nobody has waited.
MIN_COUNTED = 30
# Counts are halved when they reach this, so that a new patience is learnt.
MAX_COUNTED = 2000


class Patience:
    """The times that callers of one route have left when they come."""

    def __init__(self):
        self._longest_s = 0.0
        self._counts = [0.0] * BINS
        # Where in its bin, from 0 to 1, the mean of what was counted lies.
        self._places = [0.5] * BINS
        self._counted = 0.0
        self._shortest_first_s = 0.0

    def note(self, left_s):
        """Count a request that has ``left_s`` until its caller gives up."""
        if left_s > self._longest_s:
            self._stretch(left_s)
        if self._longest_s <= 0:
            return
        self._add(left_s / self._longest_s * BINS, 1.0)
        if self._counted > MAX_COUNTED:
            self._counts = [count / 2 for count in self._counts]
            self._counted /= 2
        self._shortest_first_s = self._find_shortest_first()

    def get_waited_s(self, left_s):
        """Return the least that the caller has waited before, in seconds."""
        return max(0.0, self._shortest_first_s - left_s)

    def _stretch(self, longest_s):
        # What was counted below the former longest moves down with it.
        former = self._counts
        share = self._longest_s / longest_s
        self._longest_s = longest_s
        places = self._places
        self._counts = [0.0] * BINS
        self._places = [0.5] * BINS
        self._counted = 0.0
        for index, count in enumerate(former):
            if count:
                self._add((index + places[index]) * share, count)

    def _add(self, position, count):
        index = max(0, min(BINS - 1, int(position)))
        place = min(1.0, position - index)
        self._counts[index] += count
        self._counted += count
        weight = count / self._counts[index]
        self._places[index] += weight * (place - self._places[index])

    def _find_shortest_first(self):
        if self._counted < MIN_COUNTED:
            return 0.0
        index = BINS - 1
        held = self._counts[index]
        bins = 1
        while index > 0:
            below = self._counts[index - 1]
            if below < SPARSE_SHARE * held / bins:
                break
            index -= 1
            held += below
            bins += 1
        return (index + self._places[index]) / BINS * self._longest_s
