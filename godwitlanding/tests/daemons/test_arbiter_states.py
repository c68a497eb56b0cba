"""Tests the arbiter with random schedules of events.

For a longer run: ``GODWIT_SCHEDULES=2000 pytest .../test_arbiter_states.py``
"""

import os

from hypothesis import HealthCheck, settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from godwitlanding.base.messages import OUTCOME_CRASHED, OUTCOME_OK, OUTCOMES
from godwitlanding.daemons.arbiter import Arbiter, Ask, Grant, Spill

SCHEDULES = int(os.environ.get("GODWIT_SCHEDULES", "30"))
UPSTREAMS = ("s1", "s2", "s3")
SLOTS = 3
ROUNDING_S = 1e-5

upstreams = st.sampled_from(UPSTREAMS)


class ArbiterMachine(RuleBasedStateMachine):
    """Models the arbiter's state and checks each decision against it."""

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.arbiter = Arbiter("status", work_s=0.05, slow_start_s=1.0)
        self.loan_end = dict.fromkeys(UPSTREAMS, 0.0)
        self.blocked_until = dict.fromkeys(UPSTREAMS, 0.0)
        self.usable = dict.fromkeys(UPSTREAMS, True)
        self.permit_by_id = {}
        self.waiting_by_id = {}
        self.crashed = {}
        self.spilled = {}
        self.allowance = 0
        self.asked = 0

    @rule(upstream=upstreams, lasts_s=st.floats(0.1, 3.0))
    def lend(self, upstream, lasts_s):
        self.loan_end[upstream] = self.now + lasts_s
        self.check(self.arbiter.set_loan(upstream, SLOTS, self.now + lasts_s, self.now))

    @rule(upstream=upstreams)
    def end_loan(self, upstream):
        self.loan_end[upstream] = 0.0
        self.arbiter.end_loan(upstream)

    @rule(upstream=upstreams, lasts_s=st.floats(0.05, 2.0))
    def block(self, upstream, lasts_s):
        self.blocked_until[upstream] = self.now + lasts_s
        self.arbiter.block(upstream, self.now + lasts_s)

    @rule(upstream=upstreams)
    def unblock(self, upstream):
        self.blocked_until[upstream] = 0.0
        self.check(self.arbiter.unblock(upstream, self.now))

    @rule(upstream=upstreams, usable=st.booleans())
    def set_usable(self, upstream, usable):
        self.usable[upstream] = usable
        self.check(self.arbiter.set_usable(upstream, usable, self.now))

    @rule(upstream=upstreams)
    def note_cold(self, upstream):
        self.check(self.arbiter.note_cold(upstream, self.now))

    @rule(upstream=upstreams, lasts_s=st.floats(0.1, 3.0))
    def recover_permit(self, upstream, lasts_s):
        permit_id = 1_000_000 + self.asked
        self.asked += 1
        self.permit_by_id[permit_id] = (upstream, self.now + lasts_s, 0)
        self.arbiter.add_open_permit(permit_id, upstream, self.now + lasts_s)

    @rule(allowance=st.integers(0, 2))
    def set_allowances(self, allowance):
        self.allowance = allowance
        self.check(self.arbiter.set_allowances({"maz-b": allowance}, self.now))

    @rule(
        caller=st.sampled_from(["hot", "hot", "a", "b"]),
        priority=st.integers(0, 2),
        lasts_s=st.floats(0.0, 4.0),
        fingerprint=st.integers(0, 3),
        excluded=st.frozensets(upstreams, max_size=2),
        may_pass_on=st.booleans(),
        expected_s=st.sampled_from([0.0, 0.01, 5.0]),
        count=st.integers(1, 15),
    )
    def ask(self, lasts_s, count, excluded, **fields):
        for _ in range(count):
            self.asked += 1
            ask = Ask(
                request_id=f"r{self.asked}",
                deadline=self.now + lasts_s,
                excluded_upstreams=excluded,
                **fields,
            )
            self.waiting_by_id[ask.request_id] = ask
            self.check(self.arbiter.acquire(ask, self.now))

    @precondition(lambda self: self.waiting_by_id)
    @rule(data=st.data())
    def withdraw(self, data):
        request_id = data.draw(st.sampled_from(sorted(self.waiting_by_id)))
        del self.waiting_by_id[request_id]
        self.check(self.arbiter.withdraw(request_id, self.now))

    @precondition(lambda self: self.permit_by_id)
    @rule(data=st.data(), outcome=st.sampled_from(OUTCOMES))
    def release(self, data, outcome):
        permit_id = data.draw(st.sampled_from(sorted(self.permit_by_id)))
        upstream, _, fingerprint = self.permit_by_id.pop(permit_id)
        if fingerprint and outcome == OUTCOME_CRASHED:
            self.crashed.setdefault(fingerprint, set()).add(upstream)
        if outcome == OUTCOME_OK and len(self.crashed.get(fingerprint, ())) < 2:
            self.crashed.pop(fingerprint, None)
        self.check(self.arbiter.release(permit_id, outcome, 0.05, self.now))

    @precondition(lambda self: self.spilled)
    @rule(data=st.data())
    def end_spill(self, data):
        request_id = data.draw(st.sampled_from(sorted(self.spilled)))
        del self.spilled[request_id]
        self.check(self.arbiter.end_spill(request_id, self.now))

    @rule(elapsed_s=st.floats(0.001, 3.0))
    def advance(self, elapsed_s):
        end = self.now + elapsed_s
        while (due := self.arbiter.get_next_time()) is not None and due <= end:
            assert due > self.now - ROUNDING_S
            self.now = max(self.now, due)
            self.forget_ended()
            self.check(self.arbiter.tick(self.now))
            after = self.arbiter.get_next_time()
            assert after is None or after > self.now, "a due time did not advance"
        self.now = end
        self.forget_ended()
        self.check(self.arbiter.tick(self.now))

    @invariant()
    def no_request_waits_past_its_deadline(self):
        late = [a for a in self.waiting_by_id.values() if a.deadline < self.now]
        assert not late

    @invariant()
    def status_matches_the_model(self):
        status = self.arbiter.get_status(self.now)
        assert status["queued"] == len(self.waiting_by_id)
        assert status["usable_slots"] <= SLOTS * len(UPSTREAMS)

    def teardown(self):
        self.advance(10.0)
        assert not self.waiting_by_id
        assert self.arbiter.get_status(self.now)["queued"] == 0

    def forget_ended(self):
        self.permit_by_id = {
            permit_id: permit
            for permit_id, permit in self.permit_by_id.items()
            if permit[1] > self.now
        }
        self.spilled = {k: end for k, end in self.spilled.items() if end > self.now}

    def check(self, decisions):
        for request_id, outcome in decisions:
            ask = self.waiting_by_id.pop(request_id)
            if isinstance(outcome, Grant):
                self.check_grant(ask, outcome)
            elif isinstance(outcome, Spill):
                assert ask.may_pass_on and ask.deadline > self.now
                self.spilled[request_id] = ask.deadline
                assert len(self.spilled) <= self.allowance

    def check_grant(self, ask, grant):
        upstream = grant.upstream
        assert self.loan_end[upstream] > self.now
        assert self.blocked_until[upstream] <= self.now
        assert self.usable[upstream]
        assert upstream not in ask.excluded_upstreams
        assert self.now < grant.until <= ask.deadline
        assert grant.permit_id not in self.permit_by_id
        assert len(self.crashed.get(ask.fingerprint, ())) < 2
        open_there = [p for p in self.permit_by_id.values() if p[0] == upstream]
        assert len(open_there) < SLOTS
        self.permit_by_id[grant.permit_id] = (upstream, grant.until, ask.fingerprint)


TestArbiter = ArbiterMachine.TestCase
TestArbiter.settings = settings(
    max_examples=SCHEDULES,
    stateful_step_count=50,
    deadline=None,
    derandomize=SCHEDULES == 30,
    database=None,
    suppress_health_check=list(HealthCheck),
)
