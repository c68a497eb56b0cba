"""What VMs tell each other: typed form and Cap'n Proto encoding."""

import math
import struct
from functools import lru_cache
from pathlib import Path
from typing import NamedTuple

import capnp

from godwitlanding.decisions.digest import Crash, Digest
from godwitlanding.decisions.fleet import Capacity
from godwitlanding.decisions.objectmap import CacheEntry
from godwitlanding.decisions.ratelimit import LimitedUpstream, LimitRow
from godwitlanding.decisions.tally import Asked, Level, Tally

_schema = capnp.load(str(Path(__file__).with_name("peer.capnp")))
_PAIR = struct.Struct("<II")
_TALLY = struct.Struct("<III")
_AMOUNT = struct.Struct("<If")
_NUMBER = struct.Struct("<I")
_LIMIT = struct.Struct("<IfHI")
_NO_LIMIT = -1.0
_NO_AGE = 0xFFFF
_COUNT_MODULUS = 1 << 32
# Digests whose rows are not read or packed again while they go round.
_CACHED_DIGESTS = 16
# The longest datagram there is; one that is longer than a packet is lost
# with any of its packets.
MAX_DATAGRAM_BYTES = 60_000


class StoreState(NamedTuple):
    """What a VM says of itself and the store; see ``fleet.Peer``."""

    reads: bool
    failed: bool
    changed_at: tuple[int, ...]


class GossipMessage(NamedTuple):
    """The state of one VM; rates are requests a second by service."""

    vm: str
    incarnation: int
    sequence: int
    region: str
    ready: bool
    leaving: bool
    # Whether the VM tells its whole region that it lives.
    active: bool
    capacity: Capacity
    # Requests in progress by the number of the upstream.
    count_by_number: dict[int, int]
    rate_by_service: dict[str, float]
    crashes: tuple[Crash, ...]
    digests: tuple[Digest, ...]
    reads: bool
    failed: bool
    changed_at: tuple[int, ...]
    # Which upstreams got which objects, as the VM saw lately.
    met: tuple[CacheEntry, ...] = ()
    # What the VM has had of workspaces, and how many VMs of its region it
    # hears, itself included.
    tallies: tuple[Tally, ...] = ()
    tells_all: bool = False
    # What is left of their allotments, for a VM that has just started.
    levels: tuple[Level, ...] = ()
    heard: int = 1
    # Upstreams that have named a limit, and what the VM has sent there.
    limits: tuple[LimitRow, ...] = ()
    # Numbers of upstreams that leave, though the store does not say so.
    leaving_upstreams: tuple[int, ...] = ()

    @property
    def carries(self):
        """Tell whether callers may be sent to the VM, and are."""
        return self.active and self.ready and not self.leaving


def encode_message(bulletin):
    """Return a bulletin as bytes."""
    message = _schema.GossipMessage.new_message(
        vm=bulletin.vm,
        incarnation=bulletin.incarnation,
        sequence=bulletin.sequence,
        region=bulletin.region,
        ready=bulletin.ready,
        leaving=bulletin.leaving,
        active=bulletin.active,
        linkMbps=bulletin.capacity.link_mbps,
        cores=bulletin.capacity.cores,
        inProgress=_pack_pairs(bulletin.count_by_number.items()),
        arrivals=_make_rates(bulletin.rate_by_service),
        crashes=[crash._asdict() for crash in bulletin.crashes],
        digests=[_make_digest(digest) for digest in bulletin.digests],
        reads=bulletin.reads,
        failed=bulletin.failed,
        changedAt=list(bulletin.changed_at),
        met=_pack_pairs(bulletin.met),
        tallies=b"".join(_TALLY.pack(*tally) for tally in bulletin.tallies),
        tellsAll=bulletin.tells_all,
        levels=_pack_amounts(bulletin.levels),
        heard=bulletin.heard,
        limits=b"".join(map(_pack_limit, bulletin.limits)),
        leavingUpstreams=_pack_numbers(bulletin.leaving_upstreams),
    )
    return message.to_bytes_packed()


def _pack_numbers(numbers):
    return b"".join(map(_NUMBER.pack, numbers))


def _unpack_numbers(data):
    return tuple(number for number, in _NUMBER.iter_unpack(data))


def _pack_limit(row):
    per_s = _NO_LIMIT if row.per_s is None else row.per_s
    age_ms = _NO_AGE
    if row.age_s is not None:
        age_ms = min(_NO_AGE - 1, round(row.age_s * 1000))
    return _LIMIT.pack(row.upstream, per_s, age_ms, row.sent % _COUNT_MODULUS)


def _unpack_limit(upstream, per_s, age_ms, sent):
    if not math.isfinite(per_s):
        raise ValueError("a limit that is none")
    named_per_s = None if per_s < 0 else per_s
    age_s = None if age_ms == _NO_AGE else age_ms / 1000
    return LimitRow(upstream, named_per_s, age_s, sent)


def _pack_pairs(pairs):
    return b"".join(_PAIR.pack(*pair) for pair in pairs)


def _unpack_cache_entries(data):
    return tuple(CacheEntry(*pair) for pair in _PAIR.iter_unpack(data))


def _make_rates(rate_by_service):
    return [
        {"service": service, "perSecond": rate}
        for service, rate in rate_by_service.items()
    ]


def _make_digest(digest):
    return {
        "region": digest.region,
        "vms": digest.vms,
        "carriers": list(digest.carriers),
        "arrivals": _make_rates(digest.rate_by_service),
        "crashes": [crash._asdict() for crash in digest.crashes],
        "source": digest.source,
        "changedAt": list(digest.changed_at),
        "met": _pack_pairs(digest.met),
        "asked": _pack_amounts(digest.asked),
        "limited": _pack_amounts(digest.limited),
        "leavingUpstreams": _pack_numbers(digest.leaving_upstreams),
    }


def decode_message(data):
    """Return the bulletin in ``data``; raises ``ValueError`` if none is."""
    try:
        message = _schema.GossipMessage.from_bytes_packed(data)
        return GossipMessage(
            vm=message.vm,
            incarnation=message.incarnation,
            sequence=message.sequence,
            region=message.region,
            ready=message.ready,
            leaving=message.leaving,
            active=message.active,
            capacity=Capacity(message.linkMbps, message.cores),
            count_by_number=dict(_PAIR.iter_unpack(message.inProgress)),
            rate_by_service=_read_rates(message.arrivals),
            crashes=_read_crashes(message.crashes),
            digests=tuple(_read_digest(row) for row in message.digests),
            reads=message.reads,
            failed=message.failed,
            changed_at=tuple(message.changedAt),
            met=_unpack_cache_entries(message.met),
            tallies=tuple(Tally(*row) for row in _TALLY.iter_unpack(message.tallies)),
            tells_all=message.tellsAll,
            levels=_unpack_amounts(Level, message.levels),
            heard=message.heard,
            limits=tuple(
                _unpack_limit(*row) for row in _LIMIT.iter_unpack(message.limits)
            ),
            leaving_upstreams=_unpack_numbers(message.leavingUpstreams),
        )
    except (capnp.KjException, UnicodeDecodeError, struct.error) as error:
        raise ValueError(f"not a bulletin: {error}") from None


def _read_rates(rows):
    return {row.service: row.perSecond for row in rows}


def _read_crashes(rows):
    return tuple(Crash(row.fingerprint, row.upstream) for row in rows)


def _read_digest(row):
    return Digest(
        region=row.region,
        vms=row.vms,
        carriers=tuple(row.carriers),
        rate_by_service=_read_rates(row.arrivals),
        crashes=_read_crashes(row.crashes),
        source=row.source,
        changed_at=tuple(row.changedAt),
        met=_unpack_cache_entries(row.met),
        asked=_unpack_amounts(Asked, row.asked),
        limited=_unpack_amounts(LimitedUpstream, row.limited),
        leaving_upstreams=_unpack_numbers(row.leavingUpstreams),
    )


# A VM hears a digest from all who pass it on, and passes it on itself.
@lru_cache(maxsize=_CACHED_DIGESTS)
def _pack_amounts(rows):
    return b"".join(_AMOUNT.pack(*row) for row in rows)


@lru_cache(maxsize=_CACHED_DIGESTS)
def _unpack_amounts(kind, data):
    rows = tuple(kind(*row) for row in _AMOUNT.iter_unpack(data))
    if not all(math.isfinite(amount) for _, amount in rows):
        raise ValueError("an amount that is none")
    return rows
