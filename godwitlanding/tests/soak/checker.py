"""What must hold of every run, from what callers and upstreams saw."""

from godwitlanding.decisions.allotment import Tolerance
from godwitlanding.tests.soak.caller import DEADLINE_S
from godwitlanding.tests.soak.faultinjector import PAUSE_S, UPSTREAM_LIMIT_PER_S
from godwitlanding.tests.soak.schedule import PLANNED_KINDS
from godwitlanding.tests.soak.world import LIMIT_BURST, LIMIT_PER_S
from godwitlanding.tests.standins.standin_worker import make_echo

# The bounds of the users' rules, and what a busy machine adds.
DRAIN_S = 2.5
EVACUATE_S = 5.0
STABLE_S = 4.0
SLACK_S = 0.7
# Of upstreams that name a limit: from the first time on, in any window.
LIMIT_WINDOW_S = 4.0
LIMIT_ALLOWED = 1.5 * UPSTREAM_LIMIT_PER_S * LIMIT_WINDOW_S + 5
# Of those that turn a request away with a pause.
PAUSE_BEGINS_S = 0.5
MOST_IN_PAUSE = 2
SIGNS_OF_A_CRASH = ("Traceback", '"carrier:failed"', '"task:failed"')
PROMISES_NOT_RUN = frozenset((408, 421, 429, 503))
# The one workspace that has a limit.
LIMITED = "small"
TOLERANCE = Tolerance()
SERVICE_BY_ROUTE = {"look": "looks", "pay": "pays"}
# Faults that leave a VM's own duties as they are.
HARMLESS = frozenset((*PLANNED_KINDS, "shed", "fail", "slow", "limit", "pause_asked"))


class Judge:
    """Joins callers' records with the upstreams' runs of one world."""

    def __init__(self, tried, world, striker):
        self._tried = tried
        self._striker = striker
        self._vms = world.vms
        self._workers = world.get_all_workers()
        self._tried_by_request = {row.request_id: row for row in tried}
        self._runs_by_request = {}
        for worker in self._workers:
            for request_id, at in zip(worker.ran, worker.ran_at):
                row = self._runs_by_request.setdefault(request_id, [])
                row.append((worker, at))

    def find_problems(self):
        """Return a line for each promise that was not kept."""
        problems = list(self._striker.problems)
        for tried in self._tried:
            problems.extend(self._judge_answer(tried))
        problems.extend(self._judge_runs())
        problems.extend(self._judge_workspaces())
        problems.extend(self._judge_allotments())
        problems.extend(self._judge_drains())
        problems.extend(self._judge_evacuations())
        problems.extend(self._judge_leaves())
        problems.extend(self._judge_limits())
        problems.extend(self._judge_pauses())
        problems.extend(self._judge_logs())
        return problems

    def _judge_answer(self, tried):
        runs = self._runs_by_request.get(tried.request_id, [])
        if tried.status == 200:
            if tried.body != make_echo(tried.request_id.encode()):
                yield f"MIXED {tried.request_id}: not its own whole answer"
            if not runs:
                yield f"MIXED {tried.request_id}: answered and never run"
        if tried.detail == "foreign":
            yield f"MIXED {tried.request_id}: another request's answer"
        if tried.unsafe and tried.status in PROMISES_NOT_RUN and runs:
            yield f"REFUSED {tried.request_id}: {tried.status} and has run"
        if tried.status in (429, 503) and not tried.retry_after:
            status = tried.status
            yield f"REFUSED {tried.request_id}: {status} without when to come back"
        if tried.status == 429 and tried.workspace != LIMITED:
            yield f"DENIED {tried.request_id}: 429 without a limit"
        if tried.status in (400, 401, 404):
            yield f"DENIED {tried.request_id}: {tried.status} for {tried.path}"
        if tried.detail == "silent" and self._is_calm(tried.sent_at, tried.ended_at):
            yield f"HELD {tried.request_id}: no answer {DEADLINE_S} s and more"
        if tried.detail in ("closed", "broken") and runs:
            if self._is_calm(tried.sent_at, tried.ended_at, PLANNED_KINDS):
                yield (
                    f"LOST {tried.request_id}: {tried.detail} by {tried.vm}, "
                    f"which had passed it on"
                )

    def _judge_runs(self):
        unsafe = {tried.request_id for tried in self._tried if tried.unsafe}
        path_by_request = {tried.request_id: tried.path for tried in self._tried}
        for request_id, runs in self._runs_by_request.items():
            if request_id in unsafe and len(runs) > 1:
                yield f"TWICE {request_id}: run {len(runs)} times"
            path = path_by_request.get(request_id)
            for worker, _ in runs:
                if path and worker.service != SERVICE_BY_ROUTE[path.split("/")[1]]:
                    yield f"ROUTE {request_id}: {path} run by {worker.service}"

    def _judge_workspaces(self):
        """An upstream hears whose request it is from nobody but a VM."""
        workspace_by_request = {t.request_id: t.workspace for t in self._tried}
        for worker in self._workers:
            for request_id, headers in worker.headers_by_request.items():
                owner = workspace_by_request.get(request_id)
                named = headers.get(b"godwitlanding-tenant", b"").decode()
                if owner and named != owner:
                    yield f"UNASKED {request_id}: of {owner}, run for {named!r}"
                if b"authorization" in headers:
                    yield f"UNASKED {request_id}: its key was passed on"

    def _judge_allotments(self):
        """No window has more runs of a workspace than it may have."""
        limited = {t.request_id for t in self._tried if t.workspace == LIMITED}
        times = sorted(
            at
            for request_id, runs in self._runs_by_request.items()
            if request_id in limited
            for _, at in runs
        )
        window_s = TOLERANCE.window_s
        allowed = LIMIT_PER_S * window_s + LIMIT_BURST
        allowed += TOLERANCE.over_share * allowed + TOLERANCE.over_requests
        for index, at in enumerate(times):
            runs = sum(1 for other in times[index:] if other <= at + window_s)
            if runs > allowed:
                yield f"QUOTA {runs} runs in {window_s} s, {allowed:.0f} allowed"
                return

    def _judge_drains(self):
        for worker in self._workers:
            drained_at = self._striker.drained_at_by_worker.get(worker.id)
            if drained_at is None:
                continue
            for request_id, at in zip(worker.ran, worker.ran_at):
                if at > drained_at + DRAIN_S + SLACK_S and self._is_calm(
                    drained_at, at
                ):
                    late_s = at - drained_at
                    yield f"DRAIN {request_id}: {worker.id} after {late_s:.1f} s"

    def _judge_leaves(self):
        """What an upstream answered binds the VM that passed it on."""
        for worker in self._workers:
            left_at = self._striker.left_at_by_worker.get(worker.id)
            if left_at is None:
                continue
            told_at_by_vm = {}
            for request_id, at in worker.arrivals:
                tried = self._tried_by_request.get(request_id)
                if tried is None or at < left_at:
                    continue
                told_at = told_at_by_vm.get(tried.vm, tried.ended_at)
                if tried.status == 200:
                    told_at_by_vm[tried.vm] = min(told_at, tried.ended_at)
                if at > told_at + DRAIN_S and self._runs_on(tried.vm, told_at, at):
                    yield (
                        f"DRAIN {request_id}: {worker.id} {at - told_at:.1f} s "
                        f"after it had told {tried.vm}"
                    )

    def _judge_limits(self):
        for worker, begun, ended in self._striker.limited:
            first = begun + STABLE_S
            times = [at for at in worker.arrived_at if first <= at < ended]
            for at in times:
                window = [t for t in times if at <= t < at + LIMIT_WINDOW_S]
                if len(window) > LIMIT_ALLOWED and self._is_calm(begun, window[-1]):
                    yield (
                        f"LIMIT {worker.id}: {len(window)} requests in "
                        f"{LIMIT_WINDOW_S} s, {LIMIT_ALLOWED:.0f} allowed"
                    )
                    break

    def _judge_pauses(self):
        for worker in self._workers:
            for request_id, asked_at in worker.paused:
                tried = self._tried_by_request.get(request_id)
                if tried is None:
                    continue
                late = [
                    at
                    for other, at in worker.arrivals
                    if asked_at + PAUSE_BEGINS_S < at < asked_at + PAUSE_S
                    and other in self._tried_by_request
                    and self._tried_by_request[other].vm == tried.vm
                ]
                if len(late) > MOST_IN_PAUSE and self._is_calm(asked_at, late[-1]):
                    yield f"BUDGET {worker.id}: {len(late)} in a pause, by {tried.vm}"

    def _runs_on(self, address, begun, ended):
        """Tell whether a VM was not stopped, killed or paused meanwhile."""
        for fault, at, mended in self._striker.log:
            if fault.family != "vm" or at > ended or (mended or ended) < begun:
                continue
            struck = self._vms[fault.target % len(self._vms)]
            if fault.kind == "herd" or struck.address == address:
                return False
        return True

    def _judge_evacuations(self):
        for zone, begun, ended in self._striker.evacuations:
            for worker in self._workers:
                if worker.zone != zone:
                    continue
                for request_id, at in zip(worker.ran, worker.ran_at):
                    late = begun + EVACUATE_S + SLACK_S < at < ended
                    if late and self._is_calm(begun, at):
                        yield f"EVAC {request_id}: {zone} after {at - begun:.1f} s"

    def _judge_logs(self):
        for vm in self._vms:
            log = vm.read_log()
            if any(sign in log for sign in SIGNS_OF_A_CRASH):
                yield f"CRASH {vm.name}: an error that nobody expected"

    def _is_calm(self, begun, ended, allowed=HARMLESS):
        """Tell whether only allowed faults were near a time."""
        for fault, at, mended in self._striker.log:
            if fault.kind in allowed:
                continue
            until = (mended if mended is not None else ended) + STABLE_S
            if at <= ended + SLACK_S and until >= begun:
                return False
        return True
