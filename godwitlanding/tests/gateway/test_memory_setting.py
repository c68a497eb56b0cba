"""Tests of the memory that the settings state, and of its changes."""

import math

import pytest

from godwitlanding.base.metrics import Counters
from godwitlanding.decisions.bytebudget import MIN_LIMIT_BYTES, get_limit_bytes
from godwitlanding.gateway.heldbytes import HeldBytes
from godwitlanding.platform.settings import read_settings
from godwitlanding.tests.gateway.world import Vm


@pytest.mark.parametrize(
    ("text", "memory_mb"),
    [
        pytest.param("", None, id="not stated"),
        pytest.param("memory_mb = 200", 200.0, id="whole number"),
        pytest.param('memory_mb = "552.5"', 552.5, id="text"),
    ],
)
def test_memory_is_optional(tmp_path, text, memory_mb):
    vm = Vm(1, "a1", "127.0.0.", tmp_path)
    vm.write_settings()
    vm.path.write_text(f"{vm.path.read_text()}\n[self.limits]\n{text}\n")
    assert read_settings(vm.path).unwrap().memory_mb == memory_mb


@pytest.mark.parametrize("value", ["0", "-1", "inf", "nan", '"much"', "[]"])
def test_memory_that_is_none_is_reported(tmp_path, value):
    # Guards against a budget that refuses everything or bounds nothing.
    vm = Vm(1, "a1", "127.0.0.", tmp_path)
    vm.write_settings()
    limits = f"\n[self.limits]\nmemory_mb = {value}\n"
    vm.path.write_text(vm.path.read_text() + limits)
    (problem,) = read_settings(vm.path).unwrap_err()
    assert problem.startswith("self.limits.memory_mb: ")


@pytest.mark.parametrize(
    ("memory_mb", "limit_bytes"),
    [(100, MIN_LIMIT_BYTES), (200, 36_666_666), (552, 177_466_666)],
)
def test_limit_follows_the_memory(memory_mb, limit_bytes):
    assert get_limit_bytes(memory_mb) == limit_bytes


def test_limit_changes_with_the_settings():
    # Guards against connections that go on counting into a former budget.
    held = HeldBytes(Counters(), 200)
    budget = held.budget
    budget.add(1000)
    held.set_memory(None)
    assert held.budget is None
    assert budget.limit_bytes == math.inf
    held.set_memory(552)
    assert held.budget is budget
    assert (budget.held_bytes, budget.limit_bytes) == (1000, 177_466_666)
