"""Checks the promises of the system against what a soak run recorded."""

from godwitlanding.decisions.allotment import Tolerance
from godwitlanding.tests.soak.caller import DEADLINE_S, make_upload
from godwitlanding.tests.soak.faultinjector import PAUSE_S, UPSTREAM_LIMIT_PER_S
from godwitlanding.tests.soak.schedule import PLANNED_KINDS
from godwitlanding.tests.soak.world import LIMIT_BURST, LIMIT_PER_S, LONG_PREFIX
from godwitlanding.tests.standins.standin_worker import make_echo

# Time limits from the users' rules, and an allowance for a busy machine.
DRAIN_S = 2.5
EVACUATE_S = 5.0
RECOVERY_S = 4.0
SLACK_S = 0.7
# For upstreams that report a limit: it holds in any window that begins
# RECOVERY_S or more after the first report.
LIMIT_WINDOW_S = 4.0
MAX_REQUESTS_IN_LIMIT_WINDOW = 1.5 * UPSTREAM_LIMIT_PER_S * LIMIT_WINDOW_S + 5
# For upstreams that reject a request with Retry-After.
PAUSE_DELAY_S = 0.5
MAX_REQUESTS_IN_PAUSE = 2
CRASH_MARKERS = (
    "Traceback",
    '"carrier:failed"',
    '"task:failed"',
    '"task:round_failed"',
)
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# The only workspace with a rate limit.
LIMITED_WORKSPACE = "small"
TOLERANCE = Tolerance()
SERVICE_BY_ROUTE = {"look": "looks", "pay": "pays", "up": "looks"}
# Faults that excuse no violation by a VM.
HARMLESS_KINDS = frozenset(
    (*PLANNED_KINDS, "shed", "fail", "slow", "limit", "pause_asked")
)


class Checker:
    """Compares the callers' records with the upstreams' records of runs."""

    def __init__(self, records, world, injector):
        self._records = records
        self._injector = injector
        self._vms = world.vms
        self._workers = world.get_all_workers()
        self._record_by_request = {row.request_id: row for row in records}
        self._runs_by_request = {}
        for worker in self._workers:
            for request_id, at in zip(worker.ran, worker.ran_at):
                row = self._runs_by_request.setdefault(request_id, [])
                row.append((worker, at))

    def find_problems(self):
        """Return a line for each violation of a promise."""
        problems = list(self._injector.problems)
        for record in self._records:
            problems.extend(self._check_response(record))
        problems.extend(self._check_runs())
        problems.extend(self._check_uploads())
        problems.extend(self._check_workspaces())
        problems.extend(self._check_allotments())
        problems.extend(self._check_drains())
        problems.extend(self._check_evacuations())
        problems.extend(self._check_leaves())
        problems.extend(self._check_limits())
        problems.extend(self._check_pauses())
        problems.extend(self._check_logs())
        return problems

    def _check_response(self, record):
        runs = self._runs_by_request.get(record.request_id, [])
        if record.status == 200:
            request_id = record.request_id.encode()
            if record.body != make_echo(request_id, record.path, LONG_PREFIX):
                yield f"MIXED {record.request_id}: body is not its complete response"
            if not runs:
                yield f"MIXED {record.request_id}: has a response but never ran"
        if record.detail == "foreign":
            yield f"MIXED {record.request_id}: got the response of another request"
        if record.unsafe and record.status in NOT_RUN_STATUSES and runs:
            yield f"REFUSED {record.request_id}: {record.status}, but it has run"
        if record.status in (429, 503) and not record.retry_after:
            status = record.status
            yield f"REFUSED {record.request_id}: {status} without Retry-After"
        if record.status == 429 and record.workspace != LIMITED_WORKSPACE:
            yield (
                f"DENIED {record.request_id}: 429 for workspace "
                f"{record.workspace}, which has no limit"
            )
        if record.status in (400, 401, 404, 413):
            yield f"DENIED {record.request_id}: {record.status} for {record.path}"
        # An upload that stalls is not promised a response.
        if (
            record.detail == "silent"
            and not record.stalls
            and self._is_undisturbed(record.sent_at, record.ended_at)
        ):
            yield (
                f"HELD {record.request_id}: no response within the deadline "
                f"of {DEADLINE_S} s and the extra wait"
            )
        if record.detail in ("closed", "broken") and runs:
            if self._is_undisturbed(record.sent_at, record.ended_at, PLANNED_KINDS):
                yield (
                    f"LOST {record.request_id}: {record.detail} by {record.vm}, "
                    f"which had forwarded it"
                )

    def _check_runs(self):
        unsafe = {record.request_id for record in self._records if record.unsafe}
        path_by_request = {record.request_id: record.path for record in self._records}
        for request_id, runs in self._runs_by_request.items():
            if request_id in unsafe and len(runs) > 1:
                yield f"TWICE {request_id}: run {len(runs)} times"
            path = path_by_request.get(request_id)
            for worker, _ in runs:
                if path and worker.service != SERVICE_BY_ROUTE[path.split("/")[1]]:
                    yield f"ROUTE {request_id}: {path} run by {worker.service}"

    def _check_uploads(self):
        """Check that each upload that ran had its whole body."""
        for worker in self._workers:
            for request_id, body in worker.bodies.items():
                record = self._record_by_request.get(request_id)
                if record is None or not record.upload_bytes:
                    continue
                whole = make_upload(request_id, record.upload_bytes)
                if record.stalls or body != whole:
                    yield f"PARTIAL {request_id}: run with {len(body)} bytes"

    def _check_workspaces(self):
        """Check that VMs set the tenant header and forward no API key."""
        workspace_by_request = {t.request_id: t.workspace for t in self._records}
        for worker in self._workers:
            for request_id, headers in worker.headers_by_request.items():
                owner = workspace_by_request.get(request_id)
                tenant = headers.get(b"godwitlanding-tenant", b"").decode()
                if owner and tenant != owner:
                    yield f"UNASKED {request_id}: workspace {owner}, run for {tenant!r}"
                if b"authorization" in headers:
                    yield f"UNASKED {request_id}: its API key was forwarded"

    def _check_allotments(self):
        """Check that no window has more runs than the workspace's limit."""
        limited = {
            t.request_id for t in self._records if t.workspace == LIMITED_WORKSPACE
        }
        run_times = sorted(
            at
            for request_id, runs in self._runs_by_request.items()
            if request_id in limited
            for _, at in runs
        )
        window_s = TOLERANCE.window_s
        allowed = LIMIT_PER_S * window_s + LIMIT_BURST
        allowed += TOLERANCE.over_share * allowed + TOLERANCE.over_requests
        for index, at in enumerate(run_times):
            runs = sum(1 for other in run_times[index:] if other <= at + window_s)
            if runs > allowed:
                yield f"QUOTA {runs} runs in {window_s} s, {allowed:.0f} allowed"
                return

    def _check_drains(self):
        for worker in self._workers:
            drained_at = self._injector.drained_at_by_worker.get(worker.id)
            if drained_at is None:
                continue
            for request_id, at in zip(worker.ran, worker.ran_at):
                if at > drained_at + DRAIN_S + SLACK_S and self._is_undisturbed(
                    drained_at, at
                ):
                    late_s = at - drained_at
                    yield f"DRAIN {request_id}: {worker.id} after {late_s:.1f} s"

    def _check_leaves(self):
        """Check requests sent to an upstream that has reported that it leaves.

        A VM must stop sending within ``DRAIN_S`` after it has received a
        response that reports it.
        """
        for worker in self._workers:
            announced_at = self._injector.leave_announced_at_by_worker.get(worker.id)
            if announced_at is None:
                continue
            informed_at_by_vm = {}
            for request_id, at in worker.arrivals:
                record = self._record_by_request.get(request_id)
                if record is None or at < announced_at:
                    continue
                informed_at = informed_at_by_vm.get(record.vm, record.ended_at)
                if record.status == 200:
                    informed_at_by_vm[record.vm] = min(informed_at, record.ended_at)
                if at > informed_at + DRAIN_S and self._was_running(
                    record.vm, informed_at, at
                ):
                    yield (
                        f"DRAIN {request_id}: {worker.id} {at - informed_at:.1f} s "
                        f"after it had reported to {record.vm} that it leaves"
                    )

    def _check_limits(self):
        for worker, start, end in self._injector.limit_periods:
            first_window_at = start + RECOVERY_S
            run_times = [at for at in worker.arrived_at if first_window_at <= at < end]
            for at in run_times:
                window = [t for t in run_times if at <= t < at + LIMIT_WINDOW_S]
                if len(window) > MAX_REQUESTS_IN_LIMIT_WINDOW and self._is_undisturbed(
                    start, window[-1]
                ):
                    yield (
                        f"LIMIT {worker.id}: {len(window)} requests in "
                        f"{LIMIT_WINDOW_S} s, "
                        f"{MAX_REQUESTS_IN_LIMIT_WINDOW:.0f} allowed"
                    )
                    break

    def _check_pauses(self):
        for worker in self._workers:
            for request_id, paused_at in worker.paused:
                record = self._record_by_request.get(request_id)
                if record is None:
                    continue
                late = [
                    at
                    for other, at in worker.arrivals
                    if paused_at + PAUSE_DELAY_S < at < paused_at + PAUSE_S
                    and other in self._record_by_request
                    and self._record_by_request[other].vm == record.vm
                ]
                if len(late) > MAX_REQUESTS_IN_PAUSE and self._is_undisturbed(
                    paused_at, late[-1]
                ):
                    yield (
                        f"BUDGET {worker.id}: {len(late)} requests in a pause, "
                        f"by {record.vm}"
                    )

    def _was_running(self, address, start, end):
        """Tell whether no VM fault affected a VM between two times."""
        for fault, at, repaired in self._injector.log:
            if fault.family != "vm" or at > end or (repaired or end) < start:
                continue
            faulted_vm = self._vms[fault.target % len(self._vms)]
            if fault.kind == "herd" or faulted_vm.address == address:
                return False
        return True

    def _check_evacuations(self):
        for zone, start, end in self._injector.evacuations:
            for worker in self._workers:
                if worker.zone != zone:
                    continue
                for request_id, at in zip(worker.ran, worker.ran_at):
                    late = start + EVACUATE_S + SLACK_S < at < end
                    if late and self._is_undisturbed(start, at):
                        yield f"EVAC {request_id}: {zone} after {at - start:.1f} s"

    def _check_logs(self):
        for vm in self._vms:
            log = vm.read_log()
            if any(marker in log for marker in CRASH_MARKERS):
                yield f"CRASH {vm.name}: unexpected error in its log"

    def _is_undisturbed(self, start, end, allowed=HARMLESS_KINDS):
        """Tell whether there were only ``allowed`` faults between two times.

        A fault counts from ``SLACK_S`` before it begins until ``RECOVERY_S``
        after its repair.
        """
        for fault, at, repaired in self._injector.log:
            if fault.kind in allowed:
                continue
            until = (repaired if repaired is not None else end) + RECOVERY_S
            if at <= end + SLACK_S and until >= start:
                return False
        return True
