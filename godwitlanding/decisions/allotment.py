"""How many requests of a workspace a VM may send, of all that it may ask for.

A workspace may send ``rate_per_s`` requests a second and ``burst`` at once
over all VMs, also over those that are cut off from each other. Nothing is
asked of the store, and no VM decides for the others.

Load pattern: most workspaces stay far below their limit, each with a handful
of callers that may all use one VM. Cut into equal parts for a dozen VMs, the
burst of a small one is one request each, and a tenth of what it is owed is
refused. Now and then one sends many times its limit, at every VM at once.

So a region has one bucket for a workspace, and each of its VMs works out its
level by itself from what all tell each other many times a second: how many
requests each has sent so far (``decisions.tally``). What a VM may not have
been told yet is kept back (``decisions.bucket``). The region's part of the
rate follows what its callers ask for, by ``decisions.sharing``, and every
region is told what the others ask for.

A region's part shrinks to the share of its VMs that are heard, and what is in
its bucket with it: the others may be serving with the rest (``quorum``). A
region that is not heard keeps an even part. So parts never add up to more
than the whole for long, whoever is cut off from whom, and a lost message
costs nothing but time.
"""

import math
from typing import NamedTuple

from godwitlanding.decisions.reachability import HOLD_S, QUIET_S
from godwitlanding.decisions.sharing import share_fairly
from godwitlanding.decisions.tally import (
    COUNTS,
    AskedRate,
    Level,
    PeerTallies,
    Tally,
    get_difference,
    get_workspace_number,
)
from godwitlanding.decisions.workspacebucket import Bucket, Count

# About the requests of this time tell what a region's callers ask for.
ASKED_OVER_S = 3.0
# A region raises its part only when the others know what it asks for, and
# lowers it at once.
RAISE_AFTER_S = 1.5
# A workspace that has sent nothing for this long, and whose bucket is full,
# is forgotten.
IDLE_S = 10.0
# A VM that has just started takes its neighbours' word for this long on what
# is left.
LEARN_S = 2.0
# Where no neighbour knows, all were ended at once: nobody has sent anything
# for this long, since a process is started again after half a second at the
# soonest and then loads its libraries.
DOWN_S = 0.8
# And a VM that starts counts on this part of the larger buckets' surplus.
START_SHARE = 0.5
# Every region counts as asking for this share of a limit at the least, so that
# the first caller who comes to one finds a part there.
LEAST_SHARE = 0.02
# Below this pace nobody asks for a workspace any more.
LEAST_PER_S = 0.01
# Of what users tolerate beyond the limit, the part that is spent on larger
# buckets: cut in three, the burst of a small workspace is one request.
SPARE_SHARE = 0.4
# Rows in one datagram, so that it stays within a few packets.
MAX_ROWS = 256


class Tolerance(NamedTuple):
    """What users tolerate beyond a limit, in a window of ``window_s``."""

    window_s: float = 5.0
    over_share: float = 0.1
    over_requests: float = 20.0

    def get_extra_burst(self, workspace):
        """Return the requests by which all buckets together are larger."""
        allowed = workspace.rate_per_s * self.window_s + workspace.burst
        return SPARE_SHARE * (self.over_share * allowed + self.over_requests)


class Allotments:
    """What this VM may send of each workspace; ``now`` is one clock's."""

    def __init__(self, region, regions, tolerance, now):
        self._region = region
        self._regions = frozenset(regions) | {region}
        self._tolerance = tolerance
        self._started_at = now
        self._updated_at = now
        self._workspace_by_number = {}
        self._number_by_name = {}
        self._bucket_by_number = {}
        # Kept when a bucket is forgotten: peers see by how much they grow.
        self._count_by_number = {}
        self._peer_by_vm = {}
        # Workspaces of which a neighbour has told what is left.
        self._learnt_numbers = set()
        # What the others ask for, and when they were heard last.
        self._asked_by_region = {}
        self._heard_at_by_region = {}
        # The rows as they came, which all who pass them on tell alike.
        self._rows_by_region = {}
        self._quorum = 1.0

    def set_bounds(self, regions, tolerance):
        """Take other settings."""
        self._regions = frozenset(regions) | {self._region}
        self._tolerance = tolerance

    def set_workspaces(self, workspaces, now):
        """Take the workspaces of a new configuration."""
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
                    bucket.parts.clear()
                    self._set_part(number, bucket, now)

    def take(self, workspace, now, came_back=False):
        """Return 0 if a request may be sent, else when to come back, in s.

        Who was told to come back goes before those who come for the first
        time: they would otherwise be refused again and again.
        """
        bucket = self._find(workspace, now)
        if bucket is None:
            return 0.0
        bucket.count.asked = (bucket.count.asked + 1) % COUNTS
        bucket.asked_lately += 1
        bucket.count.changed_at = now
        bucket.fill(now)
        due = bucket.count_due(now)
        needed = 1.0
        if not came_back:
            needed += bucket.get_margin() + due
        if bucket.level >= needed:
            if came_back and due:
                bucket.forget_return()
            self._spend(bucket, 1)
            return 0.0
        missing = needed + len(bucket.returns) - due - bucket.level
        wait_s = max(missing, 1.0) / bucket.per_s
        bucket.note_return(now + wait_s)
        return wait_s

    def charge(self, workspace, now):
        """Count a request that is sent once more, whatever is left."""
        self._add(workspace, 1, now)

    def give_back(self, workspace, now):
        """A request that was granted has certainly not arrived."""
        self._add(workspace, -1, now)

    def get_tallies(self, since=0.0):
        """Return the counts that have changed since then, or ever."""
        rows = [
            Tally(number, count.sent, count.asked)
            for number, count in self._count_by_number.items()
            if count.asked and count.changed_at >= since
        ]
        rows.sort(key=lambda tally: tally.asked, reverse=True)
        return tuple(rows[:MAX_ROWS])

    def hear(self, vm, incarnation, tallies, now, tells_all=False, carries=True):
        """A VM of the region tells its counts, or nothing new.

        Once it has told all, what it tells of another workspace is all new.
        One that carries no requests is heard seldom.
        """
        peer = self._peer_by_vm.get(vm)
        if peer is None:
            # What of its counts is new is not known.
            peer = self._peer_by_vm[vm] = PeerTallies(incarnation, None)
        elif peer.former == incarnation:
            # A late word of before: its counts would be taken for all new.
            return
        elif peer.incarnation != incarnation:
            # One that starts anew counts from nothing.
            peer = self._peer_by_vm[vm] = PeerTallies(incarnation, peer.incarnation)
        elif now - peer.heard_at > (QUIET_S if peer.carries else HOLD_S):
            # It has spent the part of its own side meanwhile.
            peer.tally_by_number.clear()
            peer.counts_from_zero = False
        peer.heard_at = now
        peer.carries = carries
        for tally in tallies:
            self._note_tally(peer, tally, now)
        peer.counts_from_zero |= tells_all and len(tallies) < MAX_ROWS

    def get_levels(self, now):
        """Return what is left of the workspaces in use, for a new VM.

        One that has just started itself knows no better.
        """
        if self._is_young(now):
            return ()
        buckets = list(self._bucket_by_number.items())[:MAX_ROWS]
        for _, bucket in buckets:
            bucket.fill(now)
        return tuple(Level(number, bucket.level) for number, bucket in buckets)

    def adopt_levels(self, levels, now):
        """A neighbour tells a VM that has just started what is left.

        What it says is taken once: it counts what this VM itself sends a
        moment later.
        """
        if not self._is_young(now):
            return
        for level in levels:
            if level.number not in self._workspace_by_number:
                continue
            if level.number in self._learnt_numbers:
                continue
            self._learnt_numbers.add(level.number)
            bucket = self._get(level.number, now)
            bucket.fill(now)
            bucket.level = min(bucket.capacity, level.requests)

    def receive_region_demand(self, region, asked, now):
        """Another region tells what its callers ask for."""
        if region == self._region:
            return
        self._heard_at_by_region[region] = now
        if self._rows_by_region.get(region) is not asked:
            self._rows_by_region[region] = asked
            self._asked_by_region[region] = {row.number: row.per_s for row in asked}

    def get_asked(self):
        """Return what this region's callers ask for.

        Where a part of the region's VMs is not heard, the others can use
        that much less of its part, so they ask for more. A region that asks
        for nothing says so, since one that says nothing is taken for lost.
        """
        if not self._workspace_by_number:
            return ()
        rows = [
            AskedRate(number, bucket.asked_per_s / self._quorum)
            for number, bucket in self._bucket_by_number.items()
            if bucket.asked_per_s > LEAST_PER_S
        ]
        rows.sort(key=lambda asked: asked.per_s, reverse=True)
        return tuple(rows[:MAX_ROWS]) or (AskedRate(0, 0.0),)

    def update(self, quorum, now):
        """Work out the region's parts again.

        ``quorum`` is the share of the region's VMs that are heard.
        """
        elapsed_s = now - self._updated_at
        if elapsed_s <= 0:
            return
        self._updated_at = now
        self._set_quorum(quorum, now)
        self._forget_silent(now)
        weight = 1.0 - math.exp(-elapsed_s / ASKED_OVER_S)
        for number, bucket in list(self._bucket_by_number.items()):
            bucket.measure(elapsed_s, weight, now)
            self._set_part(number, bucket, now)
            if self._is_idle(bucket, now):
                del self._bucket_by_number[number]

    def _set_quorum(self, quorum, now):
        if quorum < self._quorum and not self._is_young(now):
            # The others may spend the rest of what had been saved up.
            for bucket in self._bucket_by_number.values():
                bucket.fill(now)
                if bucket.level > 0:
                    bucket.level *= quorum / self._quorum
        self._quorum = quorum

    def get_status(self):
        """Return limit, level, part and demand of each workspace in use."""
        return {
            bucket.workspace.name: {
                "rate_per_s": bucket.workspace.rate_per_s,
                "level": round(bucket.level, 1),
                "part_per_s": round(bucket.per_s, 2),
                "asked_per_s": round(bucket.asked_per_s, 2),
                "sent": bucket.count.sent,
            }
            for bucket in self._bucket_by_number.values()
        }

    def get_state(self, workspace):
        """Return the level and part of a workspace, for a log line."""
        bucket = self._bucket_by_number.get(self._number_by_name.get(workspace.name))
        return (bucket.level, bucket.per_s) if bucket else (0.0, 0.0)

    def _find(self, workspace, now):
        number = workspace and self._number_by_name.get(workspace.name)
        return None if number is None else self._get(number, now)

    def _get(self, number, now):
        bucket = self._bucket_by_number.get(number)
        if bucket is None:
            workspace = self._workspace_by_number[number]
            count = self._count_by_number.setdefault(number, Count())
            bucket = Bucket(workspace, count, now)
            self._bucket_by_number[number] = bucket
            self._set_part(number, bucket, now)
            bucket.level = min(bucket.capacity, self._get_first_level(bucket, now))
        return bucket

    def _get_first_level(self, bucket, now):
        # A VM that has just started does not know what was sent before. With
        # nothing to begin with it would refuse those who come back all at
        # once after a power cut; with a full bucket they could send all twice.
        accrued = bucket.per_s * (now - self._started_at + DOWN_S)
        return accrued + START_SHARE * self._get_spare(bucket.workspace)

    def _get_spare(self, workspace):
        return self._tolerance.get_extra_burst(workspace) / len(self._regions)

    def _is_young(self, now):
        return now - self._started_at < LEARN_S

    def _add(self, workspace, requests, now):
        bucket = self._find(workspace, now)
        if bucket is not None:
            bucket.fill(now)
            bucket.count.changed_at = now
            self._spend(bucket, requests)

    def _spend(self, bucket, requests):
        bucket.level -= requests
        bucket.count.sent = (bucket.count.sent + requests) % COUNTS

    def _note_tally(self, peer, tally, now):
        if tally.number not in self._workspace_by_number:
            return
        held = peer.tally_by_number.get(tally.number)
        peer.tally_by_number[tally.number] = tally
        if held is None:
            nothing = Tally(tally.number, 0, 0)
            held = nothing if peer.counts_from_zero else tally
        sent = get_difference(tally.sent, held.sent)
        asked = get_difference(tally.asked, held.asked)
        if not sent and not asked:
            return
        bucket = self._get(tally.number, now)
        bucket.fill(now)
        bucket.level -= sent
        bucket.asked_lately += max(0, asked)

    def _forget_silent(self, now):
        for vm, peer in list(self._peer_by_vm.items()):
            if now - peer.heard_at > HOLD_S:
                del self._peer_by_vm[vm]

    def _set_part(self, number, bucket, now):
        workspace = bucket.workspace
        part = self._get_part(number, bucket, now)
        bucket.parts.append((now, part))
        bucket.parts = [row for row in bucket.parts if row[0] >= now - RAISE_AFTER_S]
        part = min(part for _, part in bucket.parts)
        capacity = workspace.burst * part / workspace.rate_per_s
        if not self._is_young(now):
            # One that has just started hears nobody yet, and has no more in
            # its bucket than what it may count on whoever else is there.
            capacity *= self._quorum
        capacity += self._get_spare(workspace)
        bucket.set_pace(part * self._quorum, max(1.0, capacity), now)

    def _get_part(self, number, bucket, now):
        """Return the requests a second of which this region may dispose."""
        rate = bucket.workspace.rate_per_s
        least = LEAST_SHARE * rate
        asked = max(least, bucket.asked_per_s / self._quorum)
        asked_by_region = {self._region: asked}
        for region in self._regions - {self._region}:
            heard_at = self._heard_at_by_region.get(region, -math.inf)
            if now - heard_at <= HOLD_S:
                asked = self._asked_by_region[region].get(number, 0.0)
                asked_by_region[region] = max(least, asked)
        known = len(asked_by_region) / len(self._regions)
        return share_fairly(rate * known, asked_by_region)[self._region]

    def _is_idle(self, bucket, now):
        if now - bucket.count.changed_at < IDLE_S or bucket.asked_per_s > LEAST_PER_S:
            return False
        bucket.fill(now)
        return bucket.level >= bucket.capacity
