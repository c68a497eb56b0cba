"""Answers requests for permits for the services this VM is arbiter of."""

import asyncio
import secrets

from godwitlanding.codes import Code
from godwitlanding.desk import PERMIT_ID_BITS, Desk
from godwitlanding.health import UpstreamHealth
from godwitlanding.kernel import Service
from godwitlanding.messages import (
    Acquire,
    Failure,
    Held,
    Holder,
    Holdings,
    Lent,
    Release,
    Signal,
    Withdraw,
)
from godwitlanding.tasks import Tasks

# An owner that takes longer is counted as silent for this round.
LOAN_TIMEOUT_S = 0.5
HOLDINGS_TIMEOUT_S = 0.5
_PERMIT_RANGE_BITS = 31


class Arbitration(Service):
    """Runs a ``Desk`` for each service and keeps its loans."""

    name = "arbitration"
    needs = ("peers", "members", "configuration", "lending")

    def __init__(self, context):
        self.desk_by_service = {}
        self.health_by_service = {}
        self._context = context
        self._tasks = Tasks()
        self._asking = set()
        self._holder_tasks = {}
        self._channel_by_holder = {}
        self._timer = None
        self._stopping = False

    async def start(self, kernel):
        """Begin to renew loans."""
        self._members = kernel.get("members")
        self._configuration = kernel.get("configuration")
        self._lending = kernel.get("lending")
        peers = kernel.get("peers")
        self._pool = peers.pool
        peers.handle(Acquire, self._acquire)
        peers.handle(Release, self._release)
        peers.handle(Withdraw, self._withdraw)
        peers.handle(Signal, self._take_signal)
        self._members.listen(self._choose_services)
        self._tasks.repeat(self._context.settings["heartbeat_s"], self._renew)

    async def stop(self):
        """End the renewals and answer everyone that waits."""
        for desk in self.desk_by_service.values():
            desk.close(Failure(Code.STOPPING.value))
        if self._timer:
            self._timer.cancel()
        await self._tasks.stop()

    async def give_up(self):
        """Be the arbiter of nothing more, and say so to the owners."""
        self._stopping = True
        self._choose_services()
        await asyncio.sleep(0)

    def refresh_usable(self, service):
        """Apply health and drains to the arbiter of a service."""
        desk = self.desk_by_service.get(service)
        health = self.health_by_service.get(service)
        config = self._configuration.config
        if not desk or not health or not config:
            return
        now = self._now()
        self._note_drains(config, service, health, now)
        for upstream, verdict in health.get_verdicts(now).items():
            desk.take(desk.arbiter.set_usable(upstream, verdict.usable, now), now)
        self._schedule()

    def note_cold(self, service, upstream):
        """An upstream has started again: give it work slowly."""
        desk = self.desk_by_service[service]
        now = self._now()
        desk.take(desk.arbiter.set_usable(upstream, True, now, cold=True), now)

    def get_status(self):
        """Return the desks, with why upstreams are out."""
        now = self._now()
        status_by_service = {}
        for service, desk in sorted(self.desk_by_service.items()):
            health = self.health_by_service[service]
            out = {
                upstream: verdict.why
                for upstream, verdict in health.get_verdicts(now).items()
                if not verdict.usable
            }
            status_by_service[service] = {**desk.get_status(now), "out": out}
        return {"arbiter": self._context.incarnation, "services": status_by_service}

    def _now(self):
        return asyncio.get_running_loop().time()

    def _is_mine(self, service):
        arbiters = self._members.get_arbiters().get(service, ())
        return bool(arbiters) and arbiters[0] == self._context.vm

    def _choose_services(self):
        config = self._configuration.config
        if config is None:
            return
        for name, service in config.service_by_name.items():
            mine = self._is_mine(name) and not self._stopping
            desk = self.desk_by_service.get(name)
            if mine and (desk is None or not desk.active):
                self._open(service)
            elif desk and desk.active and not mine:
                self._close(desk)
        for name in set(self.desk_by_service) - set(config.service_by_name):
            if self.desk_by_service[name].active:
                self._close(self.desk_by_service[name])

    def _open(self, service):
        desk = self.desk_by_service.get(service.name)
        if desk is None:
            first = secrets.randbits(_PERMIT_RANGE_BITS) + 1 << PERMIT_ID_BITS
            desk = Desk(self._context.incarnation, service.name, first)
            self.desk_by_service[service.name] = desk
            self.health_by_service[service.name] = UpstreamHealth()
        desk.active = True
        self._apply_config(desk, service)
        self._context.counters.add("arbiter_opened", service=service.name)
        self._tasks.run(self._renew_desk(desk))

    def _close(self, desk):
        now = self._now()
        desk.close(Failure(Code.NO_ARBITER.value))
        for owner in desk.borrower.get_owners():
            desk.lose(desk.borrower.drop_owner(owner))
            self._give_back(owner, desk.borrower.make_give_back())
        desk.tick(now)
        self._context.counters.add("arbiter_closed", service=desk.service)

    def _give_back(self, owner, message):
        if owner == self._context.vm:
            self._lending.take_give_back(message)
            return
        address = self._members.get_peer_addresses().get(owner)
        if address:
            self._tasks.run(self._pool.send(address, message))

    def _apply_config(self, desk, service):
        upstreams = service.get_upstreams(self._context.availability_zone)
        desk.set_addresses({u.id: u.address for u in upstreams})
        self.health_by_service[service.name].set_upstreams([u.id for u in upstreams])
        allowances = self._configuration.plan.get_allowances(
            service.name, self._context.availability_zone
        )
        now = self._now()
        desk.take(desk.arbiter.set_allowances(allowances, now), now)
        self.refresh_usable(service.name)

    def _note_drains(self, config, service, health, now):
        zone = self._context.availability_zone
        for upstream in config.service_by_name[service].get_upstreams(zone):
            leaving = config.is_drained("upstream", upstream.id, service)
            health.note_list(upstream.id, leaving, now)

    async def _renew(self):
        config = self._configuration.config
        if config is None or not self._members.is_settled():
            return
        self._choose_services()
        for name, service in config.service_by_name.items():
            desk = self.desk_by_service.get(name)
            if desk and desk.active:
                self._apply_config(desk, service)
                self._forget_holders(desk)
                self._tasks.run(self._renew_desk(desk))

    def _forget_holders(self, desk):
        holders_open = desk.list_holders(self._now())
        for holder, channel in list(self._channel_by_holder.items()):
            if channel.closed.is_set() and holder not in holders_open:
                desk.borrower.remove_holder(holder)

    async def _renew_desk(self, desk):
        owners = self._lending.get_owners()
        addresses = self._members.get_peer_addresses()
        members = self._members.member_by_vm
        await asyncio.gather(
            *(
                self._ask_owner(desk, owner, addresses.get(owner))
                for owner in owners
                if owner == self._context.vm
                or (owner in members and members[owner].alive)
            )
        )
        await self._collect(desk)
        self._schedule()

    async def _ask_owner(self, desk, owner, address):
        # One question at a time: the owner takes what a question does not
        # list as given back, which a second one under way would upset.
        key = (desk.service, owner)
        if key in self._asking:
            return
        self._asking.add(key)
        try:
            asked_at = self._now()
            loan = desk.borrower.make_loan(owner, asked_at)
            if owner == self._context.vm:
                lent = self._lending.lend(owner, loan)
            else:
                answer = await self._pool.call(address, loan, LOAN_TIMEOUT_S)
                lent = answer.unwrap_or(None)
            if isinstance(lent, Lent) and desk.active:
                self._take_lent(desk, owner, loan, lent, asked_at)
            elif not isinstance(lent, Lent):
                self._context.counters.add("loans_unanswered", service=desk.service)
        finally:
            self._asking.discard(key)

    def _take_lent(self, desk, owner, loan, lent, asked_at):
        now = self._now()
        permit_s = self._lending.get_longest_permit_s(desk.service)
        gains, lost = desk.borrower.take_lent(
            owner, loan, lent, asked_at, permit_s, now
        )
        desk.lose(lost)
        config = self._configuration.config
        known = config.service_by_name[desk.service].upstream_by_id
        for gain in gains:
            if gain.upstream in known:
                desk.take_gain(gain, known[gain.upstream].slots, now)

    async def _collect(self, desk):
        await asyncio.gather(
            *(
                self._ask_holder(desk, holder, tuple(upstreams))
                for holder, upstreams in desk.get_unanswered().items()
            )
        )

    async def _ask_holder(self, desk, holder, upstreams):
        """Ask for open permits; ``False`` where the holder did not answer."""
        member = self._members.member_by_vm.get(holder.vm)
        if member is None or not member.address:
            return False
        address = f"{member.address}:{self._context.settings['entry_peer_port']}"
        dialled = await self._pool.get_channel(address)
        if dialled.is_err():
            return False
        channel = dialled.unwrap()
        # A new incarnation knows nothing of the permits of the former one,
        # whose work the upstream may still be running: let them end.
        if channel.peer.incarnation != holder.incarnation:
            return False
        question = Holdings(self._context.incarnation, desk.service, upstreams)
        answer = await channel.call(question, HOLDINGS_TIMEOUT_S)
        if answer.is_err() or not isinstance(answer.unwrap(), Held):
            return False
        desk.take_held(holder, upstreams, answer.unwrap(), self._now())
        return True

    async def _acquire(self, channel, message):
        config = self._configuration.config
        if config is None or message.service not in config.service_by_name:
            return Failure(Code.UNKNOWN_SERVICE.value)
        desk = self.desk_by_service.get(message.service)
        if desk is None or not desk.active:
            return Failure(Code.NO_ARBITER.value)
        holder = Holder(channel.peer.vm, channel.peer.incarnation)
        if not await self._introduce(desk, holder, channel):
            return Failure(Code.NO_ARBITER.value, "the lenders do not answer")
        return await self._decide(desk, holder, message, config)

    async def _decide(self, desk, holder, message, config):
        key = f"{holder.incarnation} {message.request_id}"
        future = asyncio.get_running_loop().create_future()

        def answer(decided):
            if not future.done():
                future.set_result(decided)

        deadline_s = config.service_by_name[message.service].deadline_s
        desk.acquire(key, holder, message, deadline_s, answer, self._now())
        self._schedule()
        try:
            return await future
        except asyncio.CancelledError:
            desk.withdraw(key, self._now())
            raise

    async def _introduce(self, desk, holder, channel):
        """Let lenders know a holder before it is granted its first permit."""
        if desk.borrower.may_grant_to(holder, self._now()):
            return True
        key = (desk.service, holder)
        task = self._holder_tasks.get(key)
        if task is None:
            self._channel_by_holder[holder] = channel
            task = self._tasks.run(self._tell_lenders(desk, holder))
            self._holder_tasks[key] = task
            task.add_done_callback(lambda _: self._holder_tasks.pop(key, None))
        return await asyncio.shield(task)

    async def _tell_lenders(self, desk, holder):
        desk.borrower.add_holder(holder)
        await self._ask_holder(desk, holder, self._get_local_ids(desk.service))
        await self._renew_desk(desk)
        if not desk.borrower.may_grant_to(holder, self._now()):
            # A renewal that was under way did not name the holder yet.
            await asyncio.sleep(LOAN_TIMEOUT_S / 10)
            await self._renew_desk(desk)
        for owner in desk.borrower.get_untold(holder, self._now()):
            desk.lose(desk.borrower.drop_owner(owner))
        return True

    def _get_local_ids(self, service):
        config = self._configuration.config
        zone = self._context.availability_zone
        upstreams = config.service_by_name[service].get_upstreams(zone)
        return tuple(upstream.id for upstream in upstreams)

    async def _release(self, channel, message):
        now = self._now()
        for desk in self.desk_by_service.values():
            config = self._configuration.config
            service = config.service_by_name.get(desk.service)
            if service and message.upstream in service.upstream_by_id:
                desk.release(message, now)
                self._note_outcome(desk.service, message, now)
        self._schedule()

    def _note_outcome(self, service, message, now):
        health = self.health_by_service[service]
        if message.outcome == "leaving":
            health.note_word(message.upstream, "draining", now)
            self.refresh_usable(service)
        elif message.outcome == "ok":
            health.note_success(message.upstream, now)

    async def _withdraw(self, channel, message):
        desk = self.desk_by_service.get(message.service)
        if desk:
            key = f"{channel.peer.incarnation} {message.request_id}"
            desk.withdraw(key, self._now())
            self._schedule()

    async def _take_signal(self, channel, message):
        for service, health in self.health_by_service.items():
            health.note_word(message.upstream, message.state, self._now())
            self.refresh_usable(service)

    def _schedule(self):
        """Wake up when the next arbiter has something to decide."""
        times = [
            time
            for desk in self.desk_by_service.values()
            for time in [desk.arbiter.get_next_time()]
            if time is not None
        ]
        if self._timer:
            self._timer.cancel()
            self._timer = None
        if times:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_at(min(times), self._tick)

    def _tick(self):
        now = self._now()
        for desk in self.desk_by_service.values():
            desk.tick(now)
        self._schedule()
