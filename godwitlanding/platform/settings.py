"""Reads the settings file that the platform provides to each process."""

import math
import os
import tomllib
from typing import NamedTuple

from eliot import log_message
from result import Err, Ok

from godwitlanding.decisions.allotment import Tolerance
from godwitlanding.decisions.fleet import Capacity
from godwitlanding.platform.units import read_seconds

SETTINGS_VARIABLE = "GODWITLANDING_SETTINGS"
# Assumed if the platform states no link speed, so that all VMs count as equal.
DEFAULT_LINK_MBPS = 1000.0


class Bounds(NamedTuple):
    """Limits from the users' terms; times are in seconds."""

    # Time from the acknowledgement of a change until it must be in force.
    config_s: float
    # Time from SIGTERM until the process is killed.
    stop_s: float
    # Retries allowed in a window: a share of the requests plus a number.
    retry_ratio: float
    retry_window_s: float
    retry_slack: float
    # Tolerated excess over a workspace's allotment.
    allotment: Tolerance
    # Whether a VM that receives no changes must stop accepting API keys, and
    # after which time.
    strict_revoke: bool
    revoke_s: float
    # Longest time for which callers cache a response of the directory.
    directory_ttl_s: float


class VmSettings(NamedTuple):
    """Settings of a process: its VM, network and limits.

    Addresses are pairs of IP address and port.
    """

    vm: str
    ip: str
    availability_zone: str
    region: str
    region_by_zone: dict[str, str]
    # Listening addresses for callers' requests, the directory, and the
    # platform's readiness checks.
    caller_address: tuple[str, int]
    directory_address: tuple[str, int]
    ready_address: tuple[str, int]
    # First port of the range for traffic between VMs.
    peer_port: int
    store_address: tuple[str, int]
    capacity: Capacity
    bounds: Bounds
    # Memory of the VM in MB; ``None`` if it is not stated.
    memory_mb: float | None = None
    # Whether the whole system starts for the first time.
    is_first_start: bool = False


_MISSING = object()


class _Reader:
    """Reads values from the parsed file and collects all problems."""

    def __init__(self, document):
        self._document = document
        self.problems = []

    def get_value(self, path, read=str, default=_MISSING):
        value = self._document
        for part in path.split("."):
            value = value.get(part, _MISSING) if isinstance(value, dict) else _MISSING
        if value is _MISSING:
            if default is _MISSING:
                self.problems.append(f"{path}: is missing")
                return None
            return default
        try:
            return read(value)
        except (ValueError, TypeError, LookupError) as error:
            self.problems.append(f"{path}: {error}")
            return None


def _read_address(text):
    host, _, port = text.rpartition(":")
    if not host:
        raise ValueError(f"{text!r} is not an address with a port")
    return host, int(port)


def _read_memory_mb(value):
    memory_mb = float(value)
    if not 0 < memory_mb < math.inf:
        raise ValueError(f"{value!r} is not a size of memory")
    return memory_mb


def get_change_time(path):
    """Return the file's modification time in ns, ``None`` if unknown."""
    try:
        return os.stat(path).st_mtime_ns
    except OSError as error:
        log_message("settings:no_file", level="warning", error=str(error))
        return None


def read_settings(path):
    """Return ``Ok(VmSettings)`` or ``Err`` with a list of all problems."""
    try:
        with open(path, "rb") as file:
            document = tomllib.load(file)
    except (OSError, tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        return Err([str(error)])
    reader = _Reader(document)
    settings = _build_settings(reader)
    return Err(reader.problems) if reader.problems else Ok(settings)


def _build_settings(reader):
    return VmSettings(
        vm=reader.get_value("self.node"),
        ip=reader.get_value("self.ip"),
        availability_zone=reader.get_value("self.zone"),
        region=reader.get_value("self.region"),
        region_by_zone=reader.get_value("network.zones", dict),
        caller_address=reader.get_value("network.listen.front", _read_address),
        directory_address=reader.get_value("network.listen.directory", _read_address),
        ready_address=reader.get_value("network.listen.ready", _read_address),
        peer_port=reader.get_value("network.internal_port_range", lambda r: int(r[0])),
        store_address=reader.get_value("provider.provider.address", _read_address),
        capacity=_build_capacity(reader),
        bounds=_build_bounds(reader),
        memory_mb=reader.get_value("self.limits.memory_mb", _read_memory_mb, None),
        is_first_start=reader.get_value("self.bootstrap", bool, False),
    )


def _build_capacity(reader):
    limits = "self.limits."
    link_mbps = reader.get_value(limits + "link_mbps", float, DEFAULT_LINK_MBPS)
    share = reader.get_value(limits + "cpu_share", float, 1.0)
    # Speed of the VM in cores; the CPU share is a fraction of it.
    speed = reader.get_value(limits + "cores", float, 1.0)
    if None in (link_mbps, share, speed):
        return None
    return Capacity(link_mbps, share * speed)


def _build_bounds(reader):
    bounds = "terms.bounds."
    return Bounds(
        config_s=reader.get_value(bounds + "config", read_seconds, 2.5),
        stop_s=reader.get_value(bounds + "grace", read_seconds, 6.0),
        retry_ratio=reader.get_value(bounds + "budget_ratio", float, 0.2),
        retry_window_s=reader.get_value(bounds + "budget_window", read_seconds, 10.0),
        retry_slack=reader.get_value(bounds + "budget_slack", float, 60.0),
        allotment=Tolerance(
            window_s=reader.get_value(bounds + "quota_window", read_seconds, 5.0),
            over_share=reader.get_value(bounds + "quota_over", float, 0.1),
            over_requests=reader.get_value(bounds + "quota_slack", float, 20.0),
        ),
        strict_revoke=reader.get_value(bounds + "strict_revoke", bool, False),
        revoke_s=reader.get_value(bounds + "revoke", read_seconds, 5.0),
        directory_ttl_s=reader.get_value(bounds + "ttl_max", read_seconds, 5.0),
    )
