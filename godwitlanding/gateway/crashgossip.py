"""Exchanges between VMs which requests have crashed upstreams.

Every VM tells what it knows, whoever saw the crash: VMs differ in whom they
send messages to, some are cut off or lose datagrams, and some start later. A
new crash is told first; those that are still of use are told again in turns.
"""

import asyncio
from collections import OrderedDict

from eliot import log_message

from godwitlanding.decisions.digest import SUCCEEDED, Crash
from godwitlanding.decisions.poison import CRASHES_TO_STOP

# Rows of 14 bytes in periodic messages, whose bytes a second do not grow with
# the number of their recipients; two rows stop a request.
MIN_PERIODIC_ROWS = 2
MAX_PERIODIC_ROWS = 8
PERIODIC_ROWS_PER_S = 400.0
# Rows in a message that is sent because of a new crash, and in one to a VM
# that has just started.
URGENT_ROWS = 16
ALL_ROWS = 200
# A suspect that has succeeded is told to the VMs that hold it for one.
CLEARED_REPEAT_S = 3.0
MAX_FINGERPRINTS = 1000


class CrashGossip:
    """Records crashes in a ``PoisonLedger`` and tells the peers of them."""

    def __init__(self, registry, ledger, counters):
        self._registry = registry
        self._ledger = ledger
        self._counters = counters
        # Fingerprints whose crashes are told, in the order of their turns.
        # When many upstreams crash, most suspects only ran beside the cause,
        # and must not delay what is known of the stopped requests.
        self._suspects = OrderedDict()
        self._stopped = OrderedDict()
        self._begins_with_stopped = False
        self._cleared_at = OrderedDict()

    def note(self, crash):
        """Record a request that was running on an upstream when it crashed."""
        self._record(crash, "")

    def note_cleared(self, fingerprint):
        """Record a suspect that has succeeded at this VM."""
        self._cleared_at[fingerprint] = _now()
        log_message("crashes:cleared", fingerprint=format_fingerprint(fingerprint))

    def receive(self, crashes, told_by):
        """Record what the VM ``told_by`` reports; return if any is new."""
        return any([self._record(crash, told_by) for crash in crashes])

    def get_next(self, max_rows):
        """Return the crashes whose turn it is, at most ``max_rows``."""
        self._begins_with_stopped = not self._begins_with_stopped
        if self._begins_with_stopped:
            rows = self._take_turns(self._stopped, max_rows)
            rows += self._take_turns(self._suspects, max_rows - len(rows))
        else:
            rows = self._get_cleared(max_rows // 2)
            rows += self._take_turns(self._suspects, max_rows - len(rows))
            rows += self._take_turns(self._stopped, max_rows - len(rows))
        return tuple(rows)

    def get_periodic(self, interval_s, recipients):
        """Return crashes for a message to so many VMs every ``interval_s``."""
        rows = int(PERIODIC_ROWS_PER_S * interval_s / max(1, recipients))
        return self.get_next(max(MIN_PERIODIC_ROWS, min(MAX_PERIODIC_ROWS, rows)))

    def get_all(self):
        """Return the crashes for a VM that has just started."""
        return self.get_next(ALL_ROWS)

    def _get_cleared(self, max_rows):
        now = _now()
        while self._cleared_at:
            fingerprint, cleared_at = next(iter(self._cleared_at.items()))
            if now - cleared_at < CLEARED_REPEAT_S:
                break
            del self._cleared_at[fingerprint]
        latest = list(self._cleared_at.items())[-max_rows:]
        return [
            Crash(fingerprint, SUCCEEDED, now - cleared_at)
            for fingerprint, cleared_at in latest
        ]

    def _take_turns(self, fingerprints, max_rows):
        rows = []
        for _ in range(len(fingerprints)):
            fingerprint = next(iter(fingerprints))
            crashes = self._get_crashes(fingerprint)
            if len(rows) + len(crashes) > max_rows:
                break
            if crashes:
                rows += crashes
                fingerprints.move_to_end(fingerprint)
            else:
                del fingerprints[fingerprint]
        return rows

    def _get_crashes(self, fingerprint):
        now = _now()
        return [
            Crash(fingerprint, upstream, now - crashed_at)
            for upstream, crashed_at in self._ledger.get_crashes(fingerprint, now)
        ]

    def _record(self, crash, told_by):
        if crash.upstream == SUCCEEDED:
            return self._record_success(crash, told_by)
        fingerprint, upstream, age_s = crash
        now = _now()
        former = self._ledger.count_crashes(fingerprint, now)
        crashes = self._ledger.note_report(fingerprint, upstream, 1, now, now - age_s)
        if crashes == former:
            return False
        self._give_first_turn(fingerprint, crashes)
        source = "peer" if told_by else "own"
        self._counters.add("upstream_crashes", source=source)
        log_message(
            "crashes:noted",
            level="warning",
            upstream=self._registry.id_by_number.get(upstream, upstream),
            fingerprint=format_fingerprint(fingerprint),
            crashes=crashes,
            age_s=round(age_s, 2),
            told_by=told_by,
        )
        return True

    def _record_success(self, crash, told_by):
        now = _now()
        fingerprint, _, age_s = crash
        is_new = age_s < CLEARED_REPEAT_S and fingerprint not in self._cleared_at
        if is_new:
            self._cleared_at[fingerprint] = now - age_s
        if self._ledger.note_success_report(fingerprint, now - age_s, now):
            log_message(
                "crashes:cleared",
                fingerprint=format_fingerprint(fingerprint),
                crashes=self._ledger.count_crashes(fingerprint, now),
                told_by=told_by,
            )
        return is_new

    def _give_first_turn(self, fingerprint, crashes):
        self._suspects.pop(fingerprint, None)
        self._stopped.pop(fingerprint, None)
        is_stopped = crashes >= CRASHES_TO_STOP
        fingerprints = self._stopped if is_stopped else self._suspects
        fingerprints[fingerprint] = None
        fingerprints.move_to_end(fingerprint, last=False)
        if len(fingerprints) > MAX_FINGERPRINTS:
            fingerprints.popitem()


def format_fingerprint(fingerprint):
    """Return a fingerprint as log lines show it."""
    return f"{fingerprint:016x}"


def _now():
    return asyncio.get_running_loop().time()
