"""Zone and entry processes of ``zone_simulation``, without I/O."""

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
HEARTBEAT_STEPS = 6
MEMBER_TIMEOUT_S = 1.2
VM_LIST_LAG_S = 1.0


def make_zone_permit_server(incarnation, number):
    """Return a permit server with its own range of permit ids."""
    first = number << PERMIT_ID_BITS
    return PermitServer(incarnation, Arbiter(SERVICE, first), first)


class RunningRequest(NamedTuple):
    """A request on an upstream; the upstream ends it at its deadline."""

    upstream: str
    until: float


class ZoneProcess:
    """One incarnation of a zone daemon."""

    def __init__(self, simulation, vm, number):
        self.simulation = simulation
        self.vm = vm
        self.incarnation = f"{vm}-zone-{number}"
        self.paused = False
        self.upstream_owner = UpstreamOwner(
            vm, self.incarnation, LOAN_S, simulation.now
        )
        self.permit_server = make_zone_permit_server(self.incarnation, number)
        self.permit_server.set_addresses({u: u for u in simulation.slots_by_upstream})
        self.heartbeat_at_by_vm = {}
        self.alive_since_by_vm = {}
        self.incarnation_by_vm = {vm: self.incarnation}
        self.forced_arbiter = None

    def get_alive_vms(self):
        """Return the VMs that this member considers alive."""
        now = self.simulation.now
        alive = {
            vm
            for vm, at in self.heartbeat_at_by_vm.items()
            if now - at <= MEMBER_TIMEOUT_S
        }
        return sorted(alive | {self.vm})

    def get_arbiter(self):
        return self.forced_arbiter or self.get_alive_vms()[0]

    def tick(self):
        simulation = self.simulation
        if simulation.flap_probability:
            names = sorted(simulation.node_by_vm)
            if simulation.rng.random() < simulation.flap_probability:
                self.forced_arbiter = simulation.rng.choice(names)
        if simulation.rng.random() < 0.8:
            self.read_roster()
        for vm in simulation.node_by_vm:
            simulation.send(self.vm, vm, "zone", lambda p: p.receive_heartbeat(self))
        alive_vms = self.get_alive_vms()
        if simulation.flap_probability:
            alive_vms = sorted(
                vm for vm in alive_vms if simulation.rng.random() < 0.7
            ) or [self.vm]
            self.alive_since_by_vm = dict.fromkeys(alive_vms, simulation.now - 60)
        self.alive_since_by_vm = {
            vm: self.alive_since_by_vm.get(vm, simulation.now) for vm in alive_vms
        }
        self.write_roster_change(alive_vms)
        if self.get_arbiter() == self.vm:
            self.permit_server.active = True
            for owner in simulation.list_owners(self.upstream_owner.roster):
                self.request_loan(owner)
            for holder, upstreams in self.permit_server.get_pending_upstreams().items():
                self.request_holdings(holder, tuple(upstreams))
        elif self.permit_server.active:
            self.close()
        self.permit_server.tick(simulation.now)

    def receive_heartbeat(self, sender):
        self.heartbeat_at_by_vm[sender.vm] = self.simulation.now
        self.incarnation_by_vm[sender.vm] = sender.incarnation

    def read_roster(self):
        platform = self.simulation.platform
        if platform.available and self.vm not in self.simulation.vms_without_platform:
            self.upstream_owner.update_roster(
                platform.roster, platform.version, self.simulation.now
            )

    def write_roster_change(self, alive_vms):
        simulation = self.simulation
        inputs = RosterInputs(
            candidates=tuple(
                Candidate(vm, self.incarnation_by_vm[vm], self.alive_since_by_vm[vm])
                for vm in alive_vms
            ),
            gone_vms=tuple(simulation.list_gone_vms()),
            is_writer=alive_vms[0] == self.vm,
            may_release=self.vm not in simulation.vms_without_platform
            and simulation.platform.available,
            leaving=False,
        )
        permits = dict.fromkeys(simulation.slots_by_upstream, DEADLINE_S)
        roster = self.upstream_owner.plan_change(inputs, permits, simulation.now)
        if roster and self.vm not in simulation.vms_without_platform:
            simulation.platform.put(roster, self.upstream_owner.version)

    def request_loan(self, owner):
        simulation = self.simulation
        loan = self.permit_server.borrower.make_loan(owner, simulation.now)
        requested_at = simulation.now

        def apply_answer(process, lent):
            if process is not self or not self.permit_server.active:
                return
            borrowed_upstreams, lost = self.permit_server.borrower.accept_lent(
                owner, loan, lent, requested_at, DEADLINE_S, simulation.now
            )
            self.permit_server.stop_granting(lost)
            for borrowed in borrowed_upstreams:
                slots = simulation.slots_by_upstream[borrowed.upstream]
                self.permit_server.add_borrowed(borrowed, slots, simulation.now)

        def answer(process):
            if process.get_arbiter() != self.vm:
                return
            upstreams = sorted(simulation.slots_by_upstream)
            lent = process.upstream_owner.lender.lend(
                loan, upstreams, DEADLINE_S, simulation.now
            )
            simulation.send(owner, self.vm, "zone", lambda p: apply_answer(p, lent))

        simulation.send(self.vm, owner, "zone", answer)

    def request_holdings(self, holder, upstreams):
        simulation = self.simulation
        holdings_request = Holdings(self.incarnation, SERVICE, upstreams)

        def apply_answer(process, held):
            if process is self:
                self.permit_server.add_held_permits(
                    holder, upstreams, held, simulation.now
                )

        def answer(entry):
            if entry.holder == holder:
                held = entry.answer_holdings(holdings_request)
                simulation.send(
                    holder.vm, self.vm, "zone", lambda p: apply_answer(p, held)
                )

        simulation.send(self.vm, holder.vm, "entry", answer)

    def close(self):
        self.permit_server.close(None)
        for owner in self.permit_server.borrower.get_owners():
            self.permit_server.stop_granting(
                self.permit_server.borrower.drop_owner(owner)
            )
            message = self.permit_server.borrower.make_give_back()
            upstreams = sorted(self.simulation.slots_by_upstream)
            self.simulation.send(
                self.vm,
                owner,
                "zone",
                lambda p, m=message: p.upstream_owner.lender.give_back(m, upstreams),
            )
        self.permit_server.tick(self.simulation.now)

    def receive_acquire(self, entry, number, remaining_s):
        simulation = self.simulation
        if not self.permit_server.active:
            return
        if not self.permit_server.borrower.may_grant_to(entry.holder, simulation.now):
            self.permit_server.borrower.add_holder(entry.holder)
            return

        def answer(message):
            if isinstance(message, Granted):
                simulation.send(
                    self.vm,
                    entry.holder.vm,
                    "entry",
                    lambda p: p.receive_granted(entry.holder, number, message, self.vm),
                )

        message = Acquire(SERVICE, str(number), entry.holder.vm, 1, remaining_s)
        key = f"{entry.holder.incarnation} {number}"
        self.permit_server.acquire(
            key, entry.holder, message, DEADLINE_S, answer, simulation.now
        )


class EntryProcess:
    """One incarnation of an entry daemon, which holds permits."""

    def __init__(self, simulation, vm, number):
        self.simulation = simulation
        self.holder = Holder(vm, f"{vm}-entry-{number}")
        self.paused = False
        self.current_arbiter_by_upstream = {}
        self.running_by_permit = {}
        self.arbiter_by_permit = {}
        self.requested_at_by_number = {}

    def tick(self, rng):
        zone = self.simulation.node_by_vm[self.holder.vm].zone
        if rng.random() < 0.7 and zone:
            self.send_acquire(zone.get_arbiter(), rng.uniform(0.3, DEADLINE_S))
        for key in list(self.running_by_permit):
            if rng.random() < self.simulation.finish_probability:
                self.finish(key)

    def send_acquire(self, vm, remaining_s):
        number = self.simulation.next_number()
        self.requested_at_by_number[number] = self.simulation.now
        self.simulation.send(
            self.holder.vm,
            vm,
            "zone",
            lambda p: p.receive_acquire(self, number, remaining_s),
        )

    def receive_granted(self, holder, number, granted, arbiter_vm):
        if holder != self.holder:
            return
        now = self.simulation.now
        until = self.requested_at_by_number[number] + granted.valid_s
        current_arbiter = self.current_arbiter_by_upstream.get(
            granted.upstream, granted.arbiter
        )
        if current_arbiter != granted.arbiter or until <= now:
            return
        key = (granted.arbiter, granted.permit_id)
        running = RunningRequest(granted.upstream, until)
        self.running_by_permit[key] = running
        self.arbiter_by_permit[key] = arbiter_vm
        self.simulation.start(key, running)

    def finish(self, key):
        running = self.running_by_permit.pop(key)
        if running.until <= self.simulation.now:
            return
        self.simulation.running_by_permit.pop(key, None)
        message = Release(key[1], running.upstream, key[0], "ok")
        for vm in {self.arbiter_by_permit[key]}:
            self.simulation.send(
                self.holder.vm,
                vm,
                "zone",
                lambda p: p.permit_server.release(message, self.simulation.now),
            )

    def answer_holdings(self, holdings_request):
        now = self.simulation.now
        for upstream in holdings_request.upstreams:
            self.current_arbiter_by_upstream[upstream] = holdings_request.arbiter
        return Held(
            tuple(
                HeldPermit(key[1], running.upstream, running.until - now)
                for key, running in self.running_by_permit.items()
                if running.upstream in holdings_request.upstreams
                and running.until > now
            )
        )
