"""Rate limiting of workspaces: each VM's part of a shared request quota.

A workspace may send ``rate_per_s`` requests a second and ``burst`` at once
over all VMs, including VMs that cannot reach each other. This quota is the
workspace's allotment. It needs no calls to the store, and no VM decides for
the others.

Load pattern: most workspaces stay far below their limit, each with a handful
of callers that may all use one VM. Divided equally among a dozen VMs, the
burst of a small workspace is one request per VM, and a tenth of the requests
that it is entitled to are refused. Now and then one workspace sends many times
its limit, at every VM at once.

So each region has one token bucket for a workspace, and each of its VMs
computes the bucket's level by itself from the request counts that the VMs send
each other many times a second (``decisions.tally``). A margin is kept back for
requests that a VM does not know of yet (``decisions.workspacebucket``).
The region's part of the rate follows the demand of its callers by
``decisions.sharing``; every region receives the demand in the others.

If some VMs of a region are unreachable, the region's part and the level of its
bucket shrink to the share of the VMs that is reachable, as the others may be
serving with the rest (``decisions.reachability``). A region that sends no
demand keeps an equal part. So the parts never add up to more than the whole
limit for long, whichever VMs are partitioned, and a lost message only delays
an update.
"""

import math
from typing import NamedTuple

from godwitlanding.decisions.reachability import CARRIER_TIMEOUT_S, REACHABLE_FOR_S
from godwitlanding.decisions.sharing import share_fairly
from godwitlanding.decisions.tally import (
    COUNT_MODULUS,
    AskedRate,
    Level,
    PeerTallies,
    Tally,
    get_workspace_number,
    subtract_counts,
)
from godwitlanding.decisions.workspacebucket import WorkspaceBucket, WorkspaceCounts

# Time constant of the moving average of a region's demand.
ASKED_WINDOW_S = 3.0
# A region raises its part only after the other regions have received its
# demand; it lowers its part at once.
RAISE_AFTER_S = 1.5
# The bucket of a workspace that has sent nothing for this long is dropped if
# it is full.
IDLE_S = 10.0
# For this long after its start a VM adopts the bucket levels that other VMs of
# its region send.
STARTUP_S = 2.0
# If no VM of the region knows a level, all VMs were stopped at once: nobody
# has sent anything for at least this long, since a process is restarted after
# half a second at the soonest and then loads its libraries.
MIN_DOWNTIME_S = 0.8
# In addition, the initial level includes this share of the extra burst.
INITIAL_EXTRA_SHARE = 0.5
# The demand of a region is taken to be at least this share of a limit, so that
# the first caller in a region finds a part there.
MIN_SHARE = 0.02
# Below this rate a workspace counts as unused.
MIN_ASKED_PER_S = 0.01
# Share of the tolerated excess that is spent on larger buckets: the burst of a
# small workspace, divided among three regions, is one request.
EXTRA_BURST_SHARE = 0.4
# Limits the rows in one datagram, so that it fits in a few packets.
MAX_ROWS = 256


class Tolerance(NamedTuple):
    """The excess over a limit that is tolerated in a window of ``window_s``.

    The excess is ``over_share`` of the requests that the limit allows in the
    window, plus ``over_requests``.
    """

    window_s: float = 5.0
    over_share: float = 0.1
    over_requests: float = 20.0

    def get_extra_burst(self, workspace):
        """Return the requests by which all buckets together are enlarged."""
        allowed = workspace.rate_per_s * self.window_s + workspace.burst
        return EXTRA_BURST_SHARE * (self.over_share * allowed + self.over_requests)


class Allotments:
    """Rate limiter of all workspaces on one VM.

    ``now`` is the time in seconds on one clock in every call.
    """

    def __init__(self, region, regions, tolerance, now):
        self._region = region
        self._regions = frozenset(regions) | {region}
        self._tolerance = tolerance
        self._started_at = now
        self._updated_at = now
        self._workspace_by_number = {}
        self._number_by_name = {}
        self._bucket_by_number = {}
        # Kept when a bucket is dropped, because peers compute by how much the
        # counts have grown.
        self._counts_by_number = {}
        self._peer_by_vm = {}
        # Workspaces whose level has been adopted from another VM.
        self._numbers_with_level = set()
        # Demand by workspace number, and time of the last message, by region.
        self._asked_by_region = {}
        self._received_at_by_region = {}
        # The rows as received; every VM that forwards a digest sends the same
        # rows, so an identical object needs no second conversion.
        self._asked_rows_by_region = {}
        self._reachable_share = 1.0

    def set_bounds(self, regions, tolerance):
        """Set the regions and the tolerance."""
        self._regions = frozenset(regions) | {self._region}
        self._tolerance = tolerance

    def set_workspaces(self, workspaces, now):
        """Replace the workspaces by those of a new configuration."""
        limited = [workspace for workspace in workspaces if workspace.rate_per_s > 0]
        self._number_by_name = {w.name: get_workspace_number(w.name) for w in limited}
        self._workspace_by_number = {self._number_by_name[w.name]: w for w in limited}
        for number in list(self._bucket_by_number):
            workspace = self._workspace_by_number.get(number)
            if workspace is None:
                del self._bucket_by_number[number]
            else:
                bucket = self._bucket_by_number[number]
                if bucket.workspace != workspace:
                    bucket.workspace = workspace
                    bucket.recent_parts.clear()
                    self._set_part(number, bucket, now)

    def take(self, workspace, now, came_back=False):
        """Take a token; return 0 if granted, else the seconds until a retry.

        A caller that retries at the time it was given takes precedence over
        first attempts; it would otherwise be refused again and again.
        """
        bucket = self._find_bucket(workspace, now)
        if bucket is None:
            return 0.0
        bucket.counts.asked = (bucket.counts.asked + 1) % COUNT_MODULUS
        bucket.asked_since_update += 1
        bucket.counts.changed_at = now
        bucket.fill(now)
        due_retries = bucket.count_due_retries(now)
        needed = 1.0
        if not came_back:
            needed += bucket.get_margin() + due_retries
        if bucket.level >= needed:
            if came_back and due_retries:
                bucket.drop_expected_retry()
            self._spend(bucket, 1)
            return 0.0
        missing = needed + len(bucket.expected_retries) - due_retries - bucket.level
        wait_s = max(missing, 1.0) / bucket.refill_per_s
        bucket.expect_retry(now + wait_s)
        return wait_s

    def charge(self, workspace, now):
        """Count a retry that is sent, without checking the limit."""
        self._charge_requests(workspace, 1, now)

    def give_back(self, workspace, now):
        """Refund a granted request that certainly reached no upstream."""
        self._charge_requests(workspace, -1, now)

    def get_tallies(self, since=0.0):
        """Return the counts that changed at or after ``since``."""
        rows = [
            Tally(number, counts.sent, counts.asked)
            for number, counts in self._counts_by_number.items()
            if counts.asked and counts.changed_at >= since
        ]
        rows.sort(key=lambda tally: tally.asked, reverse=True)
        return tuple(rows[:MAX_ROWS])

    def receive(self, vm, incarnation, tallies, now, tells_all=False, carries=True):
        """Take the request counts of another VM of the region.

        ``tallies`` may be empty. ``tells_all`` states that they are all counts
        of the VM; a count of another workspace in a later message is then
        entirely new. A VM that does not carry requests (``carries``) sends
        messages seldom.
        """
        peer = self._peer_by_vm.get(vm)
        if peer is None:
            # It is unknown how much of the first counts is new.
            peer = self._peer_by_vm[vm] = PeerTallies(incarnation, None)
        elif peer.former_incarnation == incarnation:
            # A delayed message from before the VM's restart: its counts would
            # be taken as entirely new.
            return
        elif peer.incarnation != incarnation:
            # After a restart a VM counts from zero.
            peer = self._peer_by_vm[vm] = PeerTallies(incarnation, peer.incarnation)
        elif now - peer.received_at > (
            CARRIER_TIMEOUT_S if peer.carries else REACHABLE_FOR_S
        ):
            # In the meantime the VM has used the part of its own side of a
            # network partition.
            peer.tally_by_number.clear()
            peer.counts_from_zero = False
        peer.received_at = now
        peer.carries = carries
        for tally in tallies:
            self._apply_tally(peer, tally, now)
        peer.counts_from_zero |= tells_all and len(tallies) < MAX_ROWS

    def get_levels(self, now):
        """Return the bucket levels of the workspaces in use, for a new VM.

        A VM that has itself just started returns none, as its levels are
        guesses.
        """
        if self._has_just_started(now):
            return ()
        buckets = list(self._bucket_by_number.items())[:MAX_ROWS]
        for _, bucket in buckets:
            bucket.fill(now)
        return tuple(Level(number, bucket.level) for number, bucket in buckets)

    def adopt_levels(self, levels, now):
        """Adopt the bucket levels that another VM sends after this VM's start.

        A level is adopted once per workspace: a later one already includes
        what this VM has sent in the meantime.
        """
        if not self._has_just_started(now):
            return
        for level in levels:
            if level.number not in self._workspace_by_number:
                continue
            if level.number in self._numbers_with_level:
                continue
            self._numbers_with_level.add(level.number)
            bucket = self._get_bucket(level.number, now)
            bucket.fill(now)
            bucket.level = min(bucket.capacity, level.requests)

    def receive_region_demand(self, region, asked, now):
        """Take the demand of another region's callers."""
        if region == self._region:
            return
        self._received_at_by_region[region] = now
        if self._asked_rows_by_region.get(region) is not asked:
            self._asked_rows_by_region[region] = asked
            self._asked_by_region[region] = {row.number: row.per_s for row in asked}

    def get_asked(self):
        """Return the demand of this region's callers.

        If some of the region's VMs are unreachable, the others can use that
        much less of the region's part, so they ask for more. A region without
        demand sends an empty row, since a region that sends nothing is taken
        to be lost.
        """
        if not self._workspace_by_number:
            return ()
        rows = [
            AskedRate(number, bucket.asked_per_s / self._reachable_share)
            for number, bucket in self._bucket_by_number.items()
            if bucket.asked_per_s > MIN_ASKED_PER_S
        ]
        rows.sort(key=lambda asked: asked.per_s, reverse=True)
        return tuple(rows[:MAX_ROWS]) or (AskedRate(0, 0.0),)

    def update(self, reachable_share, now):
        """Recompute the region's parts.

        ``reachable_share`` is the share of the region's VMs that is reachable.
        """
        elapsed_s = now - self._updated_at
        if elapsed_s <= 0:
            return
        self._updated_at = now
        self._set_reachable_share(reachable_share, now)
        self._drop_silent_peers(now)
        weight = 1.0 - math.exp(-elapsed_s / ASKED_WINDOW_S)
        for number, bucket in list(self._bucket_by_number.items()):
            bucket.update_asked_rate(elapsed_s, weight, now)
            self._set_part(number, bucket, now)
            if self._is_idle(bucket, now):
                del self._bucket_by_number[number]

    def _set_reachable_share(self, reachable_share, now):
        if reachable_share < self._reachable_share and not self._has_just_started(now):
            # The unreachable VMs may use the rest of the saved tokens.
            for bucket in self._bucket_by_number.values():
                bucket.fill(now)
                if bucket.level > 0:
                    bucket.level *= reachable_share / self._reachable_share
        self._reachable_share = reachable_share

    def get_status(self):
        """Return limit, level, part and demand of each workspace in use."""
        return {
            bucket.workspace.name: {
                "rate_per_s": bucket.workspace.rate_per_s,
                "level": round(bucket.level, 1),
                "part_per_s": round(bucket.refill_per_s, 2),
                "asked_per_s": round(bucket.asked_per_s, 2),
                "sent": bucket.counts.sent,
            }
            for bucket in self._bucket_by_number.values()
        }

    def get_state(self, workspace):
        """Return the level and part of a workspace, for a log line."""
        bucket = self._bucket_by_number.get(self._number_by_name.get(workspace.name))
        return (bucket.level, bucket.refill_per_s) if bucket else (0.0, 0.0)

    def _find_bucket(self, workspace, now):
        number = workspace and self._number_by_name.get(workspace.name)
        return None if number is None else self._get_bucket(number, now)

    def _get_bucket(self, number, now):
        bucket = self._bucket_by_number.get(number)
        if bucket is None:
            workspace = self._workspace_by_number[number]
            counts = self._counts_by_number.setdefault(number, WorkspaceCounts())
            bucket = WorkspaceBucket(workspace, counts, now)
            self._bucket_by_number[number] = bucket
            self._set_part(number, bucket, now)
            bucket.level = min(bucket.capacity, self._get_initial_level(bucket, now))
        return bucket

    def _get_initial_level(self, bucket, now):
        # A VM that has just started does not know what was sent before. With
        # an empty bucket it would refuse the callers that all retry at once
        # after a power failure; with a full bucket they could send the whole
        # burst twice.
        accrued = bucket.refill_per_s * (now - self._started_at + MIN_DOWNTIME_S)
        return accrued + INITIAL_EXTRA_SHARE * self._get_extra_burst(bucket.workspace)

    def _get_extra_burst(self, workspace):
        return self._tolerance.get_extra_burst(workspace) / len(self._regions)

    def _has_just_started(self, now):
        return now - self._started_at < STARTUP_S

    def _charge_requests(self, workspace, requests, now):
        bucket = self._find_bucket(workspace, now)
        if bucket is not None:
            bucket.fill(now)
            bucket.counts.changed_at = now
            self._spend(bucket, requests)

    def _spend(self, bucket, requests):
        bucket.level -= requests
        bucket.counts.sent = (bucket.counts.sent + requests) % COUNT_MODULUS

    def _apply_tally(self, peer, tally, now):
        if tally.number not in self._workspace_by_number:
            return
        previous = peer.tally_by_number.get(tally.number)
        peer.tally_by_number[tally.number] = tally
        if previous is None:
            zero_tally = Tally(tally.number, 0, 0)
            previous = zero_tally if peer.counts_from_zero else tally
        sent = subtract_counts(tally.sent, previous.sent)
        asked = subtract_counts(tally.asked, previous.asked)
        if not sent and not asked:
            return
        bucket = self._get_bucket(tally.number, now)
        bucket.fill(now)
        bucket.level -= sent
        bucket.asked_since_update += max(0, asked)

    def _drop_silent_peers(self, now):
        for vm, peer in list(self._peer_by_vm.items()):
            if now - peer.received_at > REACHABLE_FOR_S:
                del self._peer_by_vm[vm]

    def _set_part(self, number, bucket, now):
        workspace = bucket.workspace
        part = self._get_part(number, bucket, now)
        bucket.recent_parts.append((now, part))
        bucket.recent_parts = [
            row for row in bucket.recent_parts if row[0] >= now - RAISE_AFTER_S
        ]
        part = min(part for _, part in bucket.recent_parts)
        capacity = workspace.burst * part / workspace.rate_per_s
        if not self._has_just_started(now):
            # A VM that has just started has received no messages yet; its
            # bucket holds no more than the initial level, which is safe
            # whichever other VMs are running.
            capacity *= self._reachable_share
        capacity += self._get_extra_burst(workspace)
        bucket.set_refill_rate(part * self._reachable_share, max(1.0, capacity), now)

    def _get_part(self, number, bucket, now):
        """Return this region's part of the rate, in requests a second."""
        rate = bucket.workspace.rate_per_s
        min_asked_per_s = MIN_SHARE * rate
        asked = max(min_asked_per_s, bucket.asked_per_s / self._reachable_share)
        asked_by_region = {self._region: asked}
        for region in self._regions - {self._region}:
            received_at = self._received_at_by_region.get(region, -math.inf)
            if now - received_at <= REACHABLE_FOR_S:
                asked = self._asked_by_region[region].get(number, 0.0)
                asked_by_region[region] = max(min_asked_per_s, asked)
        known_share = len(asked_by_region) / len(self._regions)
        return share_fairly(rate * known_share, asked_by_region)[self._region]

    def _is_idle(self, bucket, now):
        if (
            now - bucket.counts.changed_at < IDLE_S
            or bucket.asked_per_s > MIN_ASKED_PER_S
        ):
            return False
        bucket.fill(now)
        return bucket.level >= bucket.capacity
