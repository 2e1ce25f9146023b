"""The answer to `fleet show budgets`: what this member knows of its quotas and of what others would lend.

Owns the JSON members of that answer, whose names must not change; times in it are milliseconds.
`SharedState.view` builds it for the driver's control address. It changes nothing.
"""

from __future__ import annotations

from typing import TypedDict

import msgspec

from pathsaddle.fleet.gossip.gossip import Gossip
from pathsaddle.fleet.quota.events import TICKS_PER_MILLISECOND
from pathsaddle.fleet.quota.local_quota import LocalQuota
from pathsaddle.fleet.quota.quota_limiter import QuotaLimiter

SPARE_TOPIC = "spare"  # the topic under which each member publishes what it would lend
decode_spare = msgspec.msgpack.Decoder(dict[str, int]).decode  # units by quota

GrantedLeaseView = TypedDict("GrantedLeaseView", {"to": str, "units": int, "for": int})
HeldLeaseView = TypedDict("HeldLeaseView", {"of": str, "units": int, "for": int})


class QuotaView(TypedDict):
    """One quota."""

    budget: str
    rate: int
    part: int
    usable: int
    free: int
    taken: int
    refused: int
    alone: bool
    lent: list[GrantedLeaseView]
    held: list[HeldLeaseView]


class MemberView(TypedDict):
    """What one member last published, with its age as an interval."""

    member: str
    life: int
    spare: dict[str, int]
    least: int
    most: int | None
    sure: int | None


class StateView(TypedDict):
    """The whole answer."""

    name: str
    life: int
    counts: dict[str, int]
    budgets: list[QuotaView]
    others: list[MemberView]


def build_view(gossip: Gossip, limiter: QuotaLimiter, now: int) -> StateView:
    """The answer at `now`."""
    return {
        "name": gossip.name,
        "life": gossip.mine.incarnation,
        "counts": dict(sorted(gossip.counts.items())),
        "budgets": [_quota_view(quota, limiter, now) for quota in limiter.budgets.values()],
        "others": _member_views(gossip, now),
    }


def _quota_view(quota: LocalQuota, limiter: QuotaLimiter, now: int) -> QuotaView:
    ledger = quota.state.at(now)
    return {
        "budget": quota.name,
        "rate": quota.dealt.rate,
        "part": quota.dealt.part,
        "usable": ledger.usable(now),
        "free": limiter.free(quota.name, now),
        "taken": quota.acquired_units,
        "refused": quota.refused_units,
        "alone": quota.is_isolated,
        "lent": [
            {"to": lease.key.taker or "-", "units": lease.units, "for": _milliseconds(lease.until - now)}
            for lease in ledger.lent
        ],
        "held": [
            {"of": lease.owner, "units": lease.units, "for": _milliseconds(lease.until - now)}
            for lease in ledger.held
        ],
    }


def _member_views(gossip: Gossip, now: int) -> list[MemberView]:
    found: list[MemberView] = []
    for record in gossip.records(SPARE_TOPIC, now):
        try:
            spare = decode_spare(record.body)
        except msgspec.MsgspecError:
            continue
        found.append(
            {
                "member": record.member,
                "life": record.life,
                "spare": spare,
                "least": _milliseconds(record.least),
                "most": None if record.most is None else _milliseconds(record.most),
                "sure": None
                if record.confirmed_ago_ticks is None
                else _milliseconds(record.confirmed_ago_ticks),
            }
        )
    return found


def _milliseconds(ticks: int) -> int:
    return ticks // TICKS_PER_MILLISECOND
