"""Keeps the loans and the known holders of the desks on this VM."""

import asyncio

from godwitlanding.base.kernel import Service
from godwitlanding.base.messages import Held, Holdings, Lent
from godwitlanding.base.tasks import Tasks

# An owner that takes longer is counted as silent for this round.
LOAN_TIMEOUT_S = 0.5
HOLDINGS_TIMEOUT_S = 0.5
PENDING_RENEWAL_S = 0.05


class Borrowing(Service):
    """Asks owners for loans and holders for their open permits."""

    name = "borrowing"
    needs = ("peers", "members", "configuration", "lending")

    def __init__(self, context):
        self._context = context
        self._tasks = Tasks()
        self._pending_requests = set()
        self._registration_by_key = {}
        self._channel_by_key = {}

    async def start(self, kernel):
        """Find the services that it asks."""
        self._members = kernel.get("members")
        self._configuration = kernel.get("configuration")
        self._lending = kernel.get("lending")
        self._pool = kernel.get("peers").pool

    async def stop(self):
        """End what is under way."""
        await self._tasks.stop()

    def get_status(self):
        """Return which entry processes may have permits."""
        holders = {holder.incarnation for _, holder in self._channel_by_key}
        return {"holders": sorted(holders)}

    async def renew(self, desk):
        """Ask every owner for its loan, then holders for open permits."""
        self._remove_idle_holders(desk)
        owners = self._lending.get_owners()
        addresses = self._members.get_peer_addresses()
        members = self._members.member_by_vm
        await asyncio.gather(
            *(
                self._request_loan(desk, owner, addresses.get(owner))
                for owner in owners
                if owner == self._context.vm
                or (owner in members and members[owner].alive)
            )
        )
        await self._request_missing_holdings(desk)

    async def register_holder(self, desk, holder, channel):
        """Let lenders know a holder before it is granted its first permit."""
        key = (desk.service, holder)
        self._channel_by_key[key] = channel
        if desk.borrower.may_grant_to(holder, self._now()):
            return
        task = self._registration_by_key.get(key)
        if task is None:
            task = self._tasks.run(self._announce_holder(desk, holder))
            self._registration_by_key[key] = task
            task.add_done_callback(lambda _: self._registration_by_key.pop(key))
        # Shielded: the first request that gives up must not end it for all.
        await asyncio.shield(task)

    def give_back(self, desk):
        """Use nothing more, and tell the owners."""
        for owner in desk.borrower.get_owners():
            desk.stop_granting(desk.borrower.drop_owner(owner))
            self._send_give_back(owner, desk.borrower.make_give_back())

    def _now(self):
        return asyncio.get_running_loop().time()

    def _send_give_back(self, owner, message):
        if owner == self._context.vm:
            self._lending.apply_give_back(message)
            return
        address = self._members.get_peer_addresses().get(owner)
        if address:
            self._tasks.run(self._pool.send(address, message))

    def _remove_idle_holders(self, desk):
        holders_with_permits = desk.list_holders(self._now())
        for (service, holder), channel in list(self._channel_by_key.items()):
            is_idle = channel.closed.is_set() and holder not in holders_with_permits
            if service == desk.service and is_idle:
                desk.borrower.remove_holder(holder)
                del self._channel_by_key[service, holder]

    async def _request_loan(self, desk, owner, address):
        # One question at a time: the owner takes what a question does not
        # list as given back, which a second one under way would upset.
        key = (desk.service, owner)
        if key in self._pending_requests:
            return
        self._pending_requests.add(key)
        try:
            requested_at = self._now()
            loan = desk.borrower.make_loan(owner, requested_at)
            if owner == self._context.vm:
                lent = self._lending.lend(owner, loan)
            else:
                answer = await self._pool.call(address, loan, LOAN_TIMEOUT_S)
                lent = answer.unwrap_or(None)
            if isinstance(lent, Lent) and desk.active:
                self._apply_lent(desk, owner, loan, lent, requested_at)
            elif not isinstance(lent, Lent):
                self._context.counters.add("loans_unanswered", service=desk.service)
        finally:
            self._pending_requests.discard(key)

    def _apply_lent(self, desk, owner, loan, lent, requested_at):
        now = self._now()
        permit_s = self._lending.get_longest_permit_s(desk.service)
        gains, lost = desk.borrower.accept_lent(
            owner, loan, lent, requested_at, permit_s, now
        )
        desk.stop_granting(lost)
        config = self._configuration.config
        known = config.service_by_name[desk.service].upstream_by_id
        for gain in gains:
            if gain.upstream in known:
                desk.add_borrowed(gain, known[gain.upstream].slots, now)

    async def _request_missing_holdings(self, desk):
        await asyncio.gather(
            *(
                self._request_holdings(desk, holder, tuple(upstreams))
                for holder, upstreams in desk.get_pending_upstreams().items()
            )
        )

    async def _request_holdings(self, desk, holder, upstreams):
        """Ask for open permits; ``False`` where the holder did not answer."""
        member = self._members.member_by_vm.get(holder.vm)
        if member is None or not member.address:
            return False
        address = f"{member.address}:{self._context.settings['entry_peer_port']}"
        connected = await self._pool.get_channel(address)
        if connected.is_err():
            return False
        channel = connected.unwrap()
        # A new incarnation knows nothing of the permits of the former one,
        # whose work the upstream may still be running: let them end.
        if channel.peer.incarnation != holder.incarnation:
            return False
        request = Holdings(self._context.incarnation, desk.service, upstreams)
        answer = await channel.call(request, HOLDINGS_TIMEOUT_S)
        if answer.is_err() or not isinstance(answer.unwrap(), Held):
            return False
        desk.add_held_permits(holder, upstreams, answer.unwrap(), self._now())
        return True

    async def _announce_holder(self, desk, holder):
        desk.borrower.add_holder(holder)
        await self._request_holdings(desk, holder, self._get_local_ids(desk.service))
        await self.renew(desk)
        if not desk.borrower.may_grant_to(holder, self._now()):
            # A renewal that was under way did not name the holder yet.
            await asyncio.sleep(PENDING_RENEWAL_S)
            await self.renew(desk)
        for owner in desk.borrower.get_uninformed_lenders(holder, self._now()):
            desk.stop_granting(desk.borrower.drop_owner(owner))

    def _get_local_ids(self, service):
        config = self._configuration.config
        zone = self._context.availability_zone
        upstreams = config.service_by_name[service].get_upstreams(zone)
        return tuple(upstream.id for upstream in upstreams)
