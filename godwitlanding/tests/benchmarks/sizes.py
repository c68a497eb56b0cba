"""Generates the state of a fleet of a given size for benchmarks.

The fleet has zones in regions, VMs in zones, services with upstreams in every
zone, a plan, summaries and caller blocks. The blocks are random with a fixed
seed. All addresses are loopback addresses on which nothing listens.
"""

import json
import random
from array import array
from typing import NamedTuple

from godwitlanding.base.messages import State
from godwitlanding.daemons.blocks import GROUP, START, Piece, split_piece
from godwitlanding.daemons.blockstore import BLOCKS_KIND, Site, make_objects

SEED = 20
# Common block lengths, in addresses. Their mean is the mean distance of 3.2
# million blocks that share the address space evenly.
_BLOCK_LENGTHS = (16, 64, 256, 256, 256, 256, 256, 512, 1024, 2048)
_FIRST_ADDRESS = 1 << 24
_KINDS = ("lookup", "transaction", "bulk")


class Size(NamedTuple):
    """The size of a fleet; the defaults are the required target size."""

    regions: int = 25
    zones: int = 85
    vms_in_zone: int = 24
    services: int = 3
    upstreams: int = 8000
    blocks: int = 3_200_000
    sites: int = 700

    def get_zones(self):
        """Return the names of the zones."""
        return [f"r{n % self.regions:02}-z{n:02}" for n in range(self.zones)]

    def get_vms(self, zone):
        """Return ``(vm, address)`` of a zone's VMs."""
        number = self.get_zones().index(zone)
        return [
            (f"{zone}-v{n:02}", f"127.{100 + number}.0.{n + 1}")
            for n in range(self.vms_in_zone)
        ]

    def get_services(self):
        """Return the names of the services."""
        return [f"service-{n}" for n in range(self.services)]


CURRENT_SIZE = Size(3, 6, 2, 3, 45, 0, 0)
TARGET_SIZE = Size()


def make_config(size):
    """Return the configuration as compact JSON."""
    zones = size.get_zones()
    regions = [f"r{n:02}" for n in range(min(size.regions, size.zones))]
    upstreams = [
        {
            "id": f"u{n:05}",
            "address": f"127.{200 + n // 50_000}.{n // 250 % 200}.{1 + n % 250}:1",
            "availability_zone": zones[n % len(zones)],
        }
        for n in range(size.upstreams)
    ]
    value = {
        "format": 1,
        "name": "letter",
        "regions": [
            {
                "name": name,
                "availability_zones": [z for z in zones if z.startswith(f"{name}-")],
            }
            for name in regions
        ],
        "services": [
            {
                "name": name,
                "kind": _KINDS[index % 3],
                "deadline_s": 2,
                "upstreams": upstreams[index :: size.services],
            }
            for index, name in enumerate(size.get_services())
        ],
    }
    return json.dumps(value, separators=(",", ":"))


def make_plan(size, zones_per_origin=2):
    """Return a plan that sends each zone to ``zones_per_origin`` zones."""
    zones = size.get_zones()
    weights = {
        zone: {
            zones[(index + step) % len(zones)]: round(1 / zones_per_origin, 4)
            for step in range(zones_per_origin)
        }
        for index, zone in enumerate(zones)
    }
    allowances = {
        f"{zone}>{zones[(index + step) % len(zones)]}": 10
        for index, zone in enumerate(zones)
        for step in (1, 2)
    }
    services = size.get_services()
    return {
        "weight_by_zone_by_origin_by_service": dict.fromkeys(services, weights),
        "allowance_by_zones_by_service": dict.fromkeys(services, allowances),
        "moved_by_shift": {},
        "step": 1,
        "why": "benchmark",
    }


def make_vms(size):
    """Return the platform's VM list."""
    return {
        "vms": [
            {"vm": vm, "address": address, "availability_zone": z, "state": "live"}
            for z in size.get_zones()
            for vm, address in size.get_vms(z)
        ]
    }


def make_members(size, zone):
    """Return the members of a zone as its zone daemon publishes them."""
    members = [
        {
            "vm": vm,
            "address": address,
            "entry_incarnation": f"{vm}-entry-1",
            "alive": True,
            "leaving": False,
            "platform_reachable": True,
        }
        for vm, address in size.get_vms(zone)
    ]
    names = [member["vm"] for member in members]
    arbiters = dict.fromkeys(size.get_services(), names)
    return {"members": members, "arbiters_by_service": arbiters}


def make_summary(size, sequence=1):
    """Return a zone's summary of its measured load."""
    row = {
        "slots": 96,
        "usable_slots": 96,
        "busy": 70,
        "queued": 3,
        "arrivals_per_s": 123.4,
        "served_per_s": 123.4,
        "refused_per_s": 0.1,
        "passed_on_per_s": 0.1,
        "warm_share": 1.0,
    }
    return {
        "sequence": sequence,
        "leaving_vms": [],
        "planner": "",
        "services": dict.fromkeys(size.get_services(), row),
    }


def make_piece(size):
    """Return all caller blocks as one piece."""
    rng = random.Random(SEED)
    starts = array(START)
    groups = array(GROUP)
    address = _FIRST_ADDRESS
    group = 1
    while len(starts) < size.blocks:
        length = rng.choice(_BLOCK_LENGTHS)
        address = -(-address // length) * length
        if rng.random() < 0.3:
            group = rng.randrange(1, size.sites + 1)
        starts.append(address)
        groups.append(group)
        address += length * rng.choice((1, 1, 1, 2))
    return Piece(starts, groups)


def make_block_objects(size):
    """Return the platform objects of the caller blocks by name."""
    zones = size.get_zones()
    sites = [Site(f"site-{n}", zones[n % len(zones)]) for n in range(size.sites)]
    return make_objects(split_piece(make_piece(size)), sites)


def make_states(size, zone, with_blocks=True):
    """Return all states that a steer process in ``zone`` receives."""
    bodies = [
        ("config", "main", make_config(size).encode()),
        ("plan", "main", _encode(make_plan(size))),
        ("secret", "ticket", _encode({"key": "6b" * 32})),
        ("vms", "main", _encode(make_vms(size))),
        ("members", zone, _encode(make_members(size, zone))),
    ]
    summary = _encode(make_summary(size))
    bodies += [("summary", name, summary) for name in size.get_zones()]
    if with_blocks and size.blocks:
        objects = make_block_objects(size)
        bodies += [(BLOCKS_KIND, name, body) for name, body in objects.items()]
    return [State(kind, name, 1, body) for kind, name, body in bodies]


def _encode(value):
    return json.dumps(value).encode()
