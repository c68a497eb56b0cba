"""Renews the loans of the arbiters on this VM and tracks permit holders.

A permit server is the arbiter of one service with its loans. It may grant
permits for an upstream only while the upstream's owner lends it. A holder is
an entry process that may have open permits.
"""

import asyncio

from godwitlanding.base.kernel import Service
from godwitlanding.base.messages import Held, Holdings, Lent
from godwitlanding.base.tasks import Tasks

# A request that takes longer counts as unanswered until the next renewal.
LOAN_TIMEOUT_S = 0.5
HOLDINGS_TIMEOUT_S = 0.5
PENDING_RENEWAL_S = 0.05


class Borrowing(Service):
    """Requests loans from owners and open permits from holders."""

    name = "borrowing"
    needs = ("peers", "members", "configuration", "lending")

    def __init__(self, context):
        self._context = context
        self._tasks = Tasks()
        self._pending_requests = set()
        self._registration_by_key = {}
        self._channel_by_key = {}

    async def start(self, kernel):
        """Look up the services that are used."""
        self._members = kernel.get("members")
        self._configuration = kernel.get("configuration")
        self._lending = kernel.get("lending")
        self._pool = kernel.get("peers").pool

    async def stop(self):
        """Cancel the pending requests."""
        await self._tasks.stop()

    def get_status(self):
        """Return the entry processes that may have permits."""
        holders = {holder.incarnation for _, holder in self._channel_by_key}
        return {"holders": sorted(holders)}

    async def renew(self, permit_server):
        """Renew the loan of each owner, then request missing open permits."""
        self._remove_idle_holders(permit_server)
        owners = self._lending.get_owners()
        addresses = self._members.get_peer_addresses()
        members = self._members.member_by_vm
        await asyncio.gather(
            *(
                self._request_loan(permit_server, owner, addresses.get(owner))
                for owner in owners
                if owner == self._context.vm
                or (owner in members and members[owner].alive)
            )
        )
        await self._request_missing_holdings(permit_server)

    async def register_holder(self, permit_server, holder, channel):
        """Announce a holder to all lenders before its first permit."""
        key = (permit_server.service, holder)
        self._channel_by_key[key] = channel
        if permit_server.borrower.may_grant_to(holder, self._now()):
            return
        task = self._registration_by_key.get(key)
        if task is None:
            task = self._tasks.run(self._announce_holder(permit_server, holder))
            self._registration_by_key[key] = task
            task.add_done_callback(lambda _: self._registration_by_key.pop(key))
        # Several requests may wait for this task: the cancellation of one
        # must not cancel it for the others.
        await asyncio.shield(task)

    def give_back(self, permit_server):
        """Stop using all loans of a permit server and return them."""
        for owner in permit_server.borrower.get_owners():
            permit_server.stop_granting(permit_server.borrower.drop_owner(owner))
            self._send_give_back(owner, permit_server.borrower.make_give_back())

    def _now(self):
        return asyncio.get_running_loop().time()

    def _send_give_back(self, owner, message):
        if owner == self._context.vm:
            self._lending.apply_give_back(message)
            return
        address = self._members.get_peer_addresses().get(owner)
        if address:
            self._tasks.run(self._pool.send(address, message))

    def _remove_idle_holders(self, permit_server):
        holders_with_permits = permit_server.list_holders(self._now())
        for (service, holder), channel in list(self._channel_by_key.items()):
            is_idle = channel.closed.is_set() and holder not in holders_with_permits
            if service == permit_server.service and is_idle:
                permit_server.borrower.remove_holder(holder)
                del self._channel_by_key[service, holder]

    async def _request_loan(self, permit_server, owner, address):
        # One request at a time: the owner takes upstreams that a request does
        # not list as given back, so a concurrent request would lose loans.
        key = (permit_server.service, owner)
        if key in self._pending_requests:
            return
        self._pending_requests.add(key)
        try:
            requested_at = self._now()
            loan = permit_server.borrower.make_loan(owner, requested_at)
            if owner == self._context.vm:
                lent = self._lending.lend(owner, loan)
            else:
                response = await self._pool.call(address, loan, LOAN_TIMEOUT_S)
                lent = response.unwrap_or(None)
            if isinstance(lent, Lent) and permit_server.active:
                self._apply_lent(permit_server, owner, loan, lent, requested_at)
            elif not isinstance(lent, Lent):
                self._context.counters.add(
                    "loans_unanswered", service=permit_server.service
                )
        finally:
            self._pending_requests.discard(key)

    def _apply_lent(self, permit_server, owner, loan, lent, requested_at):
        now = self._now()
        permit_s = self._lending.get_longest_permit_s(permit_server.service)
        gains, lost = permit_server.borrower.accept_lent(
            owner, loan, lent, requested_at, permit_s, now
        )
        permit_server.stop_granting(lost)
        config = self._configuration.config
        known = config.service_by_name[permit_server.service].upstream_by_id
        for gain in gains:
            if gain.upstream in known:
                permit_server.add_borrowed(gain, known[gain.upstream].slots, now)

    async def _request_missing_holdings(self, permit_server):
        await asyncio.gather(
            *(
                self._request_holdings(permit_server, holder, tuple(upstreams))
                for holder, upstreams in permit_server.get_pending_upstreams().items()
            )
        )

    async def _request_holdings(self, permit_server, holder, upstreams):
        """Request open permits; return ``False`` without a response."""
        member = self._members.member_by_vm.get(holder.vm)
        if member is None or not member.address:
            return False
        address = f"{member.address}:{self._context.settings['entry_peer_port']}"
        connected = await self._pool.get_channel(address)
        if connected.is_err():
            return False
        channel = connected.unwrap()
        # A restarted process does not know the permits of its predecessor,
        # whose requests may still run upstream: wait until they expire.
        if channel.peer.incarnation != holder.incarnation:
            return False
        request = Holdings(self._context.incarnation, permit_server.service, upstreams)
        response = await channel.call(request, HOLDINGS_TIMEOUT_S)
        if response.is_err() or not isinstance(response.unwrap(), Held):
            return False
        permit_server.add_held_permits(
            holder, upstreams, response.unwrap(), self._now()
        )
        return True

    async def _announce_holder(self, permit_server, holder):
        permit_server.borrower.add_holder(holder)
        await self._request_holdings(
            permit_server, holder, self._get_local_ids(permit_server.service)
        )
        await self.renew(permit_server)
        if not permit_server.borrower.may_grant_to(holder, self._now()):
            # A renewal that was already pending did not list the holder.
            await asyncio.sleep(PENDING_RENEWAL_S)
            await self.renew(permit_server)
        for owner in permit_server.borrower.get_uninformed_lenders(holder, self._now()):
            permit_server.stop_granting(permit_server.borrower.drop_owner(owner))

    def _get_local_ids(self, service):
        config = self._configuration.config
        zone = self._context.availability_zone
        upstreams = config.service_by_name[service].get_upstreams(zone)
        return tuple(upstream.id for upstream in upstreams)
