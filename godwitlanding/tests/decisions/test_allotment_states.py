"""Explores every order of messages between VMs that share a small bucket."""

import copy

import pytest

from godwitlanding.decisions.allotment import Allotments, Tolerance
from godwitlanding.decisions.routes import Workspace

NOW = 100.0
NAMES = ("x", "y", "z")


class State:
    """The VMs, what each has granted, and which counts each has received."""

    def __init__(self, vms, burst, crashes):
        self.numbers = range(vms)
        # The refill rate is close to zero, so that only the order of events
        # matters.
        self.workspace = Workspace("small", rate_per_s=1e-9, burst=burst)
        self.vms = [self._make(started_at=-1e12) for _ in self.numbers]
        self.incarnations = [1] * vms
        self.granted = [0] * vms
        self.crashes_left = crashes
        self.exchange_all_counts()

    def exchange_all_counts(self):
        for sender in self.numbers:
            for receiver in self.numbers:
                if sender != receiver:
                    self.send_counts(sender, receiver)

    def _make(self, started_at):
        no_tolerance = Tolerance(over_share=0.0, over_requests=0.0)
        vm = Allotments("a", ("a",), no_tolerance, started_at)
        vm.set_workspaces([self.workspace], started_at)
        return vm

    def request(self, vm):
        if self.vms[vm].take(self.workspace, NOW) == 0.0:
            self.granted[vm] += 1

    def send_counts(self, sender, receiver):
        tallies = self.vms[sender].get_tallies()
        incarnation = self.incarnations[sender]
        self.vms[receiver].receive(
            NAMES[sender], incarnation, tallies, NOW, tells_all=True
        )

    def crash(self, vm):
        self.crashes_left -= 1
        self.incarnations[vm] += 1
        # The VM starts now, so the saved tokens count as used.
        self.vms[vm] = self._make(started_at=NOW)

    def get_level(self, vm):
        return round(self.vms[vm].get_state(self.workspace)[0], 3)

    def get_key(self):
        """Return everything that determines which states may follow."""
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


def find_actions(state):
    for vm in state.numbers:
        # A refusal changes nothing that matters here.
        if state.get_level(vm) >= 1.0 or not state.vms[vm].get_tallies():
            yield "request", (vm,)
        if state.crashes_left:
            yield "crash", (vm,)
        for other in state.numbers:
            if other != vm:
                yield "send_counts", (vm, other)


@pytest.mark.parametrize(
    ("vms", "burst", "crashes", "states"),
    [
        pytest.param(2, 2, 1, 679, id="two VMs, one crash"),
        pytest.param(3, 1, 0, 365, id="three VMs"),
    ],
)
def test_every_message_order_grants_at_most_the_burst_per_vm(
    vms, burst, crashes, states
):
    # Messages between VMs arrive in any order or not at all, and one VM
    # restarts. Each VM grants at most the burst that its own bucket holds;
    # once all have exchanged their counts, no VM grants more than what is
    # left.
    seen = set()
    pending = [State(vms, burst, crashes)]
    max_granted = 0
    while pending:
        state = pending.pop()
        for action, arguments in find_actions(state):
            after = copy.deepcopy(state)
            getattr(after, action)(*arguments)
            key = after.get_key()
            if key in seen:
                continue
            seen.add(key)
            pending.append(after)
            max_granted = max(max_granted, sum(after.granted))
            assert all(granted <= burst for granted in after.granted)
            if sum(after.granted) >= burst and after.crashes_left == crashes:
                informed = copy.deepcopy(after)
                informed.exchange_all_counts()
                assert all(informed.get_level(vm) < 1.0 for vm in informed.numbers)
    assert max_granted == burst * vms
    assert len(seen) == states
