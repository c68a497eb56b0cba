"""Lends the upstreams that this VM owns to the arbiters of its zone.

The roster assigns each upstream of the zone to an owner among its members.
"""

import asyncio

from godwitlanding.base.codes import Code
from godwitlanding.base.kernel import Service
from godwitlanding.base.log import log_warning
from godwitlanding.base.messages import Failure, GiveBack, Loan, State
from godwitlanding.base.tasks import Tasks
from godwitlanding.daemons.roster import (
    ROSTER_KIND,
    Candidate,
    format_roster,
    parse_roster,
)
from godwitlanding.daemons.upstreamowner import RosterInputs, UpstreamOwner

ROSTER_INTERVAL_S = 0.3


class Lending(Service):
    """Maintains the roster and serves ``Loan`` requests of arbiters."""

    name = "lending"
    needs = ("peers", "members", "replication", "configuration", "platform")

    def __init__(self, context):
        self.longest_permit_s_by_service = {}
        self._context = context
        self._tasks = Tasks()
        self._steward = None
        self._leaving = False

    async def start(self, kernel):
        """Register the message handlers and start maintaining the roster."""
        self._steward = UpstreamOwner(
            self._context.vm,
            self._context.incarnation,
            self._context.settings["loan_s"],
            self._now(),
        )
        self._members = kernel.get("members")
        self._configuration = kernel.get("configuration")
        self._replication = kernel.get("replication")
        self._store = kernel.get("platform").store
        peers = kernel.get("peers")
        peers.handle(Loan, self._handle_loan)
        peers.handle(GiveBack, self._handle_give_back)
        self._context.replica.listen(self._apply_state)
        self._tasks.repeat(ROSTER_INTERVAL_S, self._update_roster)

    async def stop(self):
        """Stop maintaining the roster."""
        await self._tasks.stop()

    def get_owners(self):
        """Return the members that own upstreams of the zone."""
        return set(self._steward.roster.owner_by_upstream.values())

    def get_longest_permit_s(self, service):
        """Return the longest lifetime of any open permit, in seconds.

        When operators lower a deadline, open permits still have the former
        one, so the highest deadline since the start counts.
        """
        return self.longest_permit_s_by_service.get(service, 0.0)

    def lend(self, vm, loan):
        """Lend to the arbiter on ``vm``; ``None`` if it is not the arbiter."""
        arbiters = self._members.get_arbiters().get(loan.service, ())
        if not arbiters or arbiters[0] != vm:
            return None
        permit_s = self.get_longest_permit_s(loan.service)
        upstreams = self._get_owned(loan.service)
        return self._steward.lender.lend(loan, upstreams, permit_s, self._now())

    def apply_give_back(self, message):
        """Record that an arbiter no longer uses its loans."""
        owned = self._get_owned(message.service)
        self._steward.lender.give_back(message, owned)

    async def hand_over(self):
        """Hand all upstreams over to other members, if there are any."""
        self._leaving = True
        while self._steward.lender.get_owned() and self._has_next_owners():
            await asyncio.sleep(ROSTER_INTERVAL_S)

    def get_status(self):
        """Return the owned upstreams and their loans for the status page."""
        if self._steward is None:
            return {}
        status = self._steward.get_status(self._now())
        return {**status, "roster_version": self._get_version()}

    def _now(self):
        return asyncio.get_running_loop().time()

    def _get_owned(self, service):
        config = self._configuration.config
        if config is None or service not in config.service_by_name:
            return []
        known = config.service_by_name[service].upstream_by_id
        return sorted(u for u in self._steward.lender.get_owned() if u in known)

    async def _handle_loan(self, channel, loan):
        lent = self.lend(channel.peer.vm, loan)
        if lent is None:
            self._context.counters.add("loans_refused", code=Code.LOAN_REFUSED.name)
            return Failure(Code.LOAN_REFUSED.value)
        return lent

    async def _handle_give_back(self, channel, message):
        self.apply_give_back(message)

    def _apply_state(self, state):
        zone = self._context.availability_zone
        if state.kind == "config":
            self._update_longest_permits()
        if state.kind != ROSTER_KIND or state.name != zone:
            return
        try:
            roster = parse_roster(state.body)
        except ValueError as error:
            log_warning("roster:refused", error=str(error))
            return
        self._steward.update_roster(roster, state.version, self._now())

    def _update_longest_permits(self):
        config = self._configuration.config
        for service in config.service_by_name.values() if config else ():
            previous_s = self.longest_permit_s_by_service.get(service.name, 0.0)
            longest_s = max(previous_s, service.deadline_s)
            self.longest_permit_s_by_service[service.name] = longest_s

    def _get_version(self):
        zone = self._context.availability_zone
        return self._context.replica.get_version(ROSTER_KIND, zone)

    async def _update_roster(self):
        config = self._configuration.config
        if config is None or not self._members.is_settled():
            return
        zone = self._context.availability_zone
        permit_s_by_upstream = {
            upstream.id: self.get_longest_permit_s(upstream.service)
            for service in config.service_by_name.values()
            for upstream in service.get_upstreams(zone)
        }
        roster = self._steward.plan_change(
            self._get_roster_inputs(), permit_s_by_upstream, self._now()
        )
        if roster:
            await self._write(roster)

    def _get_roster_inputs(self):
        members = self._members
        candidates = [
            Candidate(
                vm, members.member_by_vm[vm].incarnation, members.get_alive_since(vm)
            )
            for vm in members.get_active()
        ]
        now = self._now()
        return RosterInputs(
            candidates=tuple(candidates),
            gone_vms=tuple(
                vm for vm in self.get_owners() if members.membership.is_gone(vm, now)
            ),
            # A single member writes the roster, to avoid conflicting writes.
            is_writer=self._replication.is_zone_writer(),
            may_release=members.platform_reachable,
            leaving=self._leaving,
        )

    def _has_next_owners(self):
        others = set(self._members.get_active()) - {self._context.vm}
        return bool(others) and self._members.platform_reachable

    async def _write(self, roster):
        zone = self._context.availability_zone
        body = format_roster(roster)
        version = self._steward.version
        written = await self._replication.write(ROSTER_KIND, zone, body, version)
        if written.is_ok():
            state = State(ROSTER_KIND, zone, written.unwrap(), body)
            await self._replication.publish(state)
            return
        code = written.unwrap_err().code
        self._context.counters.add("roster_write_failed", code=code.name)
        await self._read()

    async def _read(self):
        zone = self._context.availability_zone
        read = await self._store.get(ROSTER_KIND, zone)
        if read.is_ok():
            stored = read.unwrap()
            state = State(ROSTER_KIND, zone, stored.version, stored.value)
            await self._replication.publish(state)
