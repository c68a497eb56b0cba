"""Tests of the result codes, the kernel, the messages and the replica."""

import pytest

from godwitlanding.base.codes import ROW_BY_CODE, Code
from godwitlanding.base.kernel import Kernel, KernelError, Service
from godwitlanding.base.messages import Envelope, State, decode, encode
from godwitlanding.daemons.replica import Replica


class Recorder(Service):
    """A service that records its starts and stops in ``calls``."""

    def __init__(self, name, needs=(), calls=None, fails=False):
        self.name = name
        self.needs = needs
        self.calls = calls if calls is not None else []
        self.fails = fails

    async def start(self, kernel):
        if self.fails:
            raise OSError("cannot listen")
        self.calls.append(f"+{self.name}")

    async def stop(self):
        self.calls.append(f"-{self.name}")


def test_every_code_has_a_row():
    assert set(ROW_BY_CODE) == set(Code)


async def test_services_start_and_stop_in_dependency_order():
    calls = []
    kernel = Kernel([Recorder("b", ("a",), calls), Recorder("a", (), calls)])
    await kernel.start()
    await kernel.stop()
    assert calls == ["+a", "+b", "-b", "-a"]


async def test_failed_start_stops_the_started_services():
    calls = []
    broken = Recorder("b", ("a",), calls, fails=True)
    kernel = Kernel([Recorder("a", (), calls), broken])
    with pytest.raises(OSError):
        await kernel.start()
    assert calls == ["+a", "-a"]


@pytest.mark.parametrize(
    ("services", "expected_text"),
    [
        ([Recorder("a"), Recorder("a")], "two services"),
        ([Recorder("a", ("b",))], "no service"),
        (
            [Recorder("a", ("b",)), Recorder("b", ("a",))],
            "circular dependency of services",
        ),
    ],
)
def test_kernel_rejects_invalid_services(services, expected_text):
    with pytest.raises(KernelError, match=expected_text):
        Kernel(services).get_names()


@pytest.mark.parametrize("data", [b"", b"garbage!" * 3, b"\xff" * 64, b"\0" * 8])
def test_garbage_frame_is_a_value_error(data):
    with pytest.raises(ValueError):
        decode(data)


def test_message_round_trips():
    envelope = Envelope(9, True, State("config", "main", 3, b"{}"))
    assert decode(encode(envelope)) == envelope


@pytest.mark.parametrize(("offered", "accepted"), [(6, False), (7, False), (8, True)])
def test_replica_keeps_the_highest_version(offered, accepted):
    """Guards against an outdated version that replaces a newer one.

    A peer that was disconnected offers the last version that it received.
    Users would see a change disappear that had already been in force.
    """
    replica = Replica()
    replica.offer(State("config", "main", 7, b"seven"))
    assert replica.offer(State("config", "main", offered, b"x")) is accepted
    assert replica.get_version("config", "main") == max(7, offered)
