"""Every order of messages between a few VMs that share a small bucket."""

import copy

import pytest

from godwitlanding.decisions.allotment import Allotments, Tolerance
from godwitlanding.decisions.routes import Workspace

NOW = 100.0
NAMES = ("x", "y", "z")


class State:
    """Some VMs, what each has granted, and who was told what."""

    def __init__(self, vms, burst, crashes):
        self.numbers = range(vms)
        # It accrues next to nothing, so that only the order of things matters.
        self.workspace = Workspace("small", rate_per_s=1e-9, burst=burst)
        self.vms = [self._make(started_at=-1e12) for _ in self.numbers]
        self.incarnations = [1] * vms
        self.granted = [0] * vms
        self.crashes_left = crashes
        self.tell_everybody()

    def tell_everybody(self):
        for sender in self.numbers:
            for hearer in self.numbers:
                if sender != hearer:
                    self.tell(sender, hearer)

    def _make(self, started_at):
        nothing = Tolerance(over_share=0.0, over_requests=0.0)
        vm = Allotments("a", ("a",), nothing, started_at)
        vm.set_workspaces([self.workspace], started_at)
        return vm

    def ask(self, vm):
        if self.vms[vm].take(self.workspace, NOW) == 0.0:
            self.granted[vm] += 1

    def tell(self, sender, hearer):
        word = self.vms[sender].get_tallies()
        incarnation = self.incarnations[sender]
        self.vms[hearer].hear(NAMES[sender], incarnation, word, NOW, tells_all=True)

    def crash(self, vm):
        self.crashes_left -= 1
        self.incarnations[vm] += 1
        # It starts now, so what had been saved up counts as spent.
        self.vms[vm] = self._make(started_at=NOW)

    def get_level(self, vm):
        return round(self.vms[vm].get_state(self.workspace)[0], 3)

    def get_key(self):
        """Return all that decides what may happen next."""
        return (
            tuple(self.get_level(vm) for vm in self.numbers),
            tuple(row.get_tallies() for row in self.vms),
            tuple(
                tuple(
                    sorted(
                        (n, p.incarnation, *p.tally_by_number.values())
                        for n, p in row._peer_by_vm.items()
                    )
                )
                for row in self.vms
            ),
            tuple(self.incarnations),
            tuple(self.granted),
            self.crashes_left,
        )


def find_moves(state):
    for vm in state.numbers:
        # A refusal changes nothing that matters here.
        if state.get_level(vm) >= 1.0 or not state.vms[vm].get_tallies():
            yield "ask", (vm,)
        if state.crashes_left:
            yield "crash", (vm,)
        for other in state.numbers:
            if other != vm:
                yield "tell", (vm, other)


@pytest.mark.parametrize(
    ("vms", "burst", "crashes", "states"),
    [
        pytest.param(2, 2, 1, 679, id="two VMs, one crash"),
        pytest.param(3, 1, 0, 365, id="three VMs"),
    ],
)
def test_every_order_grants_what_nobody_knew_of_at_the_most(
    vms, burst, crashes, states
):
    # Words between VMs come in any order or not at all, and one VM starts
    # anew. Each grants what it must believe to be there; once all have told
    # each other, nobody grants more than what is left.
    seen = set()
    waiting = [State(vms, burst, crashes)]
    most = 0
    while waiting:
        state = waiting.pop()
        for act, arguments in find_moves(state):
            after = copy.deepcopy(state)
            getattr(after, act)(*arguments)
            key = after.get_key()
            if key in seen:
                continue
            seen.add(key)
            waiting.append(after)
            most = max(most, sum(after.granted))
            assert all(granted <= burst for granted in after.granted)
            if sum(after.granted) >= burst and after.crashes_left == crashes:
                told = copy.deepcopy(after)
                told.tell_everybody()
                assert all(told.get_level(vm) < 1.0 for vm in told.numbers)
    assert most == burst * vms
    assert len(seen) == states
