"""Schema of the operators' configuration text.

Defines the type, default, unit, range and meaning of each key.
``docs/configuration.rst`` contains the same table; a test compares the two.
"""

from godwitlanding.base.schema import Field

KIND_TRANSACTION = "transaction"
KIND_LOOKUP = "lookup"
KIND_BULK = "bulk"

_NAME = r"[a-z0-9][a-z0-9.-]{0,62}"
_ADDRESS = r"[0-9a-f.:\[\]]+:\d{1,5}"


def _name(help):
    return Field("text", help=help, pattern=_NAME)


def _share(help, **keywords):
    return Field("number", help=help, minimum=0.0, maximum=1.0, **keywords)


_UPSTREAM = Field(
    "table",
    table={
        "id": _name("Name of the upstream, unique in the whole text."),
        "address": Field("text", help="IP number and port.", pattern=_ADDRESS),
        "availability_zone": _name("Zone in which the upstream runs."),
        "slots": Field(
            "integer",
            3,
            help="Licensed copies: requests it may run at once.",
            minimum=1,
            maximum=1000,
        ),
    },
)

_SERVICE = Field(
    "table",
    table={
        "name": _name("Name of the service, part of its URL."),
        "kind": Field(
            "text",
            help="What sort of work it is; transactions need a ticket.",
            choices=(KIND_LOOKUP, KIND_TRANSACTION, KIND_BULK),
        ),
        "deadline_s": Field(
            "number",
            unit="s",
            help="Time in which a request has to be answered in full.",
            minimum=0.05,
            maximum=600,
        ),
        "work_s": Field(
            "number",
            0.05,
            unit="s",
            help="Usual time that a slot needs for a request.",
            minimum=0.001,
            maximum=600,
        ),
        "slow_start_s": Field(
            "number",
            10.0,
            unit="s",
            help="Time over which a cold upstream is given its full share.",
            minimum=0,
            maximum=3600,
        ),
        "depends_on": Field(
            "list", [], item=Field("text"), help="Services that it calls."
        ),
        "upstreams": Field("list", item=_UPSTREAM, help="Its upstreams."),
    },
)

_REGION = Field(
    "table",
    table={
        "name": _name("Name of the region."),
        "availability_zones": Field("list", item=_name("Name of a zone.")),
        "load_limit": _share(
            "Share of the region's slots that steering may plan for.", default=0.9
        ),
    },
)

_LINK = Field(
    "table",
    table={
        "from": _name("Zone whose entry VMs send."),
        "to": _name("Zone whose upstreams receive."),
        "requests_per_s": Field(
            "number", unit="1/s", help="Requests.", minimum=0, maximum=1e6
        ),
        "bytes_per_s": Field(
            "number", 0, unit="B/s", help="Bytes; 0: no limit.", minimum=0, maximum=1e12
        ),
    },
)

_SHIFT = Field(
    "table",
    table={
        "name": _name("Name of the shift."),
        "service": _name("Service whose callers move."),
        "from": _name("Zone that they leave."),
        "to": _name("Zone to which they go."),
        "share": _share("Share of the zone's callers to move in all."),
        "cap_share": _share("Most that may move within one step."),
        "step_s": Field(
            "number",
            30.0,
            unit="s",
            help="Least time between two steps.",
            minimum=0.1,
            maximum=86400,
        ),
        "paused": Field("boolean", False, help="Stay where the shift is."),
    },
)

_DRAIN = Field(
    "table",
    table={
        "what": Field("text", choices=("upstream", "vm", "availability_zone")),
        "name": _name("Name of what is drained."),
        "service": Field("text", "", help="Only this service of a zone."),
    },
)

CONFIG = {
    "format": Field("integer", help="Version of the format.", minimum=1, maximum=1),
    "name": _name("Name of the user."),
    "regions": Field("list", item=_REGION),
    "services": Field("list", item=_SERVICE),
    "links": Field("list", [], item=_LINK),
    "shifts": Field("list", [], item=_SHIFT),
    "drains": Field("list", [], item=_DRAIN),
}
