"""Owns a share of the zone's upstreams and lends them to the arbiters."""

import asyncio

from godwitlanding.codes import Code
from godwitlanding.kernel import Service
from godwitlanding.loan import Lender
from godwitlanding.log import log_warning
from godwitlanding.messages import Failure, GiveBack, Loan, State
from godwitlanding.roster import (
    EMPTY_ROSTER,
    ROSTER_KIND,
    Candidate,
    RosterKeeper,
    format_roster,
    parse_roster,
)
from godwitlanding.tasks import Tasks

ROUND_S = 0.3


class Lending(Service):
    """Keeps the roster and answers ``Loan`` for what this VM owns."""

    name = "lending"
    needs = ("peers", "members", "replication", "configuration", "platform")

    def __init__(self, context):
        self.roster = EMPTY_ROSTER
        self.longest_permit_s_by_service = {}
        self._context = context
        self._tasks = Tasks()
        self._lender = None
        self._keeper = None
        self._members = None
        self._configuration = None
        self._replication = None
        self._store = None
        self._heir_by_upstream = {}
        self._leaving = False

    async def start(self, kernel):
        """Begin to keep the roster."""
        loan_s = self._context.settings["loan_s"]
        self._lender = Lender(self._context.incarnation, loan_s, self._now())
        self._keeper = RosterKeeper(self._context.vm, loan_s)
        self._members = kernel.get("members")
        self._configuration = kernel.get("configuration")
        self._replication = kernel.get("replication")
        self._store = kernel.get("platform").store
        peers = kernel.get("peers")
        peers.handle(Loan, self._answer_loan)
        peers.handle(GiveBack, self._take_give_back)
        self._context.replica.listen(self._take_state)
        self._tasks.repeat(ROUND_S, self._keep_roster)

    async def stop(self):
        """End the rounds."""
        await self._tasks.stop()

    def get_longest_permit_s(self, service):
        """Return the longest life of a permit that may still be open.

        A deadline that the operators lower counts only for new permits, so
        the highest one seen is kept.
        """
        return self.longest_permit_s_by_service.get(service, 0.0)

    def lend(self, vm, loan):
        """Answer an arbiter on ``vm``; ``None`` where it is not our choice."""
        arbiters = self._members.get_arbiters().get(loan.service, ())
        if not arbiters or arbiters[0] != vm:
            return None
        permit_s = self.get_longest_permit_s(loan.service)
        upstreams = self._get_owned(loan.service)
        return self._lender.lend(loan, upstreams, permit_s, self._now())

    async def give_up(self):
        """Give every upstream to another member before this VM ends."""
        self._leaving = True
        while self._lender.get_owned():
            if not self._has_heirs():
                return
            await asyncio.sleep(ROUND_S)

    def get_status(self):
        """Return what this VM owns and to whom it is lent."""
        if self._lender is None:
            return {}
        now = self._now()
        return {
            "loan_by_upstream": self._lender.get_status(now),
            "owner_by_upstream": self.roster.owner_by_upstream,
            "roster_version": self._get_version(),
            "gone_s_by_vm": self._keeper.get_status(now),
            "giving_up": self._heir_by_upstream,
        }

    def _now(self):
        return asyncio.get_running_loop().time()

    def _get_owned(self, service):
        config = self._configuration.config
        if config is None or service not in config.service_by_name:
            return []
        known = config.service_by_name[service].upstream_by_id
        return sorted(u for u in self._lender.get_owned() if u in known)

    async def _answer_loan(self, channel, loan):
        lent = self.lend(channel.peer.vm, loan)
        if lent is None:
            self._context.counters.add("loans_refused", code=Code.LOAN_REFUSED.name)
            return Failure(Code.LOAN_REFUSED.value)
        return lent

    def take_give_back(self, message):
        """Take the word of an arbiter that uses its loans no more."""
        owned = self._get_owned(message.service)
        self._lender.give_back(message, owned)

    async def _take_give_back(self, channel, message):
        self.take_give_back(message)

    def _take_state(self, state):
        zone = self._context.availability_zone
        if state.kind == "config":
            self._note_deadlines()
        if state.kind != ROSTER_KIND or state.name != zone:
            return
        try:
            self.roster = parse_roster(state.body)
        except ValueError as error:
            log_warning("roster:refused", error=str(error))
            return
        self._take_owned()

    def _take_owned(self):
        owned = self.roster.get_owned(self._context.vm)
        self._lender.set_owned(owned, self._now())
        for upstream in set(self._heir_by_upstream) - set(owned):
            del self._heir_by_upstream[upstream]

    def _note_deadlines(self):
        config = self._configuration.config
        for service in config.service_by_name.values() if config else ():
            former = self.longest_permit_s_by_service.get(service.name, 0.0)
            longest = max(former, service.deadline_s)
            self.longest_permit_s_by_service[service.name] = longest

    def _get_version(self):
        zone = self._context.availability_zone
        return self._context.replica.get_version(ROSTER_KIND, zone)

    async def _keep_roster(self):
        if self._configuration.config is None or not self._members.is_settled():
            return
        now = self._now()
        owners = set(self.roster.owner_by_upstream.values())
        membership = self._members.membership
        gone = [vm for vm in owners if membership.is_gone(vm, now)]
        self._keeper.note_gone(gone, now)
        await self._claim(now)
        await self._release(now)

    def _get_candidates(self):
        members = self._members
        return [
            Candidate(vm, members.member_by_vm[vm].incarnation, since)
            for vm in members.get_active()
            for since in [members.get_alive_since(vm)]
        ]

    async def _claim(self, now):
        # One member writes for all, so that they do not race each other.
        if not self._replication.is_first_reader():
            return
        permit_s_by_upstream = {
            upstream.id: self.get_longest_permit_s(upstream.service)
            for service in self._configuration.config.service_by_name.values()
            for upstream in service.get_upstreams(self._context.availability_zone)
        }
        owners, handovers = self._keeper.find_claims(
            self.roster, permit_s_by_upstream, self._get_candidates(), now
        )
        if owners:
            await self._write(self.roster.assign(handovers, owners))

    async def _release(self, now):
        owned = self._lender.get_owned()
        if self._members.platform_reachable or self._leaving:
            heirs = self._keeper.find_releases(
                owned, self._get_candidates(), self._leaving, now
            )
            self._heir_by_upstream = heirs
        for upstream in owned:
            self._lender.set_releasing(upstream, upstream in self._heir_by_upstream)
        free = [u for u in self._heir_by_upstream if self._lender.is_free(u, now)]
        if not free:
            return
        incarnation_by_vm = {c.vm: c.incarnation for c in self._get_candidates()}
        handovers = {}
        for upstream in free:
            heir = self._heir_by_upstream[upstream]
            handovers[upstream] = self._make_handover(
                upstream, incarnation_by_vm.get(heir, ""), now
            )
        heirs = {upstream: self._heir_by_upstream[upstream] for upstream in free}
        await self._write(self.roster.assign(handovers, heirs))

    def _make_handover(self, upstream_id, incarnation, now):
        found = self._configuration.config.find_upstream(upstream_id)
        permit_s = max(self.longest_permit_s_by_service.values(), default=0.0)
        if found:
            permit_s = self.get_longest_permit_s(found.service)
        return self._lender.make_handover(upstream_id, incarnation, permit_s, now)

    def _has_heirs(self):
        others = set(self._members.get_active()) - {self._context.vm}
        return bool(others) and self._members.platform_reachable

    async def _write(self, roster):
        zone = self._context.availability_zone
        body = format_roster(roster)
        written = await self._store.put(ROSTER_KIND, zone, body, self._get_version())
        if written.is_ok():
            state = State(ROSTER_KIND, zone, written.unwrap(), body)
            await self._replication.spread(state)
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
            await self._replication.spread(state)
