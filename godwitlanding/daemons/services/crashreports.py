"""Sends reports of requests that crash upstreams to the other zone daemons.

The caller retries a request that crashed its upstream, here or in another
zone. Without the report, each arbiter would lose two upstreams before it stops
the request. A report goes to two VMs of each other zone, which pass it on in
theirs; a VM that starts later gets those that count from its own zone.
"""

import random

from godwitlanding.base.messages import Poison

# Two, so that one VM that has just ended does not keep its zone ignorant.
RECIPIENTS_PER_ZONE = 2
# Requests whose reports are sent to a VM that has started.
MAX_INITIAL = 200


class CrashReports:
    """Records reports in a ``PoisonLedger`` and passes them on.

    ``send`` is called with an address and a ``Poison`` message.
    """

    def __init__(self, ledger, members, send):
        self._ledger = ledger
        self._members = members
        self._send = send
        self._incarnation_by_vm = {}

    def report(self, poison):
        """Send a crash that an entry process has reported to this arbiter."""
        self._send_to_zone(poison)
        for addresses in self._members.get_other_zone_addresses().values():
            count = min(len(addresses), RECIPIENTS_PER_ZONE)
            for address in random.sample(addresses, count):
                self._send(address, poison)

    def receive(self, poison, is_own_zone, now):
        """Record a report; pass on what is new from another zone."""
        former = self._ledger.count_crashes(poison.fingerprint, now)
        crashes = self._ledger.note_report(
            poison.fingerprint,
            poison.upstream,
            poison.crashes,
            now,
            now - poison.age_s,
        )
        if crashes > former and not is_own_zone:
            self._send_to_zone(poison)

    def update_members(self, now):
        """Send what is known to the members that have started since."""
        alive = {
            vm: member.incarnation
            for vm, member in self._members.member_by_vm.items()
            if member.alive
        }
        started = alive.items() - self._incarnation_by_vm.items()
        self._incarnation_by_vm = alive
        address_by_vm = self._members.get_peer_addresses()
        for address in (address_by_vm.get(vm) for vm, _ in started):
            if address:
                self._send_all(address, now)

    def _send_to_zone(self, poison):
        for address in self._members.get_peer_addresses().values():
            self._send(address, poison)

    def _send_all(self, address, now):
        for fingerprint in self._ledger.get_fingerprints(now)[-MAX_INITIAL:]:
            crashes = self._ledger.count_crashes(fingerprint, now)
            for upstream, crashed_at in self._ledger.get_crashes(fingerprint, now):
                age_s = now - crashed_at
                self._send(address, Poison(fingerprint, upstream, crashes, age_s))
