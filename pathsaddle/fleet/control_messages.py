"""Queries at the control address and their replies.

This module translates the terms into the JSON members that `pathsaddle fleet` prints.

The members' names and their order are what operators' scripts read and never change. The replies to `budgets`
and `control` belong to `quota/shared_state.py` and `control_metrics.py`; they are passed on as they are.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from enum import StrEnum
from typing import Any

import msgspec
from msgspec import Struct, field

from pathsaddle.fleet.member_table import Member
from pathsaddle.fleet.membership import Membership
from pathsaddle.fleet.messages import STATES

TICKS_PER_MS = 10
ForeignReply = Mapping[str, object]  # a JSON object that another package made


class ControlQuery(StrEnum):
    """What may be asked at the control address."""

    MEMBERS = "members"
    BUDGETS = "budgets"
    CONTROL = "control"


class ControlFault(Struct):
    """The reply where there is none.

    Attributes:
        fault: The reason, for an operator.
        name: The stable name of the error that the client raises.
    """

    fault: str
    name: str


class MemberView(Struct):
    """One other member; times are in milliseconds ago, None where that never happened."""

    name: str
    incarnation: int = field(name="life")
    refutations: int = field(name="count")
    state: str
    zone: str
    address: str
    form: int
    by: str
    since_ms: int | None = field(name="for")
    seen_ms: int | None = field(name="heard")
    seen_by_others_ms: int | None = field(name="heard_by")


class MembershipView(Struct):
    """What a member believes."""

    fleet: str
    name: str
    incarnation: int = field(name="life")
    zone: str
    address: str
    health: int
    is_silent: bool = field(name="silent")
    is_alone: bool = field(name="alone")
    counts: dict[str, int]
    members: list[MemberView]


ControlReply = MembershipView | ControlFault | ForeignReply


def membership_view(core: Membership, now: int) -> MembershipView:
    """Returns what a member believes at a moment; other members are in the order of their names."""
    me = core.me
    return MembershipView(
        fleet=core.options.fleet,
        name=me.name,
        incarnation=me.incarnation,
        zone=me.zone,
        address=me.address,
        health=core.health,
        is_silent=core.is_silent,
        is_alone=core.is_alone(),
        counts=dict(sorted(core.counters.items())),
        members=[_member_view(core.members[name], now) for name in sorted(core.members)],
    )


def _member_view(member: Member, now: int) -> MemberView:
    record = member.record
    return MemberView(
        name=record.name,
        incarnation=record.incarnation,
        refutations=record.refutations,
        state=STATES[record.state],
        zone=record.zone,
        address=record.address,
        form=record.form,
        by=record.by,
        since_ms=_age_ms(member.since, now),
        seen_ms=_age_ms(member.seen_at, now),
        seen_by_others_ms=_age_ms(member.seen_by_others_at, now),
    )


def _age_ms(moment: int, now: int) -> int | None:
    return (now - moment) // TICKS_PER_MS if moment >= 0 else None


def encode_reply(reply: ControlReply) -> bytes:
    """Returns a reply as one line of JSON, without the line's end."""
    return json.dumps(reply, default=msgspec.to_builtins).encode()
