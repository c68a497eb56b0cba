"""State messages that VMs exchange: typed form and Cap'n Proto encoding."""

import math
import struct
from functools import lru_cache
from pathlib import Path
from typing import NamedTuple

import capnp

from godwitlanding.decisions.digest import Crash, Digest
from godwitlanding.decisions.fleet import Capacity
from godwitlanding.decisions.objectmap import CacheEntry
from godwitlanding.decisions.occupancy import get_upstream_number
from godwitlanding.decisions.pace import PaceRow
from godwitlanding.decisions.ratelimit import LimitedUpstream, LimitRow
from godwitlanding.decisions.reach import Reach
from godwitlanding.decisions.requestcounts import CountRow, Counts
from godwitlanding.decisions.tally import AskedRate, Level, Tally

_schema = capnp.load(str(Path(__file__).with_name("peer.capnp")))
_PAIR = struct.Struct("<II")
_TALLY = struct.Struct("<III")
_AMOUNT = struct.Struct("<If")
_NUMBER = struct.Struct("<I")
_LIMIT = struct.Struct("<IfHI")
_PACE = struct.Struct("<IHB")
_PACE_AGE_STEP_S = 0.004
_CRASH = struct.Struct("<QIH")
_CRASH_AGE_STEP_S = 0.01
_MAX_CRASH_AGE = 0xFFFF
_COUNT_ROW = struct.Struct("<IiIIIII")
_MAX_PRIORITY = (1 << 31) - 1
_NO_LIMIT = -1.0
_NO_AGE = 0xFFFF
_COUNT_MODULUS = 1 << 32
# Digests whose packed rows are cached while VMs forward them.
_CACHED_DIGESTS = 16
# Close to the longest UDP datagram. A datagram longer than a packet is lost if
# any of its packets is lost.
MAX_DATAGRAM_BYTES = 60_000


class StoreState(NamedTuple):
    """A VM's access to the store and the revisions it holds.

    The fields are those of ``fleet.Peer``.
    """

    reads: bool
    failed: bool
    changed_at: tuple[int, ...]


class GossipMessage(NamedTuple):
    """The state of one VM; rates are in requests per second by service."""

    vm: str
    incarnation: int
    sequence: int
    region: str
    ready: bool
    leaving: bool
    # Whether the VM sends heartbeats to its whole region.
    active: bool
    capacity: Capacity
    # Requests in progress by upstream number.
    count_by_number: dict[int, int]
    rate_by_service: dict[str, float]
    crashes: tuple[Crash, ...]
    digests: tuple[Digest, ...]
    reads: bool
    failed: bool
    changed_at: tuple[int, ...]
    # Objects recently sent to upstreams by this VM.
    met: tuple[CacheEntry, ...] = ()
    # Request counts of workspaces, and whether they are complete.
    tallies: tuple[Tally, ...] = ()
    tells_all: bool = False
    # Remaining allotments of workspaces, for a VM that has just started.
    levels: tuple[Level, ...] = ()
    # Number of reachable VMs in the sender's region, the sender included.
    heard: int = 1
    # Upstreams that have set a rate limit, and the requests sent to them.
    limits: tuple[LimitRow, ...] = ()
    # Numbers of upstreams that are leaving but not marked so in the store.
    leaving_upstreams: tuple[int, ...] = ()
    # Unusual paces that upstreams reported to the sender.
    paces: tuple[PaceRow, ...] = ()
    # Request counts of services under contention, empty in most messages.
    request_counts: tuple[CountRow, ...] = ()
    # Whether the sender reaches upstreams.
    reach: Reach = Reach.UNKNOWN

    @property
    def carries(self):
        """Return whether the VM is active and accepts callers."""
        return self.active and self.ready and not self.leaving


def encode_message(message):
    """Return a message as bytes."""
    encoded = _schema.GossipMessage.new_message(
        vm=message.vm,
        incarnation=message.incarnation,
        sequence=message.sequence,
        region=message.region,
        ready=message.ready,
        leaving=message.leaving,
        active=message.active,
        linkMbps=message.capacity.link_mbps,
        cores=message.capacity.cores,
        inProgress=_pack_pairs(message.count_by_number.items()),
        arrivals=_make_rates(message.rate_by_service),
        crashRows=_pack_crashes(message.crashes),
        digests=[_make_digest(digest) for digest in message.digests],
        reads=message.reads,
        failed=message.failed,
        changedAt=list(message.changed_at),
        met=_pack_pairs(message.met),
        tallies=b"".join(_TALLY.pack(*tally) for tally in message.tallies),
        tellsAll=message.tells_all,
        levels=_pack_amounts(message.levels),
        heard=message.heard,
        limits=b"".join(map(_pack_limit, message.limits)),
        leavingUpstreams=_pack_numbers(message.leaving_upstreams),
        paces=b"".join(map(_pack_pace, message.paces)),
        requestCounts=b"".join(map(_pack_count_row, message.request_counts)),
        reach=int(message.reach),
    )
    return encoded.to_bytes_packed()


def _pack_numbers(numbers):
    return b"".join(map(_NUMBER.pack, numbers))


def _unpack_numbers(data):
    return tuple(number for number, in _NUMBER.iter_unpack(data))


def _pack_count_row(row):
    # A configuration may hold any integer; no more than the order matters.
    priority = max(-_MAX_PRIORITY, min(_MAX_PRIORITY, row.priority))
    return _COUNT_ROW.pack(row.service, priority, *row.counts)


def _unpack_count_row(service, priority, *counts):
    return CountRow(service, priority, Counts(*counts))


def _pack_limit(row):
    per_s = _NO_LIMIT if row.per_s is None else row.per_s
    age_ms = _NO_AGE
    if row.age_s is not None:
        age_ms = min(_NO_AGE - 1, round(row.age_s * 1000))
    return _LIMIT.pack(row.upstream, per_s, age_ms, row.sent % _COUNT_MODULUS)


def _unpack_limit(upstream, per_s, age_ms, sent):
    if not math.isfinite(per_s):
        raise ValueError("rate limit is not finite")
    named_per_s = None if per_s < 0 else per_s
    age_s = None if age_ms == _NO_AGE else age_ms / 1000
    return LimitRow(upstream, named_per_s, age_s, sent)


def _pack_pace(row):
    age_steps = min(0xFF, round(row.age_s / _PACE_AGE_STEP_S))
    return _PACE.pack(row.upstream, round(row.pace * 100), age_steps)


def _unpack_pace(upstream, hundredths, age_steps):
    return PaceRow(upstream, hundredths / 100, age_steps * _PACE_AGE_STEP_S)


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
        "crashRows": _pack_crashes(digest.crashes),
        "source": digest.source,
        "changedAt": list(digest.changed_at),
        "met": _pack_pairs(digest.met),
        "asked": _pack_amounts(digest.asked),
        "limited": _pack_amounts(digest.limited),
        "leavingUpstreams": _pack_numbers(digest.leaving_upstreams),
        "reach": int(digest.reach),
    }


def decode_message(data):
    """Return the message in ``data``; raise ``ValueError`` if invalid."""
    try:
        encoded = _schema.GossipMessage.from_bytes_packed(data)
        return GossipMessage(
            vm=encoded.vm,
            incarnation=encoded.incarnation,
            sequence=encoded.sequence,
            region=encoded.region,
            ready=encoded.ready,
            leaving=encoded.leaving,
            active=encoded.active,
            capacity=Capacity(encoded.linkMbps, encoded.cores),
            count_by_number=dict(_PAIR.iter_unpack(encoded.inProgress)),
            rate_by_service=_read_rates(encoded.arrivals),
            crashes=_read_crashes(encoded),
            digests=tuple(_read_digest(row) for row in encoded.digests),
            reads=encoded.reads,
            failed=encoded.failed,
            changed_at=tuple(encoded.changedAt),
            met=_unpack_cache_entries(encoded.met),
            tallies=tuple(Tally(*row) for row in _TALLY.iter_unpack(encoded.tallies)),
            tells_all=encoded.tellsAll,
            levels=_unpack_amounts(Level, encoded.levels),
            heard=encoded.heard,
            limits=tuple(
                _unpack_limit(*row) for row in _LIMIT.iter_unpack(encoded.limits)
            ),
            leaving_upstreams=_unpack_numbers(encoded.leavingUpstreams),
            paces=tuple(_unpack_pace(*row) for row in _PACE.iter_unpack(encoded.paces)),
            request_counts=tuple(
                _unpack_count_row(*row)
                for row in _COUNT_ROW.iter_unpack(encoded.requestCounts)
            ),
            reach=_read_reach(encoded.reach),
        )
    except (capnp.KjException, UnicodeDecodeError, struct.error) as error:
        raise ValueError(f"not a gossip message: {error}") from None


def _read_reach(number):
    # A newer version may send a value that this one does not know.
    return Reach(number) if number in set(Reach) else Reach.UNKNOWN


def _read_rates(rows):
    return {row.service: row.perSecond for row in rows}


def _pack_crashes(crashes):
    return b"".join(map(_pack_crash, crashes))


def _pack_crash(crash):
    age_steps = min(_MAX_CRASH_AGE, round(crash.age_s / _CRASH_AGE_STEP_S))
    return _CRASH.pack(crash.fingerprint, crash.upstream, max(0, age_steps))


def _read_crashes(encoded):
    rows = [
        Crash(fingerprint, upstream, age_steps * _CRASH_AGE_STEP_S)
        for fingerprint, upstream, age_steps in _CRASH.iter_unpack(encoded.crashRows)
    ]
    # Older versions name the upstream.
    for row in encoded.crashes:
        rows.append(Crash(row.fingerprint, get_upstream_number(row.upstream)))
    return tuple(rows)


def _read_digest(row):
    return Digest(
        region=row.region,
        vms=row.vms,
        carriers=tuple(row.carriers),
        rate_by_service=_read_rates(row.arrivals),
        crashes=_read_crashes(row),
        source=row.source,
        changed_at=tuple(row.changedAt),
        met=_unpack_cache_entries(row.met),
        asked=_unpack_amounts(AskedRate, row.asked),
        limited=_unpack_amounts(LimitedUpstream, row.limited),
        leaving_upstreams=_unpack_numbers(row.leavingUpstreams),
        reach=_read_reach(row.reach),
    )


# A VM receives a digest from every VM that forwards it, and forwards it too.
@lru_cache(maxsize=_CACHED_DIGESTS)
def _pack_amounts(rows):
    return b"".join(_AMOUNT.pack(*row) for row in rows)


@lru_cache(maxsize=_CACHED_DIGESTS)
def _unpack_amounts(kind, data):
    rows = tuple(kind(*row) for row in _AMOUNT.iter_unpack(data))
    if not all(math.isfinite(amount) for _, amount in rows):
        raise ValueError("amount is not finite")
    return rows
