"""Serves permit requests for the services whose arbiter this VM is."""

import asyncio
import secrets

from godwitlanding.base.codes import Code
from godwitlanding.base.kernel import Service
from godwitlanding.base.messages import (
    OUTCOME_CRASHED,
    OUTCOME_LEAVING,
    OUTCOME_OK,
    Acquire,
    Failure,
    Holder,
    Poison,
    Release,
    Signal,
    Withdraw,
)
from godwitlanding.base.tasks import Tasks
from godwitlanding.daemons.arbiter import Arbiter
from godwitlanding.daemons.permitserver import PERMIT_ID_BITS, PermitServer
from godwitlanding.daemons.services.crashreports import CrashReports
from godwitlanding.decisions.health import DRAINING, UpstreamHealth
from godwitlanding.decisions.holderfailures import HolderFailures
from godwitlanding.decisions.poison import PoisonLedger
from godwitlanding.decisions.spill import LinkLimiter

_FIRST_PERMIT_ID_BITS = 31


class Arbitration(Service):
    """Runs the permit server of each service and renews its loans."""

    name = "arbitration"
    needs = ("peers", "members", "configuration", "borrowing")

    def __init__(self, context):
        self.permit_server_by_service = {}
        self.health_by_service = {}
        self._context = context
        self._tasks = Tasks()
        self._poison = PoisonLedger()
        self._holder_failures = HolderFailures()
        self._limiter_by_zone = {}
        self._timer = None
        self._stopping = False

    async def start(self, kernel):
        """Register the message handlers and start renewing loans."""
        self._members = kernel.get("members")
        self._configuration = kernel.get("configuration")
        self._borrowing = kernel.get("borrowing")
        peers = kernel.get("peers")
        self._pool = peers.pool
        peers.handle(Acquire, self._handle_acquire)
        peers.handle(Release, self._handle_release)
        peers.handle(Withdraw, self._handle_withdraw)
        peers.handle(Signal, self._handle_signal)
        peers.handle(Poison, self._handle_poison)
        self._crash_reports = CrashReports(
            self._poison, self._members, self._send_poison
        )
        self._members.listen(self._update_permit_servers)
        heartbeat_s = self._context.settings["heartbeat_s"]
        self._tasks.repeat(heartbeat_s, self._renew_loans)
        self._tasks.repeat(heartbeat_s, self._update_crash_reports)

    async def stop(self):
        """Stop renewing and fail all waiting requests."""
        for permit_server in self.permit_server_by_service.values():
            permit_server.close(Failure(Code.STOPPING.value))
        if self._timer:
            self._timer.cancel()
        await self._tasks.stop()

    async def hand_over(self):
        """Close all permit servers and return their loans to the owners."""
        self._stopping = True
        self._update_permit_servers()
        await asyncio.sleep(0)

    def refresh_usable(self, service):
        """Update the usable upstreams of a service from health and drains."""
        permit_server = self.permit_server_by_service.get(service)
        health = self.health_by_service.get(service)
        config = self._configuration.config
        if not permit_server or not health or not config:
            return
        now = self._now()
        self._apply_drains(config, service, health, now)
        for upstream, verdict in health.get_verdicts(now).items():
            permit_server.answer_decisions(
                permit_server.arbiter.set_usable(upstream, verdict.usable, now), now
            )
        self._schedule_tick()

    def note_cold(self, service, upstream):
        """Record that an upstream has restarted, so its load grows slowly."""
        permit_server = self.permit_server_by_service[service]
        now = self._now()
        permit_server.answer_decisions(
            permit_server.arbiter.note_cold(upstream, now), now
        )

    def get_status(self):
        """Return the status and the unusable upstreams of each service."""
        now = self._now()
        status_by_service = {}
        for service, permit_server in sorted(self.permit_server_by_service.items()):
            health = self.health_by_service[service]
            why_by_upstream = {
                upstream: verdict.why
                for upstream, verdict in health.get_verdicts(now).items()
                if not verdict.usable
            }
            status_by_service[service] = {
                **permit_server.get_status(now),
                "out": why_by_upstream,
            }
        return {"arbiter": self._context.incarnation, "services": status_by_service}

    def _now(self):
        return asyncio.get_running_loop().time()

    def _is_arbiter_of(self, service):
        arbiters = self._members.get_arbiters().get(service, ())
        return bool(arbiters) and arbiters[0] == self._context.vm

    def _update_permit_servers(self):
        config = self._configuration.config
        if config is None:
            return
        for name, service in config.service_by_name.items():
            is_arbiter = self._is_arbiter_of(name) and not self._stopping
            permit_server = self.permit_server_by_service.get(name)
            if is_arbiter and (permit_server is None or not permit_server.active):
                self._open_permit_server(service)
            elif permit_server and permit_server.active and not is_arbiter:
                self._close_permit_server(permit_server)
        for name in set(self.permit_server_by_service) - set(config.service_by_name):
            if self.permit_server_by_service[name].active:
                self._close_permit_server(self.permit_server_by_service[name])

    def _open_permit_server(self, service):
        permit_server = self.permit_server_by_service.get(service.name)
        if permit_server is None:
            first_permit_id = (
                secrets.randbits(_FIRST_PERMIT_ID_BITS) + 1 << PERMIT_ID_BITS
            )
            arbiter = Arbiter(
                service.name,
                first_permit_id,
                service.work_s,
                service.slow_start_s,
                self._poison,
            )
            permit_server = PermitServer(
                self._context.incarnation, arbiter, first_permit_id
            )
            self.permit_server_by_service[service.name] = permit_server
            self.health_by_service[service.name] = UpstreamHealth()
        permit_server.active = True
        self._apply_config(permit_server, service)
        self._context.counters.add("arbiter_opened", service=service.name)
        self._tasks.run(self._renew_permit_server_loans(permit_server))

    def _close_permit_server(self, permit_server):
        now = self._now()
        permit_server.close(Failure(Code.NO_ARBITER.value))
        self._borrowing.give_back(permit_server)
        permit_server.tick(now)
        self._context.counters.add("arbiter_closed", service=permit_server.service)

    def _apply_config(self, permit_server, service):
        upstreams = service.get_upstreams(self._context.availability_zone)
        permit_server.set_addresses({u.id: u.address for u in upstreams})
        self.health_by_service[service.name].set_upstreams([u.id for u in upstreams])
        allowances = self._configuration.plan.get_allowances(
            service.name, self._context.availability_zone
        )
        now = self._now()
        for zone, limiter in self._get_link_limiters().items():
            permit_server.arbiter.spill.set_link_limiter(zone, limiter)
        permit_server.answer_decisions(
            permit_server.arbiter.set_allowances(allowances, now), now
        )
        self.refresh_usable(service.name)

    def _get_link_limiters(self):
        """Return the limiter of each outgoing link by target zone.

        All services of this zone share the limiter of a link.
        """
        own = self._context.availability_zone
        for (source, target), link in self._configuration.config.link_by_zones.items():
            if source != own:
                continue
            limiter = self._limiter_by_zone.get(target)
            limits = (link.requests_per_s, link.bytes_per_s)
            if (
                limiter is None
                or (limiter.requests_per_s, limiter.bytes_per_s) != limits
            ):
                self._limiter_by_zone[target] = LinkLimiter(*limits)
        return self._limiter_by_zone

    def _apply_drains(self, config, service, health, now):
        zone = self._context.availability_zone
        for upstream in config.service_by_name[service].get_upstreams(zone):
            leaving = config.is_drained("upstream", upstream.id, service)
            health.note_list(upstream.id, leaving, now)

    def _update_crash_reports(self):
        self._crash_reports.update_members(self._now())

    async def _renew_loans(self):
        config = self._configuration.config
        if config is None or not self._members.is_settled():
            return
        self._update_permit_servers()
        for name, service in config.service_by_name.items():
            permit_server = self.permit_server_by_service.get(name)
            if permit_server and permit_server.active:
                self._apply_config(permit_server, service)
                self._tasks.run(self._renew_permit_server_loans(permit_server))

    async def _renew_permit_server_loans(self, permit_server):
        await self._borrowing.renew(permit_server)
        self._schedule_tick()

    async def _handle_acquire(self, channel, message):
        config = self._configuration.config
        if config is None or message.service not in config.service_by_name:
            return Failure(Code.UNKNOWN_SERVICE.value)
        permit_server = self.permit_server_by_service.get(message.service)
        if permit_server is None or not permit_server.active:
            return Failure(Code.NO_ARBITER.value)
        if channel.peer.availability_zone != self._context.availability_zone:
            self._context.counters.add("acquires_refused", reason="other_zone")
            return Failure(Code.UNEXPECTED_MESSAGE.value)
        holder = Holder(channel.peer.vm, channel.peer.incarnation)
        await self._borrowing.register_holder(permit_server, holder, channel)
        if not permit_server.active:
            return Failure(Code.NO_ARBITER.value)
        return await self._wait_for_decision(permit_server, holder, message, config)

    async def _wait_for_decision(self, permit_server, holder, message, config):
        key = f"{holder.incarnation} {message.request_id}"
        future = asyncio.get_running_loop().create_future()

        def answer(decision):
            if not future.done():
                future.set_result(decision)

        deadline_s = config.service_by_name[message.service].deadline_s
        permit_server.acquire(key, holder, message, deadline_s, answer, self._now())
        self._schedule_tick()
        try:
            return await future
        except asyncio.CancelledError:
            permit_server.withdraw(key, self._now())
            raise

    async def _handle_release(self, channel, message):
        now = self._now()
        tells_of_upstream = self._holder_failures.counts(
            channel.peer.vm, message.upstream, message.fingerprint, message.outcome
        )
        for permit_server in self.permit_server_by_service.values():
            config = self._configuration.config
            service = config.service_by_name.get(permit_server.service)
            if service and message.upstream in service.upstream_by_id:
                permit_server.release(message, now, tells_of_upstream)
                self._record_outcome(permit_server.service, message, now)
        is_crash = message.outcome == OUTCOME_CRASHED and tells_of_upstream
        if is_crash and message.fingerprint:
            self._crash_reports.report(Poison(message.fingerprint, message.upstream, 1))
        self._schedule_tick()

    def _send_poison(self, address, poison):
        self._tasks.run(self._pool.send(address, poison))

    async def _handle_poison(self, channel, message):
        is_own_zone = channel.peer.availability_zone == self._context.availability_zone
        self._crash_reports.receive(message, is_own_zone, self._now())
        self._context.counters.add("poison_noted", upstream=message.upstream)
        self._tick()

    def _record_outcome(self, service, message, now):
        health = self.health_by_service[service]
        if message.outcome == OUTCOME_LEAVING:
            health.note_signal(message.upstream, DRAINING, now)
            self.refresh_usable(service)
        elif message.outcome == OUTCOME_OK:
            health.note_success(message.upstream, now)

    async def _handle_withdraw(self, channel, message):
        permit_server = self.permit_server_by_service.get(message.service)
        if permit_server:
            key = f"{channel.peer.incarnation} {message.request_id}"
            permit_server.withdraw(key, self._now())
            self._schedule_tick()

    async def _handle_signal(self, channel, message):
        for service, health in self.health_by_service.items():
            health.note_signal(message.upstream, message.state, self._now())
            self.refresh_usable(service)

    def _schedule_tick(self):
        """Set a timer for the earliest time that an arbiter has to act."""
        times = [
            time
            for permit_server in self.permit_server_by_service.values()
            for time in [permit_server.arbiter.get_next_time()]
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
        for permit_server in self.permit_server_by_service.values():
            permit_server.tick(now)
        self._schedule_tick()
