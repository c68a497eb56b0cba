"""Tests that loans and roster give an upstream one user at a time."""

import pytest

from godwitlanding.base.messages import FORMER_NONE, GiveBack, Holder, Loan
from godwitlanding.daemons.borrower import Borrower
from godwitlanding.daemons.loan import Handover, Lender
from godwitlanding.daemons.roster import EMPTY_ROSTER, Candidate, Roster
from godwitlanding.daemons.upstreamowner import RosterInputs, UpstreamOwner

LOAN_S = 1.5
PERMIT_S = 2.0
HOLDER = Holder("vm1", "vm1-entry-1")
CLEAN = Handover("me", FORMER_NONE)


def make_lender(handover=CLEAN, started_at=0.0):
    lender = Lender("me", LOAN_S, started_at)
    lender.set_owned({"u1": handover}, started_at)
    return lender


def request_loan(lender, arbiter, now, number=1, holding=(), holders=()):
    loan = Loan(arbiter, "status", holders, holding, number)
    return lender.lend(loan, ["u1"], PERMIT_S, now)


@pytest.mark.parametrize(
    ("now", "lent"), [(0.1, ()), (1.4, ()), (1.51, ()), (1.6, ("u1",))]
)
def test_second_arbiter_gets_nothing_before_the_loan_has_ended(now, lent):
    """Two members act as the arbiter while the zone is partitioned.

    An upstream lent to both would run twice as many requests as slots.
    """
    lender = make_lender()
    assert request_loan(lender, "a", 0.0).upstreams == ("u1",)
    assert request_loan(lender, "b", now).upstreams == lent


def test_arbiter_stops_before_the_owner_lends_again():
    """The owner's response is slow, and both count from different times.

    If the arbiter counted the loan from the response, it would grant after
    the loan has ended at the owner.
    """
    lender = make_lender()
    borrower = Borrower("a", "status")
    loan = borrower.make_loan("me", 10.0)
    lent = lender.lend(loan, ["u1"], PERMIT_S, 10.4)
    gained, _ = borrower.accept_lent("me", loan, lent, 10.0, PERMIT_S, 10.9)
    assert gained[0].until == pytest.approx(11.5)
    assert not lender.is_free("u1", 11.9)


@pytest.mark.parametrize(
    ("handover", "now", "lent", "former"),
    [
        (None, 1.4, (), ()),
        (Handover("former", "a"), 1.4, (), ()),
        (Handover("former", "a"), 1.6, ("u1",), ("",)),
        (None, 4.0, ("u1",), (FORMER_NONE,)),
        (CLEAN, 0.0, ("u1",), (FORMER_NONE,)),
        (Handover("me", "a"), 0.0, ("u1",), ("a",)),
    ],
)
def test_new_incarnation_waits_for_what_the_former_one_lent(
    handover, now, lent, former
):
    """A zone daemon is killed and restarts before its loans have ended.

    It does not know these loans. If it lent at once, a second arbiter would
    get the slots while the first still grants them.
    """
    answer = request_loan(make_lender(handover), "b", now)
    assert (answer.upstreams, answer.former_arbiters) == (lent, former)


def test_borrower_whose_loan_was_lost_still_has_to_ask_holders():
    """An owner's response to a new arbiter is lost and it asks again.

    If the owner named the new arbiter as the former one, it would not
    collect the former one's open permits and grant their slots again.
    """
    lender = make_lender(Handover("me", "a", (HOLDER,)))
    assert request_loan(lender, "b", 1.0, number=1).former_arbiters == ("a",)
    assert request_loan(lender, "b", 1.3, number=2).former_arbiters == ("a",)
    confirmed = request_loan(lender, "b", 1.6, number=3, holding=("u1",))
    assert confirmed.former_arbiters == ("b",)
    assert HOLDER in confirmed.holders


@pytest.mark.parametrize(
    "late",
    [Loan("a", "status", (), (), 1), GiveBack("a", "status", 1)],
    ids=["question", "give-back"],
)
def test_late_message_does_not_end_a_loan(late):
    """Messages of a broken connection are read after those of the next one.

    The late message lists no upstream as in use. If it were applied, the
    loan would end and the upstream would be lent to another arbiter.
    """
    lender = make_lender()
    assert request_loan(lender, "a", 0.0, number=2).upstreams
    assert request_loan(lender, "a", 0.3, number=3, holding=("u1",)).upstreams
    if isinstance(late, Loan):
        lender.lend(late, ["u1"], PERMIT_S, 0.4)
    else:
        lender.give_back(late, ["u1"])
    assert request_loan(lender, "b", 0.5).upstreams == ()


def test_late_loan_answer_is_ignored():
    """A loan response arrives after its request was abandoned and repeated.

    The second request told the owner that nothing is in use, so it may
    have lent the upstream to another arbiter.
    """
    borrower = Borrower("a", "status")
    lender = make_lender()
    first = borrower.make_loan("me", 0.0)
    lent = lender.lend(first, ["u1"], PERMIT_S, 0.1)
    borrower.make_loan("me", 0.5)
    assert borrower.accept_lent("me", first, lent, 0.0, PERMIT_S, 0.6) == ([], [])


def test_regained_upstream_is_treated_as_new():
    """A member releases an upstream and misses a change before regaining it.

    Its record of the borrower is stale, as another arbiter has had the
    upstream since.
    """
    lender = make_lender(CLEAN._replace(turn=1))
    request_loan(lender, "a", 0.0, 1)
    request_loan(lender, "a", 0.3, 2, holding=("u1",))
    lender.set_owned({"u1": Handover("me", "b", (HOLDER,), turn=3)}, 3.0)
    assert request_loan(lender, "a", 3.1, 3).former_arbiters == ("b",)


def test_holder_unknown_to_a_lender_gets_no_grant():
    """An entry process requests its first permit just before a take-over.

    The next arbiter collects the permits of the holders that lenders name.
    The slot of a permit whose holder is unknown would be granted twice.
    """
    borrower = Borrower("a", "status")
    lender = make_lender()
    loan = borrower.make_loan("me", 0.0)
    lent = lender.lend(loan, ["u1"], PERMIT_S, 0.0)
    borrower.accept_lent("me", loan, lent, 0.0, PERMIT_S, 0.1)
    borrower.add_holder(HOLDER)
    assert not borrower.may_grant_to(HOLDER, 0.2)
    loan = borrower.make_loan("me", 0.3)
    lent = lender.lend(loan, ["u1"], PERMIT_S, 0.3)
    borrower.accept_lent("me", loan, lent, 0.3, PERMIT_S, 0.4)
    assert borrower.may_grant_to(HOLDER, 0.5)
    assert HOLDER in request_loan(lender, "b", 2.0).holders


def make_upstream_owner():
    upstream_owner = UpstreamOwner("vm1", "me", LOAN_S, 0.0)
    upstream_owner.update_roster(Roster({"u1": "vm1"}, {"u1": CLEAN}), 5, 0.0)
    return upstream_owner


def make_inputs(vms, gone=(), leaving=False, is_writer=False):
    candidates = tuple(Candidate(vm, f"{vm}-zone", 0.0) for vm in vms)
    return RosterInputs(candidates, gone, is_writer, True, leaving)


def test_upstream_given_up_by_a_lost_write_is_not_lent():
    """A write that releases an upstream takes effect without a response.

    If the member kept lending because the write seemed to fail, the
    upstream would have two owners.
    """
    upstream_owner = make_upstream_owner()
    permits = {"u1": PERMIT_S}
    assert upstream_owner.plan_change(make_inputs(["vm2"], leaving=True), permits, 5.0)
    upstream_owner.plan_change(make_inputs(["vm1"]), permits, 6.0)
    assert request_loan(upstream_owner.lender, "a", 6.1).upstreams == ()
    upstream_owner.update_roster(Roster({"u1": "vm2"}, {}), 6, 7.0)
    assert request_loan(upstream_owner.lender, "a", 7.1, 2).upstreams == ()


def test_upstream_is_given_up_only_when_its_loan_has_ended():
    """A VM is stopped while the arbiter still grants on its upstreams."""
    upstream_owner = make_upstream_owner()
    request_loan(upstream_owner.lender, "a", 5.0)
    inputs = make_inputs(["vm2"], leaving=True)
    assert upstream_owner.plan_change(inputs, {"u1": PERMIT_S}, 5.5) is None
    assert (
        request_loan(upstream_owner.lender, "a", 5.6, 2, holding=("u1",)).upstreams
        == ()
    )
    given = upstream_owner.plan_change(inputs, {"u1": PERMIT_S}, 7.2)
    assert given.owner_by_upstream == {"u1": "vm2"}
    assert given.handover_by_upstream["u1"].former_arbiter == "a"


@pytest.mark.parametrize(
    ("gone", "after_s", "owner"),
    [
        (("vm2",), 3.4, "vm2"),
        (("vm2",), 3.6, "vm1"),
        ((), 60.0, "vm2"),
    ],
)
def test_upstreams_of_a_lost_vm_wait_for_loan_and_permit(gone, after_s, owner):
    """A VM is removed while its last loan and the last permit are valid.

    If its upstreams were reassigned at once, they would have two users. A
    VM that is silent but listed keeps its upstreams.
    """
    upstream_owner = UpstreamOwner("vm1", "me", LOAN_S, 0.0)
    upstream_owner.update_roster(Roster({"u1": "vm2"}, {}), 5, 0.0)
    inputs = make_inputs(["vm1"], gone, is_writer=True)
    upstream_owner.plan_change(inputs, {"u1": PERMIT_S}, 10.0)
    changed = upstream_owner.plan_change(inputs, {"u1": PERMIT_S}, 10.0 + after_s)
    owners = (changed or upstream_owner.roster).owner_by_upstream
    assert owners == {"u1": owner}


def test_new_upstreams_are_distributed_by_one_write():
    upstream_owner = UpstreamOwner("vm1", "me", LOAN_S, 0.0)
    permits = {f"u{i}": PERMIT_S for i in range(40)}
    inputs = make_inputs(["vm1", "vm2", "vm3", "vm4"], is_writer=True)
    roster = upstream_owner.plan_change(inputs, permits, 1.0)
    owners = list(roster.owner_by_upstream.values())
    assert len(owners) == 40
    assert min(owners.count(vm) for vm in set(owners)) >= 4
    assert upstream_owner.roster == EMPTY_ROSTER
