"""Message types between processes, and their Cap'n Proto encoding.

Each class mirrors the struct of the same name in ``messages.capnp``. The
schema is loaded at run time, so no code is generated at build time.

>>> frame = encode(Envelope(7, False, Fetch("config", "main")))
>>> decode(frame).message.kind
'config'
"""

from pathlib import Path
from typing import NamedTuple, get_args, get_origin, get_type_hints

import capnp

capnp.remove_import_hook()
_SCHEMA = capnp.load(str(Path(__file__).with_name("messages.capnp")))

PROTOCOL_VERSION = 1


class Hello(NamedTuple):
    """First message in each direction of a connection."""

    protocol: int
    role: str
    vm: str
    availability_zone: str
    incarnation: str
    # Whether the sender reads messages that are sent in pieces.
    accepts_pieces: bool = False


class Failure(NamedTuple):
    """An error response; ``code`` is a numbered result code."""

    code: int
    detail: str = ""


class Ack(NamedTuple):
    """An empty response."""


class Subscribe(NamedTuple):
    """Requests a push of every versioned object of the kinds."""

    kinds: tuple[str, ...]


class State(NamedTuple):
    """A versioned object; receivers keep the highest version."""

    kind: str
    name: str
    version: int
    body: bytes


class Fetch(NamedTuple):
    """Requests one versioned object."""

    kind: str
    name: str


class VersionOf(NamedTuple):
    """The version of an object that a member holds."""

    kind: str
    name: str
    version: int


class Heartbeat(NamedTuple):
    """Heartbeat of a member of an availability zone."""

    vm: str
    incarnation: str
    leaving: bool = False
    versions: tuple[VersionOf, ...] = ()
    entry_incarnation: str = ""
    platform_reachable: bool = False
    address: str = ""


class Acquire(NamedTuple):
    """Requests a permit from an arbiter.

    ``remaining_s`` is the time left until the deadline of the request.
    """

    service: str
    request_id: str
    caller: str
    priority: int
    remaining_s: float
    fingerprint: int = 0
    excluded_upstreams: tuple[str, ...] = ()
    arrived_from_zone: str = ""
    attempt: int = 0
    may_pass_on: bool = True


class Granted(NamedTuple):
    """A permit for one slot.

    ``valid_s`` counts from the time at which the holder sent its request.
    """

    permit_id: int
    upstream: str
    address: str
    valid_s: float
    arbiter: str
    waited_s: float = 0.0


class PassOn(NamedTuple):
    """Permission to forward the request to an entry VM of another zone."""

    availability_zone: str
    valid_s: float
    waited_s: float = 0.0


class Refused(NamedTuple):
    """The arbiter's final refusal of a permit."""

    code: int
    retry_after_s: float
    waited_s: float = 0.0
    detail: str = ""


class Release(NamedTuple):
    """Returns a permit; ``outcome`` is one of ``OUTCOMES``."""

    permit_id: int
    upstream: str
    arbiter: str
    outcome: str
    took_s: float = 0.0
    fingerprint: int = 0


class Withdraw(NamedTuple):
    """Removes a request from the queue after its caller has disconnected."""

    service: str
    request_id: str


class Holdings(NamedTuple):
    """A new arbiter's request for a holder's open permits on upstreams.

    From then on the holder accepts grants on these upstreams from this
    arbiter only.
    """

    arbiter: str
    service: str
    upstreams: tuple[str, ...]


class HeldPermit(NamedTuple):
    """An open permit as recorded by its holder."""

    permit_id: int
    upstream: str
    valid_s: float


class Held(NamedTuple):
    """Response to ``Holdings``."""

    permits: tuple[HeldPermit, ...] = ()


class Holder(NamedTuple):
    """An entry process that may hold permits."""

    vm: str
    incarnation: str


class Loan(NamedTuple):
    """An arbiter's request to borrow an owner's upstreams of a service.

    ``holders`` may be granted permits once the owner has responded;
    ``holding`` are the owner's upstreams that the arbiter still uses.
    ``number`` increases with each request, so that a delayed one is
    detected.
    """

    arbiter: str
    service: str
    holders: tuple[Holder, ...] = ()
    holding: tuple[str, ...] = ()
    number: int = 0


class Lent(NamedTuple):
    """The upstreams lent to an arbiter, in response to ``Loan``.

    ``valid_s`` counts from the time at which the borrower sent its request.
    ``former_arbiters`` has, for each upstream, the incarnation that
    borrowed it last, ``FORMER_NONE`` if no permit can be open, or an empty
    string if the owner does not know it. ``holders`` may have permits from
    former arbiters.
    """

    upstreams: tuple[str, ...]
    valid_s: float
    former_arbiters: tuple[str, ...] = ()
    holders: tuple[Holder, ...] = ()


class GiveBack(NamedTuple):
    """Ends a loan: the borrower is no longer the arbiter of the service."""

    arbiter: str
    service: str
    number: int = 0


class Poison(NamedTuple):
    """The fingerprint of a request that crashed an upstream."""

    fingerprint: int
    upstream: str
    crashes: int
    # Time since the crash, 0 in reports of older versions.
    age_s: float = 0.0


class Signal(NamedTuple):
    """State of an upstream as reported to an entry process."""

    upstream: str
    state: str


class Position(NamedTuple):
    """The sender has all changes of a kind up to ``revision`` of the store."""

    kind: str
    revision: int
    # Number of objects held.
    objects: int
    # The highest order of a value, 0 if values have none.
    order: int = 0


class Follow(NamedTuple):
    """Requests all changes since the given positions, and future ones."""

    positions: tuple[Position, ...]


class HeldObject(NamedTuple):
    """An object of the store as sent from one VM to another."""

    name: str
    version: int
    value: bytes
    # Version at which the object was created.
    created: int = 0


class Update(NamedTuple):
    """Changes of the objects of a kind.

    A ``whole`` update may be split into parts, the final one of which has
    ``last`` set; objects in none of the parts are deleted.
    """

    kind: str
    revision: int
    whole: bool
    last: bool
    objects: tuple[HeldObject, ...]
    removed: tuple[str, ...]
    # Revision of the last change of the kind.
    changed_at: int


class Sign(NamedTuple):
    """A keep-alive; ``reads`` is set if the sender reads the store itself."""

    reads: bool


class Piece(NamedTuple):
    """A part of a message that is too long for one frame.

    The ``data`` of all pieces of a ``stream`` is an encoded message, deflated
    as one. ``call_id`` is the id of the call that it answers, 0 for none.
    """

    stream: int
    call_id: int
    last: bool
    data: bytes


FORMER_NONE = "none"

OUTCOME_OK = "ok"
OUTCOME_FAILED = "failed"
OUTCOME_TIMEOUT = "timeout"
OUTCOME_CRASHED = "crashed"
OUTCOME_SHED = "shed"
OUTCOME_LEAVING = "leaving"
OUTCOME_UNUSED = "unused"
OUTCOME_CANCELLED = "cancelled"
OUTCOMES = (
    OUTCOME_OK,
    OUTCOME_FAILED,
    OUTCOME_TIMEOUT,
    OUTCOME_CRASHED,
    OUTCOME_SHED,
    OUTCOME_LEAVING,
    OUTCOME_UNUSED,
    OUTCOME_CANCELLED,
)

_CLASSES = (
    Hello,
    Failure,
    Ack,
    Subscribe,
    State,
    Fetch,
    Heartbeat,
    Acquire,
    Granted,
    PassOn,
    Refused,
    Release,
    Withdraw,
    Holdings,
    Held,
    Loan,
    Lent,
    GiveBack,
    Poison,
    Signal,
    Follow,
    Update,
    Sign,
    Piece,
)


class Envelope(NamedTuple):
    """A message with an id that matches a response to its request."""

    id: int
    answer: bool
    message: tuple


def _to_camel_case(name):
    head, *rest = name.split("_")
    return head + "".join(part.title() for part in rest)


def _describe_fields(cls):
    rows = []
    for name, hint in get_type_hints(cls).items():
        item = get_args(hint)[0] if get_origin(hint) is tuple else None
        nested = item if hasattr(item, "_fields") else None
        rows.append((name, _to_camel_case(name), item is not None, nested))
    return rows


def _union_name(cls):
    return cls.__name__[0].lower() + cls.__name__[1:]


_CLASS_BY_UNION_NAME = {_union_name(cls): cls for cls in _CLASSES}
_UNION_NAME_BY_CLASS = {cls: name for name, cls in _CLASS_BY_UNION_NAME.items()}
_FIELDS_BY_CLASS = {
    cls: _describe_fields(cls)
    for cls in (*_CLASSES, VersionOf, HeldPermit, Holder, Position, HeldObject)
}


def _fill(builder, message):
    """Set the fields of a Cap'n Proto builder one by one.

    Building from a dict takes eight times as long. Zero and empty values are
    skipped because they equal the schema's defaults.
    """
    for name, schema_name, is_list, nested in _FIELDS_BY_CLASS[type(message)]:
        value = getattr(message, name)
        if not value:
            continue
        if nested:
            for row, item in zip(builder.init(schema_name, len(value)), value):
                _fill(row, item)
        else:
            setattr(builder, schema_name, list(value) if is_list else value)


def _from_reader(cls, reader):
    values = []
    for _, schema_name, is_list, nested in _FIELDS_BY_CLASS[cls]:
        value = getattr(reader, schema_name)
        if nested:
            value = tuple(_from_reader(nested, item) for item in value)
        elif is_list:
            value = tuple(value)
        values.append(value)
    return cls(*values)


def encode(envelope):
    """Return the encoded envelope without the length prefix."""
    built = _SCHEMA.Message.new_message()
    built.id = envelope.id
    built.answer = envelope.answer
    message = envelope.message
    _fill(built.init(_UNION_NAME_BY_CLASS[type(message)]), message)
    return built.to_bytes()


def decode(data):
    """Decode an envelope; raise ``ValueError`` if ``data`` is invalid.

    The schema library raises exceptions of its own on a truncated or
    malicious frame. They are converted into one type, so that a connection
    handler can count the frame and close the connection instead of ending
    the process.
    """
    try:
        with _SCHEMA.Message.from_bytes(data) as reader:
            cls = _CLASS_BY_UNION_NAME[reader.which()]
            message = _from_reader(cls, getattr(reader, _union_name(cls)))
            return Envelope(reader.id, reader.answer, message)
    except Exception as error:
        raise ValueError(f"not a message: {error}") from error
