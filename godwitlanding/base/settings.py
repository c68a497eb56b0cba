"""Schema, defaults and reader of the settings file of a process.

The settings contain the addresses and the availability zone of the process.
Services and upstreams are defined in the operators' configuration text
instead. Each key is described in ``docs/settings.rst``.
"""

from pathlib import Path

from result import Err

from godwitlanding.base.codes import Code
from godwitlanding.base.schema import Field, Problem, check_text

_PORT = {"minimum": 1, "maximum": 65535}


def _seconds(default, help, minimum=0.001, maximum=3600):
    return Field(
        "number", default, unit="s", help=help, minimum=minimum, maximum=maximum
    )


def _port(default, help):
    return Field("integer", default, help=help, **_PORT)


SETTINGS = {
    "vm": Field("text", help="Name of this VM, as in the platform's list of VMs."),
    "address": Field("text", help="IP number on which this VM's daemons listen."),
    "availability_zone": Field("text", help="Availability zone of this VM."),
    "platform_url": Field("text", help="Base URL of the platform's object API."),
    "seeds": Field(
        "list",
        [],
        item=Field("text"),
        help="IP numbers of VMs, of any zone, to ask while the platform is away.",
    ),
    "log_level": Field(
        "text",
        "info",
        help="Least important log messages to write.",
        choices=("error", "warning", "info", "debug"),
    ),
    "steer_port": _port(7001, "Port on which callers ask where to go."),
    "entry_port": _port(7002, "Port on which callers send requests."),
    "zone_http_port": _port(7003, "Port of the zone daemon's status and metrics."),
    "zone_port": _port(7101, "Port of the zone daemon for our own processes."),
    "entry_peer_port": _port(7102, "Port of the entry daemon for our own processes."),
    "heartbeat_s": _seconds(0.3, "Time between heartbeats inside a zone."),
    "member_timeout_s": _seconds(
        1.2, "Silence after which a member of the zone counts as not answering."
    ),
    "vm_list_s": _seconds(2.0, "Time between readings of the platform's VM list."),
    "loan_s": _seconds(
        1.5, "How long an owner lends its upstreams to the zone's arbiter."
    ),
    "permit_start_s": _seconds(
        0.5, "Time within which a granted permit has to be used."
    ),
    "probe_s": _seconds(0.5, "Time between health probes of an upstream."),
    "probe_timeout_s": _seconds(1.0, "Time an upstream has to answer a probe."),
    "lease_s": _seconds(6.0, "Time after which an unrenewed planner lease lapses."),
    "plan_interval_s": _seconds(1.0, "Time between looks of the planner."),
    "summary_s": _seconds(2.0, "Time between a zone's load summaries."),
    "summary_max_age_s": _seconds(
        8.0, "Age after which a zone's measurements count as missing."
    ),
    "steer_max_age_s": _seconds(
        5.0, "How long a caller may use the answer to where to go."
    ),
    "stop_limit_s": _seconds(60.0, "Longest time that a graceful stop may take."),
    "journal_batch_s": _seconds(
        0.02, "Time for which claims are gathered into one write of the journal."
    ),
    "ticket_keep_s": _seconds(
        900.0, "How long the outcome of a ticket is kept.", maximum=86400
    ),
    "platform_timeout_s": _seconds(2.0, "Time the platform has to answer a call."),
    "max_body_bytes": Field(
        "integer",
        1_000_000,
        unit="bytes",
        help="Largest request body that an entry process takes.",
        minimum=1,
        maximum=100_000_000,
    ),
    "max_connections": Field(
        "integer",
        2000,
        help="Most connections of callers to one process at once.",
        minimum=1,
        maximum=100_000,
    ),
    "trust_caller_header": Field(
        "boolean",
        False,
        help="Take the caller's name from X-Caller instead of its IP number.",
    ),
}


def check_settings(text):
    """Return ``Ok(settings by key)`` or ``Err`` with a list of problems."""
    return check_text(text, SETTINGS)


def read_settings(path):
    """Read and validate a settings file, as ``check_settings`` does."""
    try:
        text = Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        problem = Problem(Code.CONFIG_SYNTAX, str(path), 0, str(error), "a file")
        return Err([problem])
    return check_settings(text)
