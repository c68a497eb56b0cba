"""The processes of ``zone_world``: pure modules behind fake messages."""

from typing import NamedTuple

from godwitlanding.base.messages import (
    Acquire,
    Granted,
    Held,
    HeldPermit,
    Holder,
    Holdings,
    Release,
)
from godwitlanding.daemons.arbiter import Arbiter
from godwitlanding.daemons.permitserver import PERMIT_ID_BITS, PermitServer
from godwitlanding.daemons.roster import Candidate
from godwitlanding.daemons.upstreamowner import RosterInputs, UpstreamOwner

SERVICE = "status"
DEADLINE_S = 2.0
LOAN_S = 1.5
STEP_S = 0.05
BEAT_STEPS = 6
TIMEOUT_S = 1.2
LIST_LAG_S = 1.0


def make_desk(incarnation, number):
    """Return a desk that numbers its permits in a range of its own."""
    first = number << PERMIT_ID_BITS
    return PermitServer(incarnation, Arbiter(SERVICE, first), first)


class Running(NamedTuple):
    """A request on an upstream, which itself ends it at its deadline."""

    upstream: str
    until: float


class ZoneProcess:
    """One incarnation of a zone daemon."""

    def __init__(self, world, vm, number):
        self.world = world
        self.vm = vm
        self.incarnation = f"{vm}-zone-{number}"
        self.paused = False
        self.steward = UpstreamOwner(vm, self.incarnation, LOAN_S, world.now)
        self.desk = make_desk(self.incarnation, number)
        self.desk.set_addresses({u: u for u in world.slots_by_upstream})
        self.heard_at_by_vm = {}
        self.since_by_vm = {}
        self.incarnation_by_vm = {vm: self.incarnation}
        self.forced_arbiter = None

    def get_view(self):
        """Return the VMs that this member takes for alive."""
        now = self.world.now
        heard = {vm for vm, at in self.heard_at_by_vm.items() if now - at <= TIMEOUT_S}
        return sorted(heard | {self.vm})

    def get_arbiter(self):
        return self.forced_arbiter or self.get_view()[0]

    def tick(self):
        world = self.world
        if world.flap:
            names = sorted(world.node_by_vm)
            if world.rng.random() < world.flap:
                self.forced_arbiter = world.rng.choice(names)
        if world.rng.random() < 0.8:
            self.read_roster()
        for vm in world.node_by_vm:
            world.send(self.vm, vm, "zone", lambda p: p.take_beat(self))
        view = self.get_view()
        if world.flap:
            view = sorted(vm for vm in view if world.rng.random() < 0.7) or [self.vm]
            self.since_by_vm = dict.fromkeys(view, world.now - 60)
        self.since_by_vm = {vm: self.since_by_vm.get(vm, world.now) for vm in view}
        self.keep_roster(view)
        if self.get_arbiter() == self.vm:
            self.desk.active = True
            for owner in world.list_owners(self.steward.roster):
                self.ask_owner(owner)
            for holder, upstreams in self.desk.get_pending_upstreams().items():
                self.ask_holder(holder, tuple(upstreams))
        elif self.desk.active:
            self.close()
        self.desk.tick(world.now)

    def take_beat(self, sender):
        self.heard_at_by_vm[sender.vm] = self.world.now
        self.incarnation_by_vm[sender.vm] = sender.incarnation

    def read_roster(self):
        platform = self.world.platform
        if platform.available and self.vm not in self.world.cut_off:
            self.steward.update_roster(
                platform.roster, platform.version, self.world.now
            )

    def keep_roster(self, view):
        world = self.world
        around = RosterInputs(
            candidates=tuple(
                Candidate(vm, self.incarnation_by_vm[vm], self.since_by_vm[vm])
                for vm in view
            ),
            gone_vms=tuple(world.list_gone()),
            is_writer=view[0] == self.vm,
            may_release=self.vm not in world.cut_off and world.platform.available,
            leaving=False,
        )
        permits = dict.fromkeys(world.slots_by_upstream, DEADLINE_S)
        roster = self.steward.plan_change(around, permits, world.now)
        if roster and self.vm not in world.cut_off:
            world.platform.put(roster, self.steward.version)

    def ask_owner(self, owner):
        world = self.world
        loan = self.desk.borrower.make_loan(owner, world.now)
        asked_at = world.now

        def take(process, lent):
            if process is not self or not self.desk.active:
                return
            gains, lost = self.desk.borrower.accept_lent(
                owner, loan, lent, asked_at, DEADLINE_S, world.now
            )
            self.desk.stop_granting(lost)
            for gain in gains:
                slots = world.slots_by_upstream[gain.upstream]
                self.desk.add_borrowed(gain, slots, world.now)

        def answer(process):
            if process.get_arbiter() != self.vm:
                return
            upstreams = sorted(world.slots_by_upstream)
            lent = process.steward.lender.lend(loan, upstreams, DEADLINE_S, world.now)
            world.send(owner, self.vm, "zone", lambda p: take(p, lent))

        world.send(self.vm, owner, "zone", answer)

    def ask_holder(self, holder, upstreams):
        world = self.world
        question = Holdings(self.incarnation, SERVICE, upstreams)

        def take(process, held):
            if process is self:
                self.desk.add_held_permits(holder, upstreams, held, world.now)

        def answer(entry):
            if entry.holder == holder:
                held = entry.answer_holdings(question)
                world.send(holder.vm, self.vm, "zone", lambda p: take(p, held))

        world.send(self.vm, holder.vm, "entry", answer)

    def close(self):
        self.desk.close(None)
        for owner in self.desk.borrower.get_owners():
            self.desk.stop_granting(self.desk.borrower.drop_owner(owner))
            message = self.desk.borrower.make_give_back()
            upstreams = sorted(self.world.slots_by_upstream)
            self.world.send(
                self.vm,
                owner,
                "zone",
                lambda p, m=message: p.steward.lender.give_back(m, upstreams),
            )
        self.desk.tick(self.world.now)

    def take_acquire(self, entry, number, remaining_s):
        world = self.world
        if not self.desk.active:
            return
        if not self.desk.borrower.may_grant_to(entry.holder, world.now):
            self.desk.borrower.add_holder(entry.holder)
            return

        def answer(message):
            if isinstance(message, Granted):
                world.send(
                    self.vm,
                    entry.holder.vm,
                    "entry",
                    lambda p: p.take_granted(entry.holder, number, message, self.vm),
                )

        message = Acquire(SERVICE, str(number), entry.holder.vm, 1, remaining_s)
        key = f"{entry.holder.incarnation} {number}"
        self.desk.acquire(key, entry.holder, message, DEADLINE_S, answer, world.now)


class EntryProcess:
    """One incarnation of an entry daemon: holds permits."""

    def __init__(self, world, vm, number):
        self.world = world
        self.holder = Holder(vm, f"{vm}-entry-{number}")
        self.paused = False
        self.heeded_by_upstream = {}
        self.running_by_permit = {}
        self.arbiter_by_permit = {}
        self.asked_at_by_number = {}

    def tick(self, rng):
        zone = self.world.node_by_vm[self.holder.vm].zone
        if rng.random() < 0.7 and zone:
            self.ask(zone.get_arbiter(), rng.uniform(0.3, DEADLINE_S))
        for key in list(self.running_by_permit):
            if rng.random() < self.world.finish_share:
                self.finish(key)

    def ask(self, vm, remaining_s):
        number = self.world.next_number()
        self.asked_at_by_number[number] = self.world.now
        self.world.send(
            self.holder.vm,
            vm,
            "zone",
            lambda p: p.take_acquire(self, number, remaining_s),
        )

    def take_granted(self, holder, number, granted, arbiter_vm):
        if holder != self.holder:
            return
        now = self.world.now
        until = self.asked_at_by_number[number] + granted.valid_s
        heeded = self.heeded_by_upstream.get(granted.upstream, granted.arbiter)
        if heeded != granted.arbiter or until <= now:
            return
        key = (granted.arbiter, granted.permit_id)
        running = Running(granted.upstream, until)
        self.running_by_permit[key] = running
        self.arbiter_by_permit[key] = arbiter_vm
        self.world.start(key, running)

    def finish(self, key):
        running = self.running_by_permit.pop(key)
        if running.until <= self.world.now:
            return
        self.world.running_by_permit.pop(key, None)
        message = Release(key[1], running.upstream, key[0], "ok")
        for vm in {self.arbiter_by_permit[key]}:
            self.world.send(
                self.holder.vm,
                vm,
                "zone",
                lambda p: p.desk.release(message, self.world.now),
            )

    def answer_holdings(self, question):
        now = self.world.now
        for upstream in question.upstreams:
            self.heeded_by_upstream[upstream] = question.arbiter
        return Held(
            tuple(
                HeldPermit(key[1], running.upstream, running.until - now)
                for key, running in self.running_by_permit.items()
                if running.upstream in question.upstreams and running.until > now
            )
        )
