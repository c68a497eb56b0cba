"""The parts that every daemon stands on."""

import pytest

from godwitlanding.base.codes import ROW_BY_CODE, Code
from godwitlanding.base.kernel import Kernel, KernelError, Service
from godwitlanding.base.messages import Envelope, State, decode, encode
from godwitlanding.daemons.replica import Replica


class Recorder(Service):
    """A service that writes down when it starts and stops."""

    def __init__(self, name, needs=(), journal=None, fails=False):
        self.name = name
        self.needs = needs
        self.journal = journal if journal is not None else []
        self.fails = fails

    async def start(self, kernel):
        if self.fails:
            raise OSError("cannot listen")
        self.journal.append(f"+{self.name}")

    async def stop(self):
        self.journal.append(f"-{self.name}")


def test_every_code_has_a_row():
    assert set(ROW_BY_CODE) == set(Code)


async def test_services_start_and_stop_in_dependency_order():
    journal = []
    kernel = Kernel([Recorder("b", ("a",), journal), Recorder("a", (), journal)])
    await kernel.start()
    await kernel.stop()
    assert journal == ["+a", "+b", "-b", "-a"]


async def test_failed_start_stops_the_started_services():
    journal = []
    broken = Recorder("b", ("a",), journal, fails=True)
    kernel = Kernel([Recorder("a", (), journal), broken])
    with pytest.raises(OSError):
        await kernel.start()
    assert journal == ["+a", "-a"]


@pytest.mark.parametrize(
    ("services", "words"),
    [
        ([Recorder("a"), Recorder("a")], "two services"),
        ([Recorder("a", ("b",))], "no service"),
        ([Recorder("a", ("b",)), Recorder("b", ("a",))], "need each other"),
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


@pytest.mark.parametrize(("offered", "taken"), [(6, False), (7, False), (8, True)])
def test_replica_keeps_the_highest_version(offered, accepted):
    """A peer that was cut off offers the version it last saw.

    Users would notice a change that they had seen in force disappear.
    """
    replica = Replica()
    replica.offer(State("config", "main", 7, b"seven"))
    assert replica.offer(State("config", "main", offered, b"x")) is accepted
    assert replica.get_version("config", "main") == max(7, offered)
