"""Updates the traffic plan while this VM holds the planner lease."""

import asyncio

from godwitlanding.base.codes import Code
from godwitlanding.base.kernel import Service
from godwitlanding.base.log import log_warning
from godwitlanding.base.messages import State
from godwitlanding.base.tasks import Tasks
from godwitlanding.daemons.services.summary import SUMMARY_KIND
from godwitlanding.decisions.demand import Demand
from godwitlanding.decisions.lease import LeaseCandidate, format_lease, parse_lease
from godwitlanding.decisions.plan import format_plan, parse_plan
from godwitlanding.decisions.planner import Planner

LEASE_KIND = "lease"
LEASE_NAME = "planner"
PLAN_KIND = "plan"
PLAN_NAME = "main"


class PlannerService(Service):
    """Competes for the lease and plans; each zone has one candidate."""

    name = "planner"
    needs = ("replication", "members", "configuration", "platform", "summary")

    def __init__(self, context):
        self._context = context
        self._tasks = Tasks()
        self._candidate = LeaseCandidate(
            context.incarnation, context.settings["lease_s"]
        )
        self._demand = Demand(context.settings["summary_max_age_s"])
        self._planner = None

    async def start(self, kernel):
        """Start following plan and summaries, and updating the plan."""
        self._members = kernel.get("members")
        self._replication = kernel.get("replication")
        self._configuration = kernel.get("configuration")
        self._summary = kernel.get("summary")
        self._store = kernel.get("platform").store
        max_age_s = self._context.settings["steer_max_age_s"]
        self._planner = Planner(self._demand, max_age_s, self._now())
        self._context.replica.listen(self._apply_state)
        interval_s = self._context.settings["plan_interval_s"]
        self._tasks.repeat(interval_s, self._update_plan)

    async def stop(self):
        """Release the lease, so that another planner need not wait."""
        await self._tasks.stop()
        if self._candidate.holds(self._now()):
            body = format_lease(self._candidate.release())
            await self._store.put(LEASE_KIND, LEASE_NAME, body, self._candidate.version)

    def get_status(self):
        """Return the lease holder and the state of the planner."""
        if self._planner is None:
            return {}
        now = self._now()
        return {
            "holds_lease": self._candidate.holds(now),
            "lease_holder": self._candidate.lease.holder,
            "lease_version": self._candidate.version,
            **self._planner.get_status(now),
        }

    def _now(self):
        return asyncio.get_running_loop().time()

    def _apply_state(self, state):
        now = self._now()
        if state.kind == SUMMARY_KIND:
            config = self._configuration.config
            services = config.service_by_name.values() if config else ()
            work_s_by_service = {service.name: service.work_s for service in services}
            try:
                self._demand.add_summary(
                    state.name, state.version, state.body, work_s_by_service, now
                )
            except (ValueError, TypeError, AttributeError) as error:
                log_warning("planner:bad_summary", error=repr(error))
        elif state.kind == PLAN_KIND:
            try:
                plan = parse_plan(state.body)
            except ValueError as error:
                log_warning("planner:bad_plan", error=str(error))
                return
            self._planner.take_plan(plan, state.version, now)

    async def _update_plan(self):
        config = self._configuration.config
        is_writer = self._replication.is_zone_writer()
        if config is None or not (is_writer or self._candidate.holds(self._now())):
            return
        await self._renew_lease()
        holds = self._candidate.holds(self._now())
        self._summary.planner_vm = self._context.vm if holds else ""
        if not holds:
            return
        plan = self._planner.make_plan(config, self._now())
        if plan:
            await self._write_plan(plan)

    async def _renew_lease(self):
        read = await self._store.get(LEASE_KIND, LEASE_NAME)
        now = self._now()
        if read.is_ok():
            stored = read.unwrap()
            try:
                lease = parse_lease(stored.value)
            except ValueError as error:
                log_warning("planner:bad_lease", error=str(error))
                lease = None
            self._candidate.observe(lease, stored.version, now)
        elif read.unwrap_err().code is Code.NOT_FOUND:
            self._candidate.observe(None, 0, now)
        else:
            return
        attempt = self._candidate.get_attempt(now)
        if attempt is None:
            return
        written = await self._store.put(
            LEASE_KIND, LEASE_NAME, format_lease(attempt), self._candidate.version
        )
        if written.is_ok():
            taken_over = self._candidate.lease.holder != attempt.holder
            self._candidate.note_written(attempt, written.unwrap(), self._now())
            if taken_over:
                self._context.counters.add("planner_leases_taken")
        else:
            code = written.unwrap_err().code
            self._context.counters.add("lease_write_failed", code=code.name)

    async def _write_plan(self, plan):
        body = format_plan(plan)
        version = self._planner.version
        written = await self._replication.write(PLAN_KIND, PLAN_NAME, body, version)
        if written.is_ok():
            state = State(PLAN_KIND, PLAN_NAME, written.unwrap(), body)
            await self._replication.publish(state)
            self._context.counters.add("plans_written")
            return
        # The response was lost, or this process was paused and another planner
        # has replaced it. The current plan arrives by the watch; nothing is
        # written before it does.
        code = written.unwrap_err().code
        self._context.counters.add("plan_write_failed", code=code.name)
