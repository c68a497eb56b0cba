"""What VMs tell each other: typed form and Cap'n Proto encoding."""

from pathlib import Path
from typing import NamedTuple

import capnp

from godwitlanding.decisions.fleet import Capacity

_schema = capnp.load(str(Path(__file__).with_name("peer.capnp")))
# A datagram that stays below one packet is not lost by halves.
MAX_DATAGRAM_BYTES = 60_000


class Crash(NamedTuple):
    """A request, by its fingerprint, that ran on an upstream as it crashed."""

    fingerprint: int
    upstream: str


class Bulletin(NamedTuple):
    """The state of one VM; rates are requests a second by service."""

    vm: str
    incarnation: int
    sequence: int
    region: str
    availability_zone: str
    ready: bool
    leaving: bool
    count_by_upstream: dict[str, int]
    rate_by_service: dict[str, float]
    crashes: tuple[Crash, ...]
    capacity: Capacity


def encode_bulletin(bulletin):
    """Return a bulletin as bytes."""
    message = _schema.Bulletin.new_message(
        vm=bulletin.vm,
        incarnation=bulletin.incarnation,
        sequence=bulletin.sequence,
        region=bulletin.region,
        availabilityZone=bulletin.availability_zone,
        ready=bulletin.ready,
        leaving=bulletin.leaving,
        inProgress=[
            {"upstream": upstream, "count": count}
            for upstream, count in bulletin.count_by_upstream.items()
        ],
        arrivals=[
            {"service": service, "perSecond": rate}
            for service, rate in bulletin.rate_by_service.items()
        ],
        crashes=[crash._asdict() for crash in bulletin.crashes],
        linkMbps=bulletin.capacity.link_mbps,
        cores=bulletin.capacity.cores,
    )
    return message.to_bytes_packed()


def decode_bulletin(data):
    """Return the bulletin in ``data``; raises ``ValueError`` if none is."""
    try:
        message = _schema.Bulletin.from_bytes_packed(data)
        return Bulletin(
            message.vm,
            message.incarnation,
            message.sequence,
            message.region,
            message.availabilityZone,
            message.ready,
            message.leaving,
            {row.upstream: row.count for row in message.inProgress},
            {row.service: row.perSecond for row in message.arrivals},
            tuple(Crash(row.fingerprint, row.upstream) for row in message.crashes),
            Capacity(message.linkMbps, message.cores),
        )
    except (capnp.KjException, UnicodeDecodeError) as error:
        raise ValueError(f"not a bulletin: {error}") from None
