"""Tests the choice of arbiters and of members that watch the platform."""

import pytest

from godwitlanding.daemons.membership import Member, choose_arbiters, choose_reachable


def make_member(vm, alive=True, leaving=False, reachable=True):
    return Member(vm, "127.0.0.1", f"i-{vm}", "e", alive, leaving, reachable, True)


@pytest.mark.parametrize(
    ("members", "serving"),
    [
        ([make_member("a"), make_member("b")], {"a", "b"}),
        ([make_member("a"), make_member("b", leaving=True)], {"a"}),
        ([make_member("a"), make_member("b", alive=False)], {"a"}),
        ([make_member("a", leaving=True), make_member("b", leaving=True)], {"a", "b"}),
        ([make_member("a", leaving=True), make_member("b", alive=False)], {"a"}),
    ],
)
def test_zone_always_has_serving_members(members, serving):
    """Operators drain every VM of a zone, or its only one.

    Without a member that watches the platform, the zone would not receive
    the end of the drain. Without an arbiter, callers that still arrive
    would be refused.
    """
    member_by_vm = {member.vm: member for member in members}
    assert set(choose_arbiters(["status"], member_by_vm)["status"]) == serving
    assert set(choose_reachable("watch/n-a", member_by_vm, 2)) == serving


def test_member_that_reaches_the_platform_is_chosen_first():
    members = [make_member("a", reachable=False), make_member("b")]
    member_by_vm = {member.vm: member for member in members}
    assert choose_reachable("watch/n-a", member_by_vm, 1) == ["b"]
