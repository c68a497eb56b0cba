"""Reads the objects of a replica as typed, cached values.

Each value is parsed once for each new version, since the request path reads
the values many thousand times a second.
"""

import json
from typing import NamedTuple

from eliot import log_message

from godwitlanding.base.config import CONFIG_KIND, CONFIG_NAME, parse_config
from godwitlanding.daemons.entrytargets import Member, parse_members, parse_vms
from godwitlanding.decisions.plan import EMPTY_PLAN, parse_plan

MEMBERS_KIND = "members"
VMS_KIND = "vms"
PLAN_KIND = "plan"
SECRET_KIND = "secret"
MAIN_NAME = "main"
TICKET_NAME = "ticket"


class Members(NamedTuple):
    """The members of a zone and the arbiters of each service."""

    members: tuple[Member, ...]
    arbiters_by_service: dict[str, tuple[str, ...]]


NO_MEMBERS = Members((), {})


def _parse_members(body):
    arbiters = json.loads(body).get("arbiters_by_service", {})
    return Members(
        parse_members(body), {name: tuple(vms) for name, vms in arbiters.items()}
    )


def _parse_config(body):
    parsed = parse_config(body.decode())
    if parsed.is_err():
        raise ValueError("; ".join(str(problem) for problem in parsed.unwrap_err()))
    return parsed.unwrap()


def _parse_key(body):
    return bytes.fromhex(json.loads(body)["key"])


class View:
    """Typed and cached access to a ``Replica``."""

    def __init__(self, replica, availability_zone):
        self._replica = replica
        self._zone = availability_zone
        self._value_by_key = {}
        self._address_by_vm = {}
        replica.listen(self._invalidate_addresses)
        self._parser_by_kind = {
            CONFIG_KIND: _parse_config,
            PLAN_KIND: parse_plan,
            MEMBERS_KIND: _parse_members,
            VMS_KIND: parse_vms,
            SECRET_KIND: _parse_key,
        }

    def get_config(self):
        """Return the current ``Configuration``, or ``None``."""
        return self._get(CONFIG_KIND, CONFIG_NAME, None)

    def get_plan(self):
        """Return the current ``Plan``."""
        return self._get(PLAN_KIND, MAIN_NAME, EMPTY_PLAN)

    def get_zone(self):
        """Return members and arbiters of the own zone."""
        return self._get(MEMBERS_KIND, self._zone, NO_MEMBERS)

    def get_members(self):
        """Return the members of the own zone."""
        return self.get_zone().members

    def get_vms(self):
        """Return the platform's VM list of all zones."""
        return self._get(VMS_KIND, MAIN_NAME, ())

    def get_ticket_key(self):
        """Return the key that authenticates tickets, or ``None``."""
        return self._get(SECRET_KIND, TICKET_NAME, None)

    def find_member(self, vm):
        """Return the member ``vm`` of the own zone, or ``None``."""
        for member in self.get_members():
            if member.vm == vm:
                return member
        return None

    def get_address(self, vm):
        """Return the IP address of a VM in any zone, or ``""``."""
        if not self._address_by_vm:
            self._address_by_vm = {row.vm: row.address for row in self.get_vms()}
            for member in self.get_members():
                self._address_by_vm[member.vm] = member.address
        return self._address_by_vm.get(vm, "")

    def _invalidate_addresses(self, state):
        # Parsed values are kept until the newer object has been parsed: an
        # unreadable object must not remove a daemon's configuration.
        if state.kind in (MEMBERS_KIND, VMS_KIND):
            self._address_by_vm = {}

    def _get(self, kind, name, default):
        state = self._replica.get(kind, name)
        if state is None:
            return default
        held = self._value_by_key.get((kind, name))
        if held and held[0] is state:
            return held[1]
        value = self._parse(state, held[1] if held else default)
        self._value_by_key[(kind, name)] = (state, value)
        return value

    def _parse(self, state, fallback):
        try:
            return self._parser_by_kind[state.kind](state.body)
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            log_message(
                "view:unreadable",
                level="error",
                kind=state.kind,
                name=state.name,
                version=state.version,
                error=str(error),
            )
            return fallback
